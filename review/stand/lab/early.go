package lab

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// EarlyRunner is a sound model runner with a small receive window. It serves one request
// after the other on a channel. It may begin to answer before it has read the request's body.
type EarlyRunner struct {
	ID string
	// Events and Gaps make the streams: the time before each event. The last gap counts for
	// all further events.
	Events int
	Gaps   []time.Duration
	// Late is how long after the head of the answer the body is read, or 0 if it is read before.
	Late time.Duration
	// Window is the size of the receive buffer in bytes.
	Window int

	run  *Run
	mu   sync.Mutex
	work map[string]Work
}

// Work is a runner's work on a request.
type Work struct {
	Began, Ended time.Time
	Complete     bool
}

// Start lets the runner serve on a free loopback port, and lists it in the store.
func (n *EarlyRunner) Start(r *Run, store *Store, service, model string) error {
	n.run, n.work = r, make(map[string]Work)
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, n.Window)
		})
		return errors.Join(err, failed)
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	born := time.Now().UnixMilli()
	go func() {
		for seq := 1; ; seq++ {
			store.Put("keyed.servers", n.ID, map[string]any{
				"address": l.Addr().String(), "born": born, "coldLeftMs": 0,
				"models": []any{map[string]any{"adapters": []string{}, "name": model, "version": 1}},
				"seq":    seq, "service": service, "slots": 64, "state": "ready", "version": "v1", "zone": "ee-north-a",
			})
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go n.serve(conn, model)
		}
	}()
	r.Note("runner %s of service %s serves at %s", n.ID, service, l.Addr())
	return nil
}

// Work returns the runner's work by request.
func (n *EarlyRunner) Work() map[string]Work {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make(map[string]Work)
	for id, w := range n.work {
		out[id] = w
	}
	return out
}

func (n *EarlyRunner) serve(conn net.Conn, model string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if q.URL.Path == "/report" {
			report := fmt.Sprintf(`{"stage":"both","models":[{"name":%q,"version":1,"adapters":[]}],"busy":false,"seq":0,"queued":0,"running":0}`, model)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(report), report)
			continue
		}
		id := q.Header.Get("Request-Id")
		began := time.Now()
		n.run.Note("runner %s runs %s: %s %s, Deadline-Ms %s, Last-Event-Id %q", n.ID, id, q.Method, q.RequestURI, q.Header.Get("Deadline-Ms"), q.Header.Get("Last-Event-Id"))
		err = n.answer(conn, q, id)
		n.run.Note("runner %s: its work on %s ends: %v", n.ID, id, err)
		n.mu.Lock()
		n.work[id] = Work{Began: began, Complete: err == nil, Ended: time.Now()}
		n.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// answer sends the stream from the event after Last-Event-Id on. It stops as soon as the
// channel shows that the other side is gone.
func (n *EarlyRunner) answer(conn net.Conn, q *http.Request, id string) error {
	gone, stop := watch(conn)
	defer stop()
	read := make(chan error, 1)
	readBody := func() {
		got, err := io.Copy(io.Discard, q.Body)
		n.run.Note("runner %s has read %d bytes of the body of %s: %v", n.ID, got, id, err)
		read <- err
	}
	if n.Late > 0 {
		defer time.AfterFunc(n.Late, readBody).Stop()
	} else {
		readBody()
	}
	last := 0
	_, _ = fmt.Sscan(q.Header.Get("Last-Event-Id"), &last)
	head := "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Seal: seal." + n.ID + "." + id + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := io.WriteString(conn, head); err != nil {
		return err
	}
	for i := last; i < n.Events; i++ {
		select {
		case <-gone:
			return errors.New("the channel is closed")
		case <-time.After(n.Gaps[min(i-last, len(n.Gaps)-1)]):
		}
		event := fmt.Sprintf("id: %d\ndata: %s part %d\n\n", i+1, id, i+1)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return err
		}
	}
	select {
	case <-gone:
		return errors.New("the channel is closed")
	case err := <-read:
		if err != nil {
			return err
		}
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err
}

// watch returns a channel that is closed once conn shows that the other side has closed or
// reset it, whether or not it is read.
func watch(conn net.Conn) (gone chan struct{}, stop func()) {
	gone, ended := make(chan struct{}), make(chan struct{})
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return gone, func() {}
	}
	go func() {
		for {
			state := byte(0)
			err := raw.Control(func(fd uintptr) { state = tcpState(int(fd)) })
			if err != nil || state != tcpEstablished {
				close(gone)
				return
			}
			select {
			case <-ended:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()
	return gone, sync.OnceFunc(func() { close(ended) })
}

// tcpEstablished is the state of a connection that neither side has closed (linux/tcp.h).
const tcpEstablished = 1

// tcpState returns the state of a TCP socket, the first byte of its TCP_INFO.
func tcpState(fd int) byte {
	value, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_INFO)
	if err != nil {
		return 0
	}
	return byte(value)
}
