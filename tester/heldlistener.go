package tester

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke/asserter"
)

// HeldHeader is the header field of the requests that a HeldListener holds back.
const HeldHeader = "X-Held"

// heldLimit bounds the exchanges on a connection to a HeldListener.
const heldLimit = 20 * time.Second

// HeldListener is a listener whose connections hold back a request with the field HeldHeader:
// its bytes have been read from the network, and the reader gets them after Release is closed.
type HeldListener struct {
	net.Listener
	// Received is closed once the bytes of a request are held.
	Received chan struct{}
	Release  chan struct{}
}

// heldConnection is a connection of a HeldListener.
type heldConnection struct {
	net.Conn
	listener *HeldListener
}

// NewHeldListener returns a listener on a free port of the loopback interface.
func NewHeldListener(ctx context.Context, t *testing.T) *HeldListener {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	asserter.NoError(t, err)
	return &HeldListener{Listener: l, Received: make(chan struct{}), Release: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *HeldListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConnection{Conn: conn, listener: l}, nil
}

// Open opens a connection to the listener. Its reads and writes fail after heldLimit.
func (l *HeldListener) Open(ctx context.Context, t *testing.T) net.Conn {
	t.Helper()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", l.Addr().String())
	asserter.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	asserter.NoError(t, conn.SetDeadline(time.Now().Add(heldLimit)))
	return conn
}

// OpenIdle opens a connection on which one request for path is answered.
func (l *HeldListener) OpenIdle(ctx context.Context, t *testing.T, path string) net.Conn {
	t.Helper()
	conn := l.Open(ctx, t)
	asserter.True(t, Exchange(conn, path, "") != 0, "the first request has no response")
	return conn
}

// Send sends a request on a new connection, and a second one, which is held back, on the same
// connection. It returns a channel with the status of the second response, or 0 if there is
// none.
func (l *HeldListener) Send(ctx context.Context, t *testing.T, path string) <-chan int {
	t.Helper()
	conn := l.OpenIdle(ctx, t, path)
	status := make(chan int, 1)
	go func() { status <- Exchange(conn, path, HeldHeader+": 1\r\n") }()
	return status
}

// Read implements net.Conn.
func (c *heldConnection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if bytes.Contains(p[:n], []byte(HeldHeader)) {
		close(c.listener.Received)
		<-c.listener.Release
	}
	return n, err
}

// AssertClosed waits until the server has closed conn.
func AssertClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	_, err := conn.Read(make([]byte, 1))
	asserter.Error(t, err)
	asserter.True(t, !errors.Is(err, os.ErrDeadlineExceeded), "the connection was not closed")
}

// Exchange sends a request with the given lines of its header on conn and returns the status
// of the response, or 0 if there is none.
func Exchange(conn net.Conn, path, header string) int {
	if _, err := conn.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: hall.example\r\n" + header + "\r\n")); err != nil {
		return 0
	}
	return ReadStatus(conn)
}

// ReadStatus reads a response from conn and returns its status, or 0 if there is none.
func ReadStatus(conn net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}
