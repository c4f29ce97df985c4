package recorder_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/supervisor/recorder"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

func TestEngines(t *testing.T) {
	for name, c := range map[string]struct {
		err    error
		kind   buckthorndyke.OrderKind
		metric buckthorndyke.Metric
		state  buckthorndyke.OrderState
	}{
		"a load":                        {kind: buckthorndyke.OrderLoad, metric: buckthorndyke.MetricLoads, state: buckthorndyke.OrderDone},
		"an eviction":                   {kind: buckthorndyke.OrderUnload, metric: buckthorndyke.MetricEvictions, state: buckthorndyke.OrderDone},
		"a fenced order":                {kind: buckthorndyke.OrderLoad, metric: "order-failures/fenced", state: buckthorndyke.OrderFenced},
		"an order that got no response": {err: errors.New("lost"), kind: buckthorndyke.OrderLoad, metric: "order-failures/no-answer"},
	} {
		t.Run(name+" is counted once", func(t *testing.T) {
			meter := &fakeMeter{counts: map[buckthorndyke.Metric]int64{}}
			engines := recorder.NewEngines(fakeEngines{err: c.err, state: c.state}, meter, timekeeper.NewRealClock())
			_, _ = engines.At("").Order(t.Context(), buckthorndyke.Order{Kind: c.kind})
			asserter.Equal(t, meter.counts, map[buckthorndyke.Metric]int64{c.metric: 1})
		})
	}
}

func TestGateway(t *testing.T) {
	t.Run("a refusal is counted by rank and code", func(t *testing.T) {
		meter := &fakeMeter{counts: map[buckthorndyke.Metric]int64{}}
		refused := buckthorndyke.NewRefusal(buckthorndyke.CodeOverloaded, buckthorndyke.NotRun, "full")
		g := recorder.NewGateway(&fakeGateway{err: refused}, meter, timekeeper.NewRealClock())
		_, err := g.Generate(t.Context(), buckthorndyke.GenerateRequest{})
		asserter.Refused(t, err, buckthorndyke.CodeOverloaded, buckthorndyke.NotRun)
		asserter.Equal(t, meter.counts, map[buckthorndyke.Metric]int64{"requests-refused/urgent/overloaded": 1})
	})
	t.Run("a response is counted once, with the time to its first token", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			meter := &fakeMeter{counts: map[buckthorndyke.Metric]int64{}}
			clock := timekeeper.NewRealClock()
			g := recorder.NewGateway(&fakeGateway{clock: clock}, meter, clock)
			stream, err := g.Generate(t.Context(), buckthorndyke.GenerateRequest{})
			asserter.NoError(t, err)
			for token := (buckthorndyke.Token{}); !token.Last; {
				token, err = stream.Next(t.Context())
				asserter.NoError(t, err)
			}
			asserter.Equal(t, meter.counts, map[buckthorndyke.Metric]int64{"requests-served/urgent": 1})
			asserter.Equal(t, meter.observed, firstTokenDelay)
		})
	})
}

// firstTokenDelay is how long a fakeGateway waits before each token.
const firstTokenDelay = 40 * buckthorndyke.Millisecond

type fakeEngines struct {
	buckthorndyke.Engine
	err   error
	state buckthorndyke.OrderState
}

func (e fakeEngines) At(string) buckthorndyke.Engine { return e }

func (e fakeEngines) Order(context.Context, buckthorndyke.Order) (buckthorndyke.OrderState, error) {
	return e.state, e.err
}

type fakeGateway struct {
	buckthorndyke.Gateway
	clock buckthorndyke.Clock
	err   error
	sent  int
}

func (g *fakeGateway) Close() error { return nil }

func (g *fakeGateway) Generate(context.Context, buckthorndyke.GenerateRequest) (buckthorndyke.TokenStream, error) {
	return g, g.err
}

func (g *fakeGateway) Next(context.Context) (buckthorndyke.Token, error) {
	<-g.clock.After(firstTokenDelay)
	g.sent++
	return buckthorndyke.Token{Last: g.sent == 3}, nil
}

type fakeMeter struct {
	counts   map[buckthorndyke.Metric]int64
	observed buckthorndyke.Millis
}

func (m *fakeMeter) Count(name buckthorndyke.Metric, n int64) { m.counts[name] += n }

func (m *fakeMeter) Observe(_ buckthorndyke.Metric, d buckthorndyke.Millis) { m.observed = d }

func (m *fakeMeter) Set(buckthorndyke.Metric, int64) {}
