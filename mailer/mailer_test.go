package mailer_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

func TestMailbox(t *testing.T) {
	t.Run("Ask returns the answer of the task", func(t *testing.T) {
		box := mailer.NewMailbox[mailer.Reply[int]]()
		go func() { (<-box.Receive()).Answer(7) }()
		got, err := mailer.Ask(t.Context(), box, func(r mailer.Reply[int]) mailer.Reply[int] { return r })
		asserter.NoError(t, err)
		asserter.Equal(t, got, 7)
	})
	t.Run("Send to a full mailbox returns when its context ends", func(t *testing.T) {
		box := mailer.NewMailbox[int](mailer.WithCapacity(1))
		asserter.Equal(t, box.TrySend(1), true)
		asserter.Equal(t, box.TrySend(2), false)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		asserter.Equal(t, box.Send(ctx, 2) != nil, true)
	})
}

func TestFeed(t *testing.T) {
	t.Run("a slow subscriber gets only the newest value", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			feed := mailer.NewFeed[int]()
			go func() { _ = feed.Serve(ctx) }()
			values := feed.Subscribe(ctx)
			for v := range 5 {
				asserter.NoError(t, feed.Publish(ctx, v))
				synctest.Wait()
			}
			asserter.Equal(t, <-values, 4)
		})
	})
	t.Run("a late subscriber gets the newest value", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			feed := mailer.NewFeed[string]()
			go func() { _ = feed.Serve(ctx) }()
			asserter.NoError(t, feed.Publish(ctx, "new"))
			synctest.Wait()
			asserter.Equal(t, <-feed.Subscribe(ctx), "new")
		})
	})
}
