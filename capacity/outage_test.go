package capacity_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/standin"
	"github.com/buckthorndyke/buckthorndyke/tester"
)

// outageModels is the number of cold models that are requested while the log is
// down.
const outageModels = 12

// TestColdStartsWithoutTheLog guards against loads that need the log. The alternative
// design, which appends a record before each load, serves no cold start during an
// outage of the log; permissions granted in advance serve all.
func TestColdStartsWithoutTheLog(t *testing.T) {
	t.Run("with permissions granted before the outage", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			served := coldStartsInOutage(t, func(*tester.Fleet) {}, tester.Wrappers{})
			fmt.Printf("cold starts while the log is down, with permissions granted before: %d of %d\n", served, outageModels)
			asserter.Equal(t, served, outageModels)
		})
	})
	t.Run("with an append before each load, the alternative design", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			// NewFleet creates the log later, so that the wrapper reads it through a function.
			var log buckthorndyke.Log
			wrappers := tester.Wrappers{Engine: func(_ buckthorndyke.RunnerID, e buckthorndyke.Engine) buckthorndyke.Engine {
				return &appendingEngine{Engine: e, log: func() buckthorndyke.Log { return log }}
			}}
			served := coldStartsInOutage(t, func(f *tester.Fleet) { log = f.Log }, wrappers)
			fmt.Printf("cold starts while the log is down, with an append before each load: %d of %d\n", served, outageModels)
			asserter.Equal(t, served, 0)
		})
	})
}

// appendingEngine appends a log record before each load, like a design that decides
// each load in the log.
type appendingEngine struct {
	buckthorndyke.Engine
	log func() buckthorndyke.Log
}

// Order implements buckthorndyke.Engine.
func (e *appendingEngine) Order(ctx context.Context, o buckthorndyke.Order) (buckthorndyke.OrderState, error) {
	if o.Kind == buckthorndyke.OrderLoad {
		if _, err := e.log().Append(ctx, "loads", []byte(o.Model)); err != nil {
			return buckthorndyke.OrderUnknown, err
		}
	}
	return e.Engine.Order(ctx, o)
}

// coldStartsInOutage starts a fleet, takes its log down, requests each cold model and
// returns how many requests were served. It calls created with the new fleet.
func coldStartsInOutage(t *testing.T, created func(*tester.Fleet), wrappers tester.Wrappers) int {
	t.Helper()
	f := tester.NewFleet(t, tester.Config{
		Engine: standin.EngineConfig{ChecksFencingToken: true}, Nodes: 3, Runners: 4, Wrappers: wrappers,
	})
	created(f)
	f.ApplyRules(rulesFor(outageModels, 0))
	f.AwaitServing()
	<-f.Clock.After(measureWindow)
	asserter.NoError(t, f.Log.SetFaults(t.Context(), standin.LogFaults{Down: true}))
	<-f.Clock.After(measureWindow)
	outcomes := make(chan tester.Outcome, outageModels)
	for i := range outageModels {
		model := buckthorndyke.ModelID(fmt.Sprintf("model-%d", i))
		go func() { outcomes <- f.Generate(t.Context(), i%len(f.Nodes), tester.UrgentToken, model, "cold") }()
	}
	served := 0
	for range outageModels {
		if outcome := <-outcomes; outcome.Err == nil {
			served++
		}
	}
	return served
}
