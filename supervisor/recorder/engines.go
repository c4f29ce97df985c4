package recorder

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

// Engines reaches the runners' engines and records the orders that they carry
// out.
type Engines struct {
	clock   buckthorndyke.Clock
	engines buckthorndyke.Engines
	meter   buckthorndyke.Meter
}

// NewEngines returns engines that record their orders to meter.
func NewEngines(engines buckthorndyke.Engines, meter buckthorndyke.Meter, clock buckthorndyke.Clock) *Engines {
	return &Engines{clock: clock, engines: engines, meter: meter}
}

// At implements buckthorndyke.Engines.
func (e *Engines) At(address string) buckthorndyke.Engine {
	return &recordedEngine{Engine: e.engines.At(address), engines: e}
}

// recordedEngine records the orders of one engine.
type recordedEngine struct {
	buckthorndyke.Engine
	engines *Engines
}

// Order implements buckthorndyke.Engine.
func (e *recordedEngine) Order(ctx context.Context, order buckthorndyke.Order) (buckthorndyke.OrderState, error) {
	begun := e.engines.clock.Now()
	state, err := e.Engine.Order(ctx, order)
	meter := e.engines.meter
	switch {
	case err != nil:
		meter.Count(buckthorndyke.MetricOrderFailures.Of("no-answer"), 1)
	case state != buckthorndyke.OrderDone:
		meter.Count(buckthorndyke.MetricOrderFailures.Of(string(state)), 1)
	case order.Kind == buckthorndyke.OrderLoad:
		meter.Count(buckthorndyke.MetricLoads, 1)
		meter.Observe(buckthorndyke.MetricLoadTime, e.engines.clock.Now()-begun)
	case order.Kind == buckthorndyke.OrderUnload:
		meter.Count(buckthorndyke.MetricEvictions, 1)
	}
	return state, err
}
