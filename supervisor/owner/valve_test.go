package owner_test

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

// valve stops what passes between a node and the world, as a pause of its
// process does. It holds a channel that is closed while the valve is open.
type valve chan chan struct{}

func newValve() valve {
	v := make(valve, 1)
	open := make(chan struct{})
	close(open)
	v <- open
	return v
}

// pass waits until the valve is open.
func (v valve) pass(ctx context.Context) error {
	open := <-v
	v <- open
	select {
	case <-open:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// resume opens the valve.
func (v valve) resume() {
	open := <-v
	close(open)
	v <- open
}

// stop shuts the valve.
func (v valve) stop() {
	<-v
	v <- make(chan struct{})
}

// valveEngines reaches engines through a valve. An order that was on its way
// when the valve was shut arrives once it opens, although its sender has given
// up.
type valveEngines struct {
	engines buckthorndyke.Engines
	valve   valve
	// world outlives the senders of orders.
	world context.Context
}

func (e valveEngines) At(address string) buckthorndyke.Engine {
	return valveEngine{Engine: e.engines.At(address), valve: e.valve, world: e.world}
}

type valveEngine struct {
	buckthorndyke.Engine
	valve valve
	world context.Context
}

func (e valveEngine) Order(ctx context.Context, o buckthorndyke.Order) (buckthorndyke.OrderState, error) {
	type answer struct {
		err   error
		state buckthorndyke.OrderState
	}
	answers := make(chan answer, 1)
	go func() {
		_ = e.valve.pass(e.world)
		state, err := e.Engine.Order(e.world, o)
		_ = e.valve.pass(e.world)
		answers <- answer{err: err, state: state}
	}()
	select {
	case a := <-answers:
		return a.state, a.err
	case <-ctx.Done():
		return buckthorndyke.OrderUnknown, ctx.Err()
	}
}

func (e valveEngine) Status(ctx context.Context) (buckthorndyke.EngineStatus, error) {
	if err := e.valve.pass(ctx); err != nil {
		return buckthorndyke.EngineStatus{}, err
	}
	return e.Engine.Status(ctx)
}

// valveLog reaches the log through a valve.
type valveLog struct {
	log   buckthorndyke.Log
	valve valve
}

func (l valveLog) Append(ctx context.Context, s buckthorndyke.Stream, data []byte) (buckthorndyke.Offset, error) {
	if err := l.valve.pass(ctx); err != nil {
		return buckthorndyke.NoOffset, err
	}
	return l.log.Append(ctx, s, data)
}

func (l valveLog) Read(
	ctx context.Context, s buckthorndyke.Stream, from buckthorndyke.Offset, wait buckthorndyke.Millis,
) (buckthorndyke.LogBatch, error) {
	if err := l.valve.pass(ctx); err != nil {
		return buckthorndyke.LogBatch{}, err
	}
	b, err := l.log.Read(ctx, s, from, wait)
	if passErr := l.valve.pass(ctx); passErr != nil {
		return buckthorndyke.LogBatch{}, passErr
	}
	return b, err
}
