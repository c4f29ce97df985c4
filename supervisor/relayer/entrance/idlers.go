package entrance

import (
	"context"
	"net"
	"net/http"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

const (
	// idleBacklog bounds the messages that wait for the task.
	idleBacklog = 256
	// idleSweep is the time between two searches for connections that rest too long.
	idleSweep = buckthorndyke.Second
)

// connectionNoted says that a connection rests, or does not any more.
type connectionNoted struct {
	conn net.Conn
	idle bool
}

// idlers is the task that closes clients' connections which rest for longer than
// the configuration allows. That may change while they are open.
type idlers struct {
	box      *mailer.Mailbox[connectionNoted]
	clock    buckthorndyke.Clock
	routings *mailer.Feed[buckthorndyke.Routing]
}

func newIdlers(routings *mailer.Feed[buckthorndyke.Routing], clock buckthorndyke.Clock) *idlers {
	return &idlers{
		box: mailer.NewMailbox[connectionNoted](mailer.WithCapacity(idleBacklog)), clock: clock, routings: routings,
	}
}

// note takes a change of a connection's state until ctx ends. None is left out: a
// connection that carries a request must not count as resting.
func (i *idlers) note(ctx context.Context, conn net.Conn, state http.ConnState) {
	// The task has ended if ctx has: then the connections are closed by the server.
	_ = i.box.Send(ctx, connectionNoted{conn: conn, idle: state == http.StateIdle})
}

// serve closes connections until ctx ends.
func (i *idlers) serve(ctx context.Context) {
	routings := i.routings.Subscribe(ctx)
	limit := defaultIdle
	since := make(map[net.Conn]buckthorndyke.Millis)
	sweep := i.clock.After(idleSweep)
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-routings:
			limit = defaultIdle
			if r.Limits.IdleTimeout > 0 {
				limit = r.Limits.IdleTimeout
			}
		case m := <-i.box.Receive():
			if m.idle {
				since[m.conn] = i.clock.Now()
			} else {
				delete(since, m.conn)
			}
		case <-sweep:
			now := i.clock.Now()
			for conn, at := range since {
				if now >= at+limit {
					_ = conn.Close()
					delete(since, conn)
				}
			}
			sweep = i.clock.After(idleSweep)
		}
	}
}
