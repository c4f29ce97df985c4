package matrix_test

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// actor is a task that owns a state and changes it only by messages.
type actor[S any] struct {
	mailbox   *mailer.Mailbox[func(*S)]
	state S
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

// tell changes the state and waits until that is done.
func (a *actor[S]) update(ctx context.Context, change func(*S)) {
	_ = get(ctx, a, func(s *S) struct{} {
		change(s)
		return struct{}{}
	})
}

// get returns what read finds in the state of an actor.
func get[S, R any](ctx context.Context, a *actor[S], read func(*S) R) R {
	r, _ := mailer.Ask(ctx, a.mailbox, func(reply mailer.Reply[R]) func(*S) {
		return func(s *S) { reply.Answer(read(s)) }
	})
	return r
}
