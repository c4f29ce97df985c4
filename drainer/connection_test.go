package drainer_test

import (
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/tester"
)

// unseenListener accepts connections whose second request is in the socket's buffer, but not
// yet seen by the read that waits for it when that is interrupted.
type unseenListener struct {
	*tester.HeldListener
}

// unseenConnection is a connection of an unseenListener.
type unseenConnection struct {
	net.Conn
	// deadlines holds the deadlines that were set for reads.
	deadlines chan time.Time
	reads     int
}

// Accept implements net.Listener.
func (l unseenListener) Accept() (net.Conn, error) {
	conn, err := l.HeldListener.Accept()
	if err != nil {
		return nil, err
	}
	return &unseenConnection{Conn: conn, deadlines: make(chan time.Time, 100)}, nil
}

// Read implements net.Conn. Reads of one byte are those of net/http for the end of the
// connection.
func (c *unseenConnection) Read(p []byte) (int, error) {
	if len(p) > 1 {
		c.reads++
	}
	if len(p) == 1 || c.reads != 2 {
		return c.Conn.Read(p)
	}
	for at := range c.deadlines {
		// Only the last deadline counts.
		if len(c.deadlines) == 0 && !at.IsZero() && at.Before(time.Now()) {
			break
		}
	}
	return 0, os.ErrDeadlineExceeded
}

// SetReadDeadline implements net.Conn.
func (c *unseenConnection) SetReadDeadline(at time.Time) error {
	err := c.Conn.SetReadDeadline(at)
	c.deadlines <- at
	return err
}

// TestUnseenRequest guards against drains that reset a connection whose next request has
// arrived, but was not seen yet, as on a VM that is short of processor time.
func TestUnseenRequest(t *testing.T) {
	t.Run("a request that has arrived when idle connections are closed is answered", func(t *testing.T) {
		socket := tester.NewHeldListener(t.Context(), t)
		s, done := serve(t, unseenListener{socket}, nil)
		conn := socket.OpenIdle(t.Context(), t, "/x")
		_, err := conn.Write([]byte("GET /x HTTP/1.1\r\nHost: hall.example\r\nConnection: close\r\n\r\n"))
		asserter.NoError(t, err)
		s.Drain()
		asserter.Equal(t, tester.ReadStatus(conn), http.StatusOK)
		asserter.NoError(t, <-done)
	})
	t.Run("a connection without a next request is closed", func(t *testing.T) {
		socket := tester.NewHeldListener(t.Context(), t)
		s, done := serve(t, unseenListener{socket}, nil)
		conn := socket.OpenIdle(t.Context(), t, "/x")
		s.Drain()
		tester.AssertClosed(t, conn)
		asserter.NoError(t, <-done)
	})
}
