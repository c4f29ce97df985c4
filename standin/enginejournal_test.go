package standin_test

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/standin"
)

// TestEngineJournal guards the keys of GET /journal and their order against renames
// of Go fields.
func TestEngineJournal(t *testing.T) {
	t.Run("keys in JSON", func(t *testing.T) {
		data, err := json.Marshal(standin.EngineJournal{
			Changes: []standin.ResidentChange{{At: 1, InMemory: true, Model: model}},
			Orders: []standin.OrderRecord{{
				At: 2, State: buckthorndyke.OrderDone,
				Order: buckthorndyke.Order{Base: "b", FencingToken: 7, ID: "o", Kind: buckthorndyke.OrderLoad, MemoryMB: 5, Model: model},
			}},
			UnloadAbortedJobs: 3,
		})
		asserter.NoError(t, err)
		asserter.Equal(t, string(data), `{"changes":[{"at-ms":1,"held":true,"model":"`+string(model)+`"}],`+
			`"crashes":0,"highest-memory-mb":0,"highest-running":0,"jobs":null,"loads":null,`+
			`"orders":[{"at-ms":2,"order":{"Base":"b","Fence":7,"ID":"o","Kind":"load","MemoryMB":5,"Model":"`+string(model)+`"},"state":"done"}],`+
			`"overcommitted":false,"unloaded-under-jobs":3}`)
	})
}

func TestMaxReplicas(t *testing.T) {
	t.Run("one engine after the other", func(t *testing.T) {
		withBubble(t, func(ctx context.Context, t *testing.T, clock buckthorndyke.Clock) {
			a, b := startEngine(ctx, clock, standin.EngineConfig{}), startEngine(ctx, clock, standin.EngineConfig{})
			load(ctx, t, a, buckthorndyke.Order{MemoryMB: 8000, Model: model})
			assertOrder(ctx, t, a, buckthorndyke.Order{ID: "u", Kind: buckthorndyke.OrderUnload, Model: model}, buckthorndyke.OrderDone)
			load(ctx, t, b, buckthorndyke.Order{MemoryMB: 8000, Model: model})
			assertMaxReplicas(ctx, t, 1, a, b)
		})
	})
	t.Run("two engines at once", func(t *testing.T) {
		withBubble(t, func(ctx context.Context, t *testing.T, clock buckthorndyke.Clock) {
			a, b := startEngine(ctx, clock, standin.EngineConfig{}), startEngine(ctx, clock, standin.EngineConfig{})
			load(ctx, t, a, buckthorndyke.Order{MemoryMB: 8000, Model: model})
			load(ctx, t, b, buckthorndyke.Order{MemoryMB: 8000, Model: model})
			assertMaxReplicas(ctx, t, 2, a, b)
		})
	})
	t.Run("a crash and a failed load remove the model from memory", func(t *testing.T) {
		withBubble(t, func(ctx context.Context, t *testing.T, clock buckthorndyke.Clock) {
			store := standin.NewMemoryWeightStore(clock, standin.WithDefaultSize(0))
			a := standin.NewMemoryEngine(clock, store, standin.EngineConfig{})
			b := startLoadedEngine(ctx, clock, standin.EngineConfig{})
			standin.Start(ctx, store, a)
			order := buckthorndyke.Order{ID: "o", Kind: buckthorndyke.OrderLoad, Model: model}
			asserter.NoError(t, b.Crash(ctx))
			assertOrder(ctx, t, a, order, buckthorndyke.OrderFailed)
			<-clock.After(buckthorndyke.Minute)
			load(ctx, t, b, buckthorndyke.Order{MemoryMB: 8000, Model: model})
			assertMaxReplicas(ctx, t, 1, a, b)
		})
	})
}

// assertMaxReplicas checks the highest number of engines that had the model in
// memory at once.
func assertMaxReplicas(ctx context.Context, t *testing.T, want int, engines ...*standin.MemoryEngine) {
	t.Helper()
	var journals []standin.EngineJournal
	for _, engine := range engines {
		journal, err := engine.Journal(ctx)
		asserter.NoError(t, err)
		journals = append(journals, journal)
	}
	asserter.Equal(t, standin.MaxReplicas(model, journals...), want)
}
