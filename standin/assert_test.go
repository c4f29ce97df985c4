package standin_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/standin"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

// withBubble runs test in a synctest bubble with a clock. The context is cancelled
// when the test returns, which ends its tasks.
func withBubble(t *testing.T, test func(ctx context.Context, t *testing.T, clock buckthorndyke.Clock)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		test(ctx, t, timekeeper.NewRealClock())
	})
}

// load loads a model or adapter and fails the test if the order does not succeed.
func load(ctx context.Context, t *testing.T, engine buckthorndyke.Engine, order buckthorndyke.Order) {
	t.Helper()
	order.Kind = buckthorndyke.OrderLoad
	if order.ID == "" {
		order.ID = buckthorndyke.OrderID("load-" + order.Model)
	}
	state, err := engine.Order(ctx, order)
	asserter.NoError(t, err)
	asserter.Equal(t, state, buckthorndyke.OrderDone)
}

// collect returns the texts of a stream's tokens up to its last token or error.
// The first token must have the index first.
func collect(ctx context.Context, t *testing.T, s buckthorndyke.TokenStream, first int) ([]string, error) {
	t.Helper()
	var texts []string
	for {
		token, err := s.Next(ctx)
		if err != nil {
			return texts, err
		}
		asserter.Equal(t, token.Index, first+len(texts))
		if token.Last {
			return texts, nil
		}
		texts = append(texts, token.Text)
	}
}

// startEngine starts an engine and the weight store that it loads from.
func startEngine(
	ctx context.Context, clock buckthorndyke.Clock, cfg standin.EngineConfig, opts ...standin.EngineOption,
) *standin.MemoryEngine {
	store := standin.NewMemoryWeightStore(clock)
	engine := standin.NewMemoryEngine(clock, store, cfg, opts...)
	standin.Start(ctx, store, engine)
	return engine
}
