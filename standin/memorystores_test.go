package standin_test

import (
	"context"
	"fmt"
	"testing"

	"golang.org/x/sync/errgroup"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/standin"
)

func TestMemoryVMList(t *testing.T) {
	t.Run("a change is visible after the lag", func(t *testing.T) {
		withBubble(t, func(ctx context.Context, t *testing.T, clock buckthorndyke.Clock) {
			first, second := buckthorndyke.VM{ID: "a"}, buckthorndyke.VM{ID: "b"}
			list := standin.NewMemoryVMList(clock, standin.WithLag(buckthorndyke.Second), standin.WithVMs(first))
			standin.Start(ctx, list)
			asserter.NoError(t, list.Set(ctx, []buckthorndyke.VM{second}))
			assertListed(ctx, t, list, first)
			<-clock.After(buckthorndyke.Second)
			assertListed(ctx, t, list, second)
		})
	})
}

func TestMemoryWeightStore(t *testing.T) {
	t.Run("a store that is down refuses as not run", func(t *testing.T) {
		withBubble(t, func(ctx context.Context, t *testing.T, clock buckthorndyke.Clock) {
			store := startStore(ctx, clock)
			asserter.NoError(t, store.SetFaults(ctx, standin.StoreFaults{Down: true}))
			_, err := store.Describe(ctx, model)
			asserter.Verdict(t, err, buckthorndyke.NotRun)
			asserter.Verdict(t, store.Fetch(ctx, model, false, 1), buckthorndyke.NotRun)
		})
	})
	t.Run("a checkpoint that the store does not have is unknown", func(t *testing.T) {
		withBubble(t, func(ctx context.Context, t *testing.T, clock buckthorndyke.Clock) {
			known := buckthorndyke.Checkpoint{Model: model, SizeMB: 123}
			store := startStore(ctx, clock, standin.WithCheckpoints(known), standin.WithDefaultSize(0))
			got, err := store.Describe(ctx, model)
			asserter.NoError(t, err)
			asserter.Equal(t, got, known)
			_, err = store.Describe(ctx, "another")
			asserter.Code(t, err, buckthorndyke.CodeModelUnknown)
		})
	})
	t.Run("at most four models start in a second", func(t *testing.T) {
		withBubble(t, func(ctx context.Context, t *testing.T, clock buckthorndyke.Clock) {
			store := startStore(ctx, clock)
			asserter.Equal(t, fetchAll(ctx, t, clock, store, 9, false), 2*buckthorndyke.Second+loadDuration*9/4)
			stats, err := store.Stats(ctx)
			asserter.NoError(t, err)
			asserter.Equal(t, stats, standin.StoreStats{HighestModels: 9, Models: 9, ModelsBeyondLimit: 5})
		})
	})
	t.Run("adapter loads slow down beyond thirty at once", func(t *testing.T) {
		withBubble(t, func(ctx context.Context, t *testing.T, clock buckthorndyke.Clock) {
			store := startStore(ctx, clock)
			asserter.Equal(t, fetchAll(ctx, t, clock, store, 30, true), loadDuration)
			asserter.Equal(t, fetchAll(ctx, t, clock, store, 60, true), 2*loadDuration)
		})
	})
	t.Run("a cancelled load no longer counts towards the limit", func(t *testing.T) {
		withBubble(t, func(ctx context.Context, t *testing.T, clock buckthorndyke.Clock) {
			store := startStore(ctx, clock)
			short, cancel := context.WithTimeout(ctx, buckthorndyke.Millisecond.Duration())
			defer cancel()
			asserter.Verdict(t, store.Fetch(short, model, true, loadDuration), buckthorndyke.MayHaveRun)
			asserter.Equal(t, fetchAll(ctx, t, clock, store, 30, true), loadDuration)
		})
	})
}

// loadDuration is the time of a load at full speed.
const loadDuration = 400 * buckthorndyke.Millisecond

func assertListed(ctx context.Context, t *testing.T, list buckthorndyke.VMList, want ...buckthorndyke.VM) {
	t.Helper()
	got, err := list.List(ctx)
	asserter.NoError(t, err)
	asserter.Equal(t, got, want)
}

// fetchAll fetches n checkpoints concurrently and returns how long that takes.
func fetchAll(
	ctx context.Context, t *testing.T, clock buckthorndyke.Clock, store *standin.MemoryWeightStore, n int, adapter bool,
) buckthorndyke.Millis {
	t.Helper()
	before := clock.Now()
	var g errgroup.Group
	for i := range n {
		g.Go(func() error {
			return store.Fetch(ctx, buckthorndyke.ModelID(fmt.Sprint(i)), adapter, loadDuration)
		})
	}
	asserter.NoError(t, g.Wait())
	return clock.Now() - before
}

func startStore(
	ctx context.Context, clock buckthorndyke.Clock, opts ...standin.StoreOption,
) *standin.MemoryWeightStore {
	store := standin.NewMemoryWeightStore(clock, opts...)
	standin.Start(ctx, store)
	return store
}
