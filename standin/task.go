package standin

import (
	"context"
	"fmt"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// Server is a task that a supervisor can run. It has the method set of
// suture.Service.
type Server interface {
	// Serve runs the task until ctx ends.
	Serve(ctx context.Context) error
}

// Start runs each task in its own goroutine until ctx ends.
func Start(ctx context.Context, tasks ...Server) {
	for _, t := range tasks {
		go func() { _ = t.Serve(ctx) }()
	}
}

// message is a message to the task that owns the state S. The context that handle
// gets is the task's.
type message[S any] interface {
	handle(ctx context.Context, s S)
}

// task owns a state and changes it only when it handles a message.
type task[S any] struct {
	box   *mailer.Mailbox[message[S]]
	state S
}

// Serve handles messages until ctx ends. It implements suture.Service.
func (t *task[S]) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-t.box.Receive():
			m.handle(ctx, t.state)
		}
	}
}

// newTask returns a task whose state is created by newState, which gets the task's
// mailbox.
func newTask[S any](newState func(box *mailer.Mailbox[message[S]]) S) task[S] {
	box := mailer.NewMailbox[message[S]]()
	return task[S]{box: box, state: newState(box)}
}

// ask sends the message that build returns and waits for the reply to it. If ctx
// ends first the error has the verdict NotRun, or MayHaveRun if the message was
// sent.
func ask[S, R any](ctx context.Context, t *task[S], build func(mailer.Reply[R]) message[S]) (R, error) {
	reply := mailer.NewReply[R]()
	var none R
	if ctx.Err() != nil {
		return none, contextError(ctx, buckthorndyke.NotRun)
	}
	if t.box.Send(ctx, build(reply)) != nil {
		return none, contextError(ctx, buckthorndyke.NotRun)
	}
	select {
	case r := <-reply.Receive():
		return r, nil
	case <-ctx.Done():
		return none, contextError(ctx, buckthorndyke.MayHaveRun)
	}
}

// contextError returns the error of a call whose context has ended.
func contextError(ctx context.Context, verdict buckthorndyke.Verdict) error {
	refusal := buckthorndyke.NewRefusal(buckthorndyke.CodeDeadline, verdict, "the call's context ended")
	return fmt.Errorf("%w: %w", refusal, context.Cause(ctx))
}

// sleep waits for d. If ctx ends first it returns an error with the verdict
// MayHaveRun.
func sleep(ctx context.Context, clock buckthorndyke.Clock, d buckthorndyke.Millis) error {
	if d <= 0 {
		return nil
	}
	select {
	case <-clock.After(d):
		return nil
	case <-ctx.Done():
		return contextError(ctx, buckthorndyke.MayHaveRun)
	}
}

// result is the reply to a message that can fail.
type result[V any] struct {
	// delay is the time until the reply arrives at the caller.
	delay buckthorndyke.Millis
	err   error
	value V
}

// askDelayed is ask for replies with a delay. It returns once the delay has passed.
func askDelayed[S, V any](
	ctx context.Context, clock buckthorndyke.Clock, t *task[S], build func(mailer.Reply[result[V]]) message[S],
) (V, error) {
	var none V
	r, err := ask(ctx, t, build)
	if err != nil {
		return none, err
	}
	if err := sleep(ctx, clock, r.delay); err != nil {
		return none, err
	}
	return r.value, r.err
}

// acknowledged is the reply to a message that returns nothing.
type acknowledged = struct{}

// tell sends the message that build returns and waits until it is handled.
func tell[S any](ctx context.Context, t *task[S], build func(mailer.Reply[acknowledged]) message[S]) error {
	_, err := ask(ctx, t, build)
	return err
}
