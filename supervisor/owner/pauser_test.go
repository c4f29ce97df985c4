package owner_test

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

// pauser simulates a paused process: while paused, it blocks all calls between a
// node and the other parts of the cluster. It holds a channel that is closed while
// the node is not paused.
type pauser chan chan struct{}

func newPauser() pauser {
	p := make(pauser, 1)
	open := make(chan struct{})
	close(open)
	p <- open
	return p
}

// pause blocks calls until resume.
func (p pauser) pause() {
	<-p
	p <- make(chan struct{})
}

// resume ends the pause.
func (p pauser) resume() {
	open := <-p
	close(open)
	p <- open
}

// wait blocks while the node is paused.
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

// pausableEngines returns engines whose calls wait while the node is paused. An
// order that is in transit at the start of a pause arrives after the pause, even if
// its sender has timed out.
type pausableEngines struct {
	engines buckthorndyke.Engines
	pauser  pauser
	// testCtx outlives the senders of orders.
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

// pausableLog is a log whose calls wait while the node is paused.
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
	if waitErr := l.pauser.wait(ctx); waitErr != nil {
		return buckthorndyke.LogBatch{}, waitErr
	}
	return b, err
}
