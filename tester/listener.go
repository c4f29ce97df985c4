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
type listener struct {
	begins *mailer.Mailbox[mailer.Reply[bool]]
	// closed is closed once the last caller has left a stopped front.
	closed chan struct{}
	ends   chan struct{}
}

func newListener() *listener {
	return &listener{closed: make(chan struct{}), begins: mailer.NewMailbox[mailer.Reply[bool]](), ends: make(chan struct{})}
}

// Serve implements suture.Service.
func (f *listener) Serve(ctx context.Context) error {
	inside := 0
	done := ctx.Done()
	for done != nil || inside > 0 {
		select {
		case <-done:
			done = nil
		case reply := <-f.begins.Receive():
			if done != nil {
				inside++
			}
			reply.Answer(done != nil)
		case <-f.ends:
			inside--
		}
	}
	close(f.closed)
	return ctx.Err()
}

// enter lets a caller in. It fails if the front is closed. Once it has asked it
// waits for the answer, so that no caller is counted who does not leave.
func (f *listener) beginRequest(ctx context.Context) error {
	reply := mailer.NewReply[bool]()
	if err := f.begins.Send(ctx, reply); err != nil {
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
func (f *listener) endRequest() {
	select {
	case f.ends <- struct{}{}:
	case <-f.closed:
	}
}
