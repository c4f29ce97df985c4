package standin_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/standin"
)

func TestMemoryEngineOrders(t *testing.T) {
	t.Run("an outdated fencing token is refused if the engine checks it", func(t *testing.T) {
		withBubble(t, func(ctx context.Context, t *testing.T, clock buckthorndyke.Clock) {
			engine := startEngine(ctx, clock, standin.EngineConfig{ChecksFencingToken: true})
			assertOrder(ctx, t, engine, buckthorndyke.Order{FencingToken: 7, ID: "f", Kind: buckthorndyke.OrderFence}, buckthorndyke.OrderDone)
			old := buckthorndyke.Order{FencingToken: 6, ID: "old", Kind: buckthorndyke.OrderLoad, Model: model}
			assertOrder(ctx, t, engine, old, buckthorndyke.OrderFenced)
			status, err := engine.Status(ctx)
			asserter.NoError(t, err)
			asserter.Equal(t, status.FencingToken, 7)
			asserter.Equal(t, status.Orders["old"], buckthorndyke.OrderFenced)
			asserter.Equal(t, len(status.Residents), 0)
		})
	})
	t.Run("an outdated fencing token is accepted if the engine does not check it", func(t *testing.T) {
		withBubble(t, func(ctx context.Context, t *testing.T, clock buckthorndyke.Clock) {
			engine := startEngine(ctx, clock, standin.EngineConfig{})
			assertOrder(ctx, t, engine, buckthorndyke.Order{FencingToken: 7, ID: "f", Kind: buckthorndyke.OrderFence}, buckthorndyke.OrderDone)
			load(ctx, t, engine, buckthorndyke.Order{FencingToken: 6, Model: model})
		})
	})
	t.Run("an order whose reply is lost is carried out", func(t *testing.T) {
		withBubble(t, func(ctx context.Context, t *testing.T, clock buckthorndyke.Clock) {
			engine := startEngine(ctx, clock, standin.EngineConfig{})
			asserter.NoError(t, engine.SetFaults(ctx, standin.EngineFaults{LoseOrderReplies: 1}))
			order := buckthorndyke.Order{ID: "o", Kind: buckthorndyke.OrderLoad, MemoryMB: 8000, Model: model}
			_, err := engine.Order(ctx, order)
			asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
			assertOrderState(ctx, t, engine, "o", buckthorndyke.OrderRunning)
			assertOrder(ctx, t, engine, order, buckthorndyke.OrderDone)
			assertOrderState(ctx, t, engine, "o", buckthorndyke.OrderDone)
			journal, err := engine.Journal(ctx)
			asserter.NoError(t, err)
			asserter.Equal(t, journal.Loads[model], 1)
			asserter.Equal(t, len(journal.Orders), 1)
		})
	})
	t.Run("a delayed order is carried out after its sender has given up", func(t *testing.T) {
		withBubble(t, func(ctx context.Context, t *testing.T, clock buckthorndyke.Clock) {
			engine := startEngine(ctx, clock, standin.EngineConfig{})
			asserter.NoError(t, engine.SetFaults(ctx, standin.EngineFaults{OrderDelay: buckthorndyke.Minute}))
			short, cancel := context.WithTimeout(ctx, buckthorndyke.Second.Duration())
			defer cancel()
			_, err := engine.Order(short, buckthorndyke.Order{ID: "o", Kind: buckthorndyke.OrderLoad, Model: model})
			asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
			assertOrderState(ctx, t, engine, "o", "")
			<-clock.After(2 * buckthorndyke.Minute)
			assertOrderState(ctx, t, engine, "o", buckthorndyke.OrderDone)
		})
	})
	t.Run("a load beyond the memory is carried out and recorded as overcommitted", func(t *testing.T) {
		withBubble(t, func(ctx context.Context, t *testing.T, clock buckthorndyke.Clock) {
			engine := startEngine(ctx, clock, standin.EngineConfig{MemoryMB: 10000})
			load(ctx, t, engine, buckthorndyke.Order{MemoryMB: 8000, Model: model})
			assertOvercommitted(ctx, t, engine, false, 8000)
			load(ctx, t, engine, buckthorndyke.Order{MemoryMB: 8000, Model: "another"})
			assertOvercommitted(ctx, t, engine, true, 16000)
		})
	})
	t.Run("an adapter needs its base model and is unloaded with it", func(t *testing.T) {
		withBubble(t, func(ctx context.Context, t *testing.T, clock buckthorndyke.Clock) {
			engine := startEngine(ctx, clock, standin.EngineConfig{})
			adapter := buckthorndyke.Order{Base: model, ID: "early", Kind: buckthorndyke.OrderLoad, MemoryMB: 50, Model: "adapter"}
			assertOrder(ctx, t, engine, adapter, buckthorndyke.OrderFailed)
			load(ctx, t, engine, buckthorndyke.Order{MemoryMB: 8000, Model: model})
			adapter.ID = "later"
			before := clock.Now()
			assertOrder(ctx, t, engine, adapter, buckthorndyke.OrderDone)
			assertBetween(t, clock.Now()-before, 5*buckthorndyke.Millisecond, 10*buckthorndyke.Millisecond)
			unload := buckthorndyke.Order{ID: "u", Kind: buckthorndyke.OrderUnload, Model: model}
			assertOrder(ctx, t, engine, unload, buckthorndyke.OrderDone)
			status, err := engine.Status(ctx)
			asserter.NoError(t, err)
			asserter.Equal(t, len(status.Residents), 0)
		})
	})
	t.Run("an unload makes a running load of the model fail", func(t *testing.T) {
		withBubble(t, func(ctx context.Context, t *testing.T, clock buckthorndyke.Clock) {
			engine := startEngine(ctx, clock, standin.EngineConfig{})
			go func() {
				_, _ = engine.Order(ctx, buckthorndyke.Order{ID: "l", Kind: buckthorndyke.OrderLoad, MemoryMB: 8000, Model: model})
			}()
			synctest.Wait()
			assertOrder(ctx, t, engine, buckthorndyke.Order{ID: "u", Kind: buckthorndyke.OrderUnload, Model: model}, buckthorndyke.OrderDone)
			assertOrderState(ctx, t, engine, "l", buckthorndyke.OrderFailed)
		})
	})
	t.Run("a status lags behind except for the states of orders", func(t *testing.T) {
		withBubble(t, func(ctx context.Context, t *testing.T, clock buckthorndyke.Clock) {
			engine := startEngine(ctx, clock, standin.EngineConfig{StatusLag: buckthorndyke.Second})
			load(ctx, t, engine, buckthorndyke.Order{MemoryMB: 1000, Model: model})
			status, err := engine.Status(ctx)
			asserter.NoError(t, err)
			asserter.Equal(t, status.Orders["load-"+buckthorndyke.OrderID(model)], buckthorndyke.OrderDone)
			asserter.Equal(t, len(status.Residents), 0)
			<-clock.After(2 * buckthorndyke.Second)
			status, err = engine.Status(ctx)
			asserter.NoError(t, err)
			asserter.Equal(t, status.Residents, []buckthorndyke.Resident{{MemoryMB: 1000, Model: model}})
		})
	})
	t.Run("a cached checkpoint loads faster than a remote one", func(t *testing.T) {
		withBubble(t, func(ctx context.Context, t *testing.T, clock buckthorndyke.Clock) {
			engine := startEngine(ctx, clock, standin.EngineConfig{CachedOnDisk: []buckthorndyke.ModelID{"disk"}})
			before := clock.Now()
			load(ctx, t, engine, buckthorndyke.Order{MemoryMB: 8000, Model: "disk"})
			asserter.Equal(t, clock.Now()-before, 2*buckthorndyke.Second)
			before = clock.Now()
			load(ctx, t, engine, buckthorndyke.Order{MemoryMB: 8000, Model: "remote"})
			asserter.Equal(t, clock.Now()-before, 4*buckthorndyke.Second)
		})
	})
}

func assertBetween(t *testing.T, got, low, high buckthorndyke.Millis) {
	t.Helper()
	if got < low || got > high {
		t.Errorf("got %d ms, want from %d to %d ms", got, low, high)
	}
}

func assertOrder(
	ctx context.Context, t *testing.T, engine buckthorndyke.Engine, order buckthorndyke.Order, want buckthorndyke.OrderState,
) {
	t.Helper()
	got, err := engine.Order(ctx, order)
	asserter.NoError(t, err)
	asserter.Equal(t, got, want)
}

func assertOrderState(
	ctx context.Context, t *testing.T, engine buckthorndyke.Engine, id buckthorndyke.OrderID, want buckthorndyke.OrderState,
) {
	t.Helper()
	status, err := engine.Status(ctx)
	asserter.NoError(t, err)
	asserter.Equal(t, status.Orders[id], want)
}

func assertOvercommitted(ctx context.Context, t *testing.T, engine *standin.MemoryEngine, want bool, highestMB int) {
	t.Helper()
	journal, err := engine.Journal(ctx)
	asserter.NoError(t, err)
	asserter.Equal(t, journal.Overcommitted, want)
	asserter.Equal(t, journal.HighestMemoryMB, highestMB)
}
