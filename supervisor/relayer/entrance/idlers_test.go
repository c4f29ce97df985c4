package entrance

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

func TestIdlers(t *testing.T) {
	t.Run("a connection that rests beyond the limit is closed", func(t *testing.T) {
		play(t, 5*buckthorndyke.Second, func(s *site) {
			s.idlers.note(s.ctx, s.conn, http.StateIdle)
			s.assertOpen(t, 4*buckthorndyke.Second)
			s.assertClosed(t, 2*buckthorndyke.Second)
		})
	})
	t.Run("a connection that carries a request is not closed", func(t *testing.T) {
		play(t, 5*buckthorndyke.Second, func(s *site) {
			s.idlers.note(s.ctx, s.conn, http.StateIdle)
			s.assertOpen(t, 2*buckthorndyke.Second)
			s.idlers.note(s.ctx, s.conn, http.StateActive)
			s.assertOpen(t, 20*buckthorndyke.Second)
		})
	})
	t.Run("a limit that is raised holds for open connections", func(t *testing.T) {
		play(t, 5*buckthorndyke.Second, func(s *site) {
			s.idlers.note(s.ctx, s.conn, http.StateIdle)
			s.limit(t, buckthorndyke.Minute)
			s.assertOpen(t, 50*buckthorndyke.Second)
		})
	})
	t.Run("without a limit the default holds", func(t *testing.T) {
		play(t, 0, func(s *site) {
			s.idlers.note(s.ctx, s.conn, http.StateIdle)
			s.assertOpen(t, defaultIdle-buckthorndyke.Second)
			s.assertClosed(t, 2*buckthorndyke.Second)
		})
	})
}

// site is the task and one connection.
type site struct {
	clock    buckthorndyke.Clock
	closed   chan struct{}
	conn     net.Conn
	ctx      context.Context
	idlers   *idlers
	routings *mailer.Feed[buckthorndyke.Routing]
}

// play runs test with a configuration that limits how long connections rest.
func play(t *testing.T, limit buckthorndyke.Millis, test func(s *site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		near, far := net.Pipe()
		s := &site{
			clock: timekeeper.NewRealClock(), closed: make(chan struct{}), conn: near, ctx: ctx,
			routings: mailer.NewFeed[buckthorndyke.Routing](),
		}
		s.idlers = newIdlers(s.routings, s.clock)
		go func() { _ = s.routings.Serve(ctx) }()
		go s.idlers.serve(ctx)
		go func() {
			_, _ = io.Copy(io.Discard, far)
			close(s.closed)
		}()
		s.limit(t, limit)
		test(s)
		_ = near.Close()
	})
}

// assertClosed reports an error unless the connection is closed within d.
func (s *site) assertClosed(t *testing.T, d buckthorndyke.Millis) {
	t.Helper()
	asserter.True(t, s.closesWithin(d), "the connection is open")
}

// assertOpen reports an error if the connection is closed within d.
func (s *site) assertOpen(t *testing.T, d buckthorndyke.Millis) {
	t.Helper()
	asserter.True(t, !s.closesWithin(d), "the connection is closed")
}

// closesWithin reports whether the connection is closed within d.
func (s *site) closesWithin(d buckthorndyke.Millis) bool {
	select {
	case <-s.closed:
		return true
	case <-s.clock.After(d):
		return false
	}
}

// limit puts a configuration in force.
func (s *site) limit(t *testing.T, limit buckthorndyke.Millis) {
	t.Helper()
	asserter.NoError(t, s.routings.Publish(s.ctx, buckthorndyke.Routing{Limits: buckthorndyke.FrontLimits{IdleTimeout: limit}, Version: 1}))
	synctest.Wait()
}
