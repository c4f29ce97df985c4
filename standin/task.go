package standin

import (
	"context"
	"fmt"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// Server is what a supervisor runs.
type Server interface {
	// Serve works until ctx ends.
	Serve(ctx context.Context) error
}

// Start runs tasks in goroutines of their own until ctx ends.
func Start(ctx context.Context, tasks ...Server) {
	for _, t := range tasks {
		go func() { _ = t.Serve(ctx) }()
	}
}

// message is handled by the task that owns the state S. Its context is that of
// the task.
type message[S any] interface {
	handle(ctx context.Context, s S)
}

// task owns a state and changes it only in answer to messages.
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

// newTask returns a task whose state is made around its mailbox.
func newTask[S any](newState func(box *mailer.Mailbox[message[S]]) S) task[S] {
	box := mailer.NewMailbox[message[S]]()
	return task[S]{box: box, state: newState(box)}
}

// ask sends the message that build makes around a reply, and waits for the
// answer. The error of an unsent message has the verdict NotRun.
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

// ended returns the error of a call that ended with its context.
func contextError(ctx context.Context, verdict buckthorndyke.Verdict) error {
	refusal := buckthorndyke.NewRefusal(buckthorndyke.CodeDeadline, verdict, "the call was given up")
	return fmt.Errorf("%w: %w", refusal, context.Cause(ctx))
}

// pause waits for d. It returns the error of a call whose answer did not come
// in time if ctx ends first.
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

// result is the answer to a message that can fail.
type result[V any] struct {
	// delay is how long the answer is on its way.
	delay buckthorndyke.Millis
	err   error
	value V
}

// await asks and then waits until the answer has arrived.
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

// acknowledged answers a message that returns nothing.
type acknowledged = struct{}

// tell sends a message and waits until it was handled.
func tell[S any](ctx context.Context, t *task[S], build func(mailer.Reply[acknowledged]) message[S]) error {
	_, err := ask(ctx, t, build)
	return err
}
