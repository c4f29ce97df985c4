package owner_test

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

// valve stops what passes between a node and the world, as a pause of its
// process does. It holds a channel that is closed while the valve is open.
type pauser chan chan struct{}

func newPauser() pauser {
	p := make(pauser, 1)
	open := make(chan struct{})
	close(open)
	p <- open
	return p
}

// stop shuts the valve.
func (p pauser) pause() {
	<-p
	p <- make(chan struct{})
}

// resume opens the valve.
func (p pauser) resume() {
	open := <-p
	close(open)
	p <- open
}

// pass waits until the valve is open.
func (p pauser) wait(ctx context.Context) error {
	open := <-p
	p <- open
	select {
	case <-open:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// valveEngines reaches engines through a valve. An order that was on its way
// when the valve was shut arrives once it opens, although its sender has given
// up.
type pausableEngines struct {
	engines buckthorndyke.Engines
	pauser  pauser
	// world outlives the senders of orders.
	testCtx context.Context
}

func (e pausableEngines) At(address string) buckthorndyke.Engine {
	return pausableEngine{Engine: e.engines.At(address), pauser: e.pauser, testCtx: e.testCtx}
}

type pausableEngine struct {
	buckthorndyke.Engine
	pauser  pauser
	testCtx context.Context
}

func (e pausableEngine) Order(ctx context.Context, o buckthorndyke.Order) (buckthorndyke.OrderState, error) {
	type reply struct {
		err   error
		state buckthorndyke.OrderState
	}
	replies := make(chan reply, 1)
	go func() {
		_ = e.pauser.wait(e.testCtx)
		state, err := e.Engine.Order(e.testCtx, o)
		_ = e.pauser.wait(e.testCtx)
		replies <- reply{err: err, state: state}
	}()
	select {
	case r := <-replies:
		return r.state, r.err
	case <-ctx.Done():
		return buckthorndyke.OrderUnknown, ctx.Err()
	}
}

func (e pausableEngine) Status(ctx context.Context) (buckthorndyke.EngineStatus, error) {
	if err := e.pauser.wait(ctx); err != nil {
		return buckthorndyke.EngineStatus{}, err
	}
	return e.Engine.Status(ctx)
}

// valveLog reaches the log through a valve.
type pausableLog struct {
	log    buckthorndyke.Log
	pauser pauser
}

func (l pausableLog) Append(ctx context.Context, s buckthorndyke.Stream, data []byte) (buckthorndyke.Offset, error) {
	if err := l.pauser.wait(ctx); err != nil {
		return buckthorndyke.NoOffset, err
	}
	return l.log.Append(ctx, s, data)
}

func (l pausableLog) Read(
	ctx context.Context, s buckthorndyke.Stream, from buckthorndyke.Offset, wait buckthorndyke.Millis,
) (buckthorndyke.LogBatch, error) {
	if err := l.pauser.wait(ctx); err != nil {
		return buckthorndyke.LogBatch{}, err
	}
	b, err := l.log.Read(ctx, s, from, wait)
	if passErr := l.pauser.wait(ctx); passErr != nil {
		return buckthorndyke.LogBatch{}, passErr
	}
	return b, err
}
