package tester

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// errClosed reports a process that takes no more callers.
var errClosed = buckthorndyke.NewRefusal(
	buckthorndyke.CodeDraining, buckthorndyke.NotRun, "the process takes no more callers")

// front stands in for the listener of one process: it counts the callers, and
// once it is stopped it takes no more and waits for the others.
type front struct {
	// closed is closed once the last caller has left a stopped front.
	closed chan struct{}
	enters *mailer.Mailbox[mailer.Reply[bool]]
	leaves chan struct{}
}

func newFront() *front {
	return &front{closed: make(chan struct{}), enters: mailer.NewMailbox[mailer.Reply[bool]](), leaves: make(chan struct{})}
}

// Serve implements suture.Service.
func (f *front) Serve(ctx context.Context) error {
	inside := 0
	done := ctx.Done()
	for done != nil || inside > 0 {
		select {
		case <-done:
			done = nil
		case reply := <-f.enters.Receive():
			if done != nil {
				inside++
			}
			reply.Answer(done != nil)
		case <-f.leaves:
			inside--
		}
	}
	close(f.closed)
	return ctx.Err()
}

// enter lets a caller in. It fails if the front is closed. Once it has asked it
// waits for the answer, so that no caller is counted who does not leave.
func (f *front) enter(ctx context.Context) error {
	reply := mailer.NewReply[bool]()
	if err := f.enters.Send(ctx, reply); err != nil {
		return errors.Wrap(err, "enter")
	}
	select {
	case open := <-reply.Receive():
		if open {
			return nil
		}
		return errClosed
	case <-f.closed:
		return errClosed
	}
}

// leave lets a caller out.
func (f *front) leave() {
	select {
	case f.leaves <- struct{}{}:
	case <-f.closed:
	}
}
