package recorder

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

// BackendPool wraps a backend pool and records the requests and orders that are sent.
type BackendPool struct {
	buckthorndyke.BackendPool
	clock buckthorndyke.Clock
	meter buckthorndyke.Meter
}

// NewBackendPool returns a backend pool that wraps p and records to meter.
func NewBackendPool(p buckthorndyke.BackendPool, meter buckthorndyke.Meter, clock buckthorndyke.Clock) *BackendPool {
	return &BackendPool{BackendPool: p, clock: clock, meter: meter}
}

// Dispatch implements buckthorndyke.BackendPool.
func (p *BackendPool) Dispatch(ctx context.Context, d buckthorndyke.Dispatch) (buckthorndyke.DispatchResponse, error) {
	response, err := p.BackendPool.Dispatch(ctx, d)
	switch {
	case err != nil:
		p.meter.Count(buckthorndyke.MetricAttempts.Of("failed").Of(buckthorndyke.VerdictOf(err).String()), 1)
	case response.NotRun:
		p.meter.Count(buckthorndyke.MetricAttempts.Of("refused"), 1)
	default:
		p.meter.Count(buckthorndyke.MetricAttempts.Of("answered"), 1)
	}
	return response, err
}

// Order implements buckthorndyke.BackendPool.
func (p *BackendPool) Order(ctx context.Context, o buckthorndyke.ModelOrder) (buckthorndyke.ModelOrderOutcome, error) {
	began := p.clock.Now()
	outcome, err := p.BackendPool.Order(ctx, o)
	p.meter.Count(buckthorndyke.MetricOrders.Of(string(o.Kind)).Of(string(outcome)), 1)
	p.meter.Observe(buckthorndyke.MetricOrderTime, p.clock.Now()-began)
	return outcome, err
}
