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

// outageModels is the number of cold models that are asked for while the log is
// down.
const outageModels = 12

func TestColdStartsWithoutTheLog(t *testing.T) {
	t.Run("a permission ahead of the request", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			served := coldStartsInOutage(t, func(*tester.Fleet) {}, tester.Wiring{})
			fmt.Printf("cold starts while the log is down, permission ahead: %d of %d\n", served, outageModels)
			asserter.Equal(t, served, outageModels)
		})
	})
	t.Run("an append for each load, as the alternative", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			// The fleet makes its log after the wiring.
			var log buckthorndyke.Log
			wiring := tester.Wiring{Engine: func(_ buckthorndyke.RunnerID, e buckthorndyke.Engine) buckthorndyke.Engine {
				return &appendingEngine{Engine: e, log: func() buckthorndyke.Log { return log }}
			}}
			served := coldStartsInOutage(t, func(f *tester.Fleet) { log = f.Log }, wiring)
			fmt.Printf("cold starts while the log is down, an append for each load: %d of %d\n", served, outageModels)
			asserter.Equal(t, served, 0)
		})
	})
}

// appendingEngine appends a record before each load, as a design does that
// decides each load in the log.
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

// coldStartsInOutage takes the log down, asks for cold models and returns how
// many requests were served.
func coldStartsInOutage(t *testing.T, made func(*tester.Fleet), wiring tester.Wiring) int {
	t.Helper()
	f := tester.NewFleet(t, tester.Config{
		Engine: standin.EngineConfig{ChecksFence: true}, Nodes: 3, Runners: 4, Wiring: wiring,
	})
	made(f)
	f.Apply(rulesFor(outageModels, 0))
	f.AwaitServing()
	<-f.Clock.After(measureWindow)
	asserter.NoError(t, f.Log.SetFaults(t.Context(), standin.LogFaults{Down: true}))
	<-f.Clock.After(measureWindow)
	answers := make(chan tester.Answer, outageModels)
	for i := range outageModels {
		model := buckthorndyke.ModelID(fmt.Sprintf("model-%d", i))
		go func() { answers <- f.Generate(t.Context(), i%len(f.Nodes), tester.UrgentToken, model, "cold") }()
	}
	served := 0
	for range outageModels {
		if answer := <-answers; answer.Err == nil {
			served++
		}
	}
	return served
}
