package drainer

import (
	"context"
	"net"
	"time"

	"github.com/buckthorndyke/buckthorndyke"
)

// lastReadTime is how long a wait for a request that is interrupted still reads bytes that have
// arrived. It only has to outlast the time between two steps of a busy VM.
const lastReadTime = 20 * buckthorndyke.Millisecond

// listener accepts connections that can be interrupted while they wait for a request.
type listener struct {
	net.Listener
	headerTimeout time.Duration
	// unused ends when connections without a first request are closed.
	unused context.Context
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, headerTimeout: l.headerTimeout, waiting: l.unused}, nil
}

// connection is a connection of a client.
type connection struct {
	net.Conn
	headerTimeout time.Duration
	// waiting is nil unless the connection waits for the first bytes of a request. It ends
	// when the wait is to be interrupted. Only the goroutine that serves the connection
	// accesses it while a request is awaited.
	waiting context.Context
}

// CloseWrite closes the sending direction if the connection can do that.
func (c *connection) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// awaitRequest makes the connection wait for the first bytes of a request until ctx ends.
func (c *connection) awaitRequest(ctx context.Context) { c.waiting = ctx }

// beginRequest makes the connection wait no more: a request is handled, whose bytes may have
// been read with those of the one before.
func (c *connection) beginRequest() { c.waiting = nil }

// Read implements net.Conn. A read that waits for a request fails with a timeout once the
// wait is interrupted, but not if it has read bytes, or some have arrived without having been
// seen.
func (c *connection) Read(p []byte) (int, error) {
	if c.waiting == nil {
		return c.Conn.Read(p)
	}
	interrupted := make(chan struct{})
	stop := context.AfterFunc(c.waiting, func() {
		_ = c.SetReadDeadline(time.Unix(1, 0))
		close(interrupted)
	})
	n, err := c.Conn.Read(p)
	if !stop() {
		<-interrupted
		if n == 0 {
			_ = c.SetReadDeadline(time.Now().Add(lastReadTime.Duration()))
			n, err = c.Conn.Read(p)
		}
		if n > 0 {
			// The rest of the request's head is still read.
			_ = c.SetReadDeadline(time.Now().Add(c.headerTimeout))
		}
	}
	if n > 0 {
		c.waiting = nil
	}
	return n, err
}
