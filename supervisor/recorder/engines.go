package recorder

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

// Engines wraps the clients of the runners' engines and records the loads, evictions
// and failed orders.
type Engines struct {
	clock   buckthorndyke.Clock
	engines buckthorndyke.Engines
	meter   buckthorndyke.Meter
}

// NewEngines returns Engines that wrap engines and record to meter.
func NewEngines(engines buckthorndyke.Engines, meter buckthorndyke.Meter, clock buckthorndyke.Clock) *Engines {
	return &Engines{clock: clock, engines: engines, meter: meter}
}

// At implements buckthorndyke.Engines.
func (e *Engines) At(address string) buckthorndyke.Engine {
	return &recordingEngine{Engine: e.engines.At(address), engines: e}
}

// recordingEngine wraps the client of one engine and records its orders.
type recordingEngine struct {
	buckthorndyke.Engine
	engines *Engines
}

// Order implements buckthorndyke.Engine.
func (e *recordingEngine) Order(ctx context.Context, order buckthorndyke.Order) (buckthorndyke.OrderState, error) {
	began := e.engines.clock.Now()
	state, err := e.Engine.Order(ctx, order)
	meter := e.engines.meter
	switch {
	case err != nil:
		meter.Count(buckthorndyke.MetricOrderFailures.Of("no-answer"), 1)
	case state != buckthorndyke.OrderDone:
		meter.Count(buckthorndyke.MetricOrderFailures.Of(string(state)), 1)
	case order.Kind == buckthorndyke.OrderLoad:
		meter.Count(buckthorndyke.MetricLoads, 1)
		meter.Observe(buckthorndyke.MetricLoadTime, e.engines.clock.Now()-began)
	case order.Kind == buckthorndyke.OrderUnload:
		meter.Count(buckthorndyke.MetricEvictions, 1)
	}
	return state, err
}
