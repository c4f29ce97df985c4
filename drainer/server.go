package drainer

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// firstRequestTime is how long a new connection without a request is kept open in a drain.
// Its request may be on its way.
const firstRequestTime = buckthorndyke.Second

// Server is an HTTP/1.1 server whose drain loses no request that it has read. The shutdown of
// http.Server closes a connection that counts as idle although the bytes of a request have
// been read from it, and the response to that request is lost. A Server only interrupts the
// reads of connections that wait for a request.
type Server struct {
	*http.Server
	// changes delivers the changes of the number of open connections. It has no buffer, so
	// that a connection is counted before the next one is accepted.
	changes *mailer.Mailbox[int]
	drains  *mailer.Mailbox[struct{}]
}

// New returns a server with the settings of s. Serve sets the hook for states of connections.
func New(s *http.Server) *Server {
	return &Server{
		Server: s, changes: mailer.NewMailbox[int](mailer.WithCapacity(0)),
		drains: mailer.NewMailbox[struct{}](mailer.WithCapacity(1)),
	}
}

// Drain makes Serve accept no more connections, close those that wait for a request, and
// return once the others are closed. It does not wait for that.
func (s *Server) Drain() { s.drains.TrySend(struct{}{}) }

// Serve serves connections from l, which it closes. It returns nil at the end of a drain, and
// otherwise, at once, the error that has ended the acceptance of connections.
func (s *Server) Serve(l net.Listener) error {
	running, stop := context.WithCancel(context.Background())
	defer stop()
	idle, closeIdle := context.WithCancel(running)
	defer closeIdle()
	unused, closeUnused := context.WithCancel(running)
	defer closeUnused()
	s.ConnState = func(c net.Conn, state http.ConnState) { s.changeState(running, idle, c, state) }
	accepted := make(chan error, 1)
	go func() {
		accepted <- s.Server.Serve(&listener{Listener: l, headerTimeout: s.ReadHeaderTimeout, unused: unused})
	}()
	open, draining, accepting := 0, false, true
	var unusedDue <-chan time.Time
	for accepting || open > 0 {
		select {
		case <-s.drains.Receive():
			draining = true
			_ = l.Close()
			closeIdle()
			unusedDue = time.After(firstRequestTime.Duration())
		case err := <-accepted:
			if !draining {
				return err
			}
			accepting = false
		case n := <-s.changes.Receive():
			open += n
		case <-unusedDue:
			closeUnused()
		}
	}
	return nil
}

// HasEnded waits for the end of a drain, which done reports, and returns false if that has not
// come by the time limit. A server whose acceptance of connections had failed before may have
// requests in progress until the limit.
func HasEnded(done <-chan error, limit <-chan time.Time) bool {
	select {
	case err := <-done:
		if err != nil {
			<-limit
		}
		return err == nil
	case <-limit:
		return false
	}
}

// changeState handles a new state of a connection. One that becomes idle is closed when idle
// ends.
func (s *Server) changeState(running, idle context.Context, c net.Conn, state http.ConnState) {
	conn, ok := c.(*connection)
	switch {
	case state == http.StateNew:
		_ = s.changes.Send(running, 1)
	case state == http.StateClosed:
		_ = s.changes.Send(running, -1)
	case state == http.StateActive && ok:
		conn.beginRequest()
	case state == http.StateIdle && ok:
		conn.awaitRequest(idle)
	}
}
