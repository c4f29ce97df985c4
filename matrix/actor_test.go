package matrix_test

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// actor is a task that owns a state of type S. Other goroutines read and change the
// state by messages only.
type actor[S any] struct {
	mailbox *mailer.Mailbox[func(*S)]
	state   S
}

func newActor[S any](state S) *actor[S] {
	return &actor[S]{mailbox: mailer.NewMailbox[func(*S)](), state: state}
}

// Serve implements suture.Service.
func (a *actor[S]) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case change := <-a.mailbox.Receive():
			change(&a.state)
		}
	}
}

// update applies change to the state and waits until it is done, or ctx ends.
func (a *actor[S]) update(ctx context.Context, change func(*S)) {
	_ = get(ctx, a, func(s *S) struct{} {
		change(s)
		return struct{}{}
	})
}

// get returns the result of read on the state of an actor, or the zero value if ctx
// ends first.
func get[S, R any](ctx context.Context, a *actor[S], read func(*S) R) R {
	r, _ := mailer.Ask(ctx, a.mailbox, func(reply mailer.Reply[R]) func(*S) {
		return func(s *S) { reply.Answer(read(s)) }
	})
	return r
}
