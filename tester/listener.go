package tester

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// errClosed is the refusal of a request to a process that is stopping.
var errClosed = buckthorndyke.NewRefusal(
	buckthorndyke.CodeDraining, buckthorndyke.NotRun, "the process accepts no more requests")

// listener is a fake of the client listener of one process. It counts the requests
// in progress; once it is stopped it refuses new ones and waits for the others to end.
type listener struct {
	begins *mailer.Mailbox[mailer.Reply[bool]]
	// closed is closed when the last request of a stopped listener has ended.
	closed chan struct{}
	ends   chan struct{}
}

func newListener() *listener {
	return &listener{begins: mailer.NewMailbox[mailer.Reply[bool]](), closed: make(chan struct{}), ends: make(chan struct{})}
}

// Serve implements suture.Service.
func (l *listener) Serve(ctx context.Context) error {
	active := 0
	done := ctx.Done()
	for done != nil || active > 0 {
		select {
		case <-done:
			done = nil
		case reply := <-l.begins.Receive():
			if done != nil {
				active++
			}
			reply.Answer(done != nil)
		case <-l.ends:
			active--
		}
	}
	close(l.closed)
	return ctx.Err()
}

// beginRequest counts a new request. It returns errClosed if the listener is stopped.
// Once its message is sent it ignores ctx and waits for the reply, so that no request
// is counted whose caller does not call endRequest.
func (l *listener) beginRequest(ctx context.Context) error {
	reply := mailer.NewReply[bool]()
	if err := l.begins.Send(ctx, reply); err != nil {
		return errors.Wrap(err, "enter")
	}
	select {
	case open := <-reply.Receive():
		if open {
			return nil
		}
		return errClosed
	case <-l.closed:
		return errClosed
	}
}

// endRequest ends a request that beginRequest counted.
func (l *listener) endRequest() {
	select {
	case l.ends <- struct{}{}:
	case <-l.closed:
	}
}
