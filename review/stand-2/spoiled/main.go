// Command spoiled lets runners spoil the bytes of resumable streams while they have not read
// the whole request yet, and records how long they go on with a run after another runner has
// begun to go on with it.
package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"review/lab"
	"sync"
	"syscall"
	"time"
)

const (
	model   = "daka510000"
	streams = 6
	// bodyBytes is the length of a request, and timeout the route's time-out and the consumers'
	// deadline, as of basin-digest (9,200 bytes in the mean, 55,000 at most).
	bodyBytes = 55_000
	timeout   = 4 * time.Second
	// window is the size of a runner's receive buffer in bytes, and late how long after the
	// head of its answer a runner reads on.
	window = 8 << 10
	late   = 2 * time.Second
	// events is the length of a stream. The run is preempted for pause after its first event.
	events     = 8
	firstAfter = 300 * time.Millisecond
	spoilAfter = 100 * time.Millisecond
	pause      = 2500 * time.Millisecond
	gap        = 50 * time.Millisecond
	// overlap is how long two runners may work on a request at a time.
	overlap = 400 * time.Millisecond
	// established is the state of a connection that neither side has closed (linux/tcp.h).
	established = 1
)

func main() { lab.Main(script) }

// run is a runner's work on a request.
type run struct {
	began, ended time.Time
	runner       string
}

// fleet holds the work of all runners by request.
type fleet struct {
	*lab.Run
	mu   sync.Mutex
	runs map[string][]run
}

func script(r *lab.Run) (bool, error) {
	store, err := lab.StartStore()
	if err != nil {
		return false, err
	}
	route := lab.Route("r-digest", "/pufi791/", "streaming", "models", 2, int(timeout.Milliseconds()))
	route["resumable"], route["targetLatencyMs"] = true, 2000
	store.PutDesired(lab.Desired(3, []any{route}, []any{lab.Engine("models", model)}))
	f := &fleet{Run: r, runs: make(map[string][]run)}
	for i := range 2 {
		if err := f.startRunner(store, fmt.Sprintf("i-models-%d", i+1)); err != nil {
			return false, err
		}
	}
	vm, err := r.StartVM("front-ee-north-a-1", "ee-north-a", store)
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	body := make([]byte, bodyBytes)
	var all sync.WaitGroup
	for i := range streams {
		all.Go(func() {
			channel, err := lab.Open(vm)
			if err != nil {
				r.Note("consumer: %v", err)
				return
			}
			defer channel.Close()
			q := lab.Request{
				Body: body, Deadline: timeout, Host: lab.Host, ID: fmt.Sprintf("73%02d", i), Method: http.MethodPost,
				Model: model, Target: "/pufi791/2f",
			}
			r.Note("consumer sends %s: %d bytes, Deadline-Ms %d", q.ID, len(q.Body), q.Deadline.Milliseconds())
			r.Note("consumer of %s gets %s", q.ID, channel.Send(q))
		})
	}
	all.Wait()
	// The runners may still be at work.
	time.Sleep(4 * time.Second)
	twice := f.twice()
	r.Say("%d streams; %d at work at two runners for over %d ms", streams, twice, overlap.Milliseconds())
	return twice == 0, nil
}

// twice returns the number of requests on which a runner worked on for over the overlap after
// the next one had begun.
func (f *fleet) twice() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for id, runs := range f.runs {
		for _, before := range runs {
			for _, next := range runs {
				if !next.began.After(before.began) || before.ended.Sub(next.began) <= overlap {
					continue
				}
				f.Note("%s: %s worked on for %d ms after %s had begun", id, before.runner, before.ended.Sub(next.began).Milliseconds(), next.runner)
				n++
			}
		}
	}
	return n
}

// startRunner starts a runner on a free loopback port and lists it in the store.
func (f *fleet) startRunner(store *lab.Store, id string) error {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window)
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
			store.Put("keyed.servers", id, map[string]any{
				"address": l.Addr().String(), "born": born, "coldLeftMs": 0,
				"models": []any{map[string]any{"adapters": []string{}, "name": model, "version": 1}},
				"seq":    seq, "service": "models", "slots": 64, "state": "ready", "version": "v1", "zone": "ee-north-a",
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
			go f.serve(conn, id)
		}
	}()
	f.Note("runner %s serves at %s", id, l.Addr())
	return nil
}

// serve serves one request after the other on a channel.
func (f *fleet) serve(conn net.Conn, runner string) {
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
		id, began := q.Header.Get("Request-Id"), time.Now()
		f.Note("runner %s runs %s: %s %s, Deadline-Ms %s, Last-Event-Id %q", runner, id, q.Method, q.RequestURI, q.Header.Get("Deadline-Ms"), q.Header.Get("Last-Event-Id"))
		err = f.answer(conn, q, runner, id)
		f.Note("runner %s: its work on %s ends: %v", runner, id, err)
		f.mu.Lock()
		f.runs[id] = append(f.runs[id], run{began: began, ended: time.Now(), runner: runner})
		f.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// answer sends the stream from the event after Last-Event-Id on, and reads the body late. The
// first run of a request is spoiled. The run stops as soon as the channel shows that the other
// side is gone.
func (f *fleet) answer(conn net.Conn, q *http.Request, runner, id string) error {
	gone := watch(conn)
	read := make(chan error, 1)
	defer time.AfterFunc(late, func() {
		n, err := io.Copy(io.Discard, q.Body)
		f.Note("runner %s has read %d bytes of the body of %s: %v", runner, n, id, err)
		read <- err
	}).Stop()
	last := 0
	_, _ = fmt.Sscan(q.Header.Get("Last-Event-Id"), &last)
	head := "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Seal: seal." + runner + "." + id + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := io.WriteString(conn, head); err != nil {
		return err
	}
	wait := firstAfter
	for i := last; i < events; i++ {
		if err := await(gone, wait); err != nil {
			return err
		}
		event := fmt.Sprintf("id: %d\ndata: %s part %d\n\n", i+1, id, i+1)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return err
		}
		wait = gap
		if i > 0 {
			continue
		}
		if err := await(gone, spoilAfter); err != nil {
			return err
		}
		if f.Trouble {
			f.Note("runner %s spoils the stream of %s and is preempted", runner, id)
			if _, err := io.WriteString(conn, "\xfe\xff\x00spoiled\r\n"); err != nil {
				return err
			}
		}
		wait = pause
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

// await waits for d, or until the channel is closed.
func await(gone <-chan struct{}, d time.Duration) error {
	select {
	case <-gone:
		return errors.New("the channel is closed")
	case <-time.After(d):
		return nil
	}
}

// watch returns a channel that is closed once conn shows that the other side has closed or
// reset it, whether or not it is read.
func watch(conn net.Conn) <-chan struct{} {
	gone := make(chan struct{})
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return gone
	}
	go func() {
		for {
			state := 0
			err := raw.Control(func(fd uintptr) {
				state, _ = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
			})
			if err != nil || byte(state) != established {
				close(gone)
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	}()
	return gone
}
