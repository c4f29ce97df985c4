package tester

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

// linkEngines are the runners' engines as one process reaches them.
type linkEngines struct {
	engines buckthorndyke.Engines
	link    *Link
}

// At implements buckthorndyke.Engines.
func (e *linkEngines) At(address string) buckthorndyke.Engine {
	return &linkEngine{engine: e.engines.At(address), links: []*Link{e.link}}
}

// linkEngine is one engine as one process reaches it.
type linkEngine struct {
	engine buckthorndyke.Engine
	links  []*Link
}

// Cancel implements buckthorndyke.Engine.
func (e *linkEngine) Cancel(ctx context.Context, job buckthorndyke.JobID) error {
	_, err := through(ctx, e.links, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, e.engine.Cancel(ctx, job)
	})
	return err
}

// Generate implements buckthorndyke.Engine. The job ends with the process.
func (e *linkEngine) Generate(ctx context.Context, job buckthorndyke.Job) (buckthorndyke.TokenStream, error) {
	ctx, cancel := e.links[0].bind(ctx)
	stream, err := through(ctx, e.links, func(context.Context) (buckthorndyke.TokenStream, error) {
		return e.engine.Generate(ctx, job)
	})
	if err != nil {
		cancel()
		return nil, err
	}
	return &linkStream{cancel: cancel, links: e.links, stream: stream}, nil
}

// Order implements buckthorndyke.Engine.
func (e *linkEngine) Order(ctx context.Context, order buckthorndyke.Order) (buckthorndyke.OrderState, error) {
	return through(ctx, e.links, func(ctx context.Context) (buckthorndyke.OrderState, error) {
		return e.engine.Order(ctx, order)
	})
}

// Status implements buckthorndyke.Engine.
func (e *linkEngine) Status(ctx context.Context) (buckthorndyke.EngineStatus, error) {
	return through(ctx, e.links, e.engine.Status)
}

// linkStream is an answer as one process receives it.
type linkStream struct {
	cancel context.CancelFunc
	links  []*Link
	stream buckthorndyke.TokenStream
}

// Close implements buckthorndyke.TokenStream.
func (s *linkStream) Close() error {
	defer s.cancel()
	return s.stream.Close()
}

// Next implements buckthorndyke.TokenStream.
func (s *linkStream) Next(ctx context.Context) (buckthorndyke.Token, error) {
	return through(ctx, s.links, s.stream.Next)
}
