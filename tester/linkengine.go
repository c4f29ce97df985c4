package tester

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

// linkEngines are the runners' engines as one process reaches them.
type linkEngines struct {
	engines buckthorndyke.Engines
	link    *Process
}

// At implements buckthorndyke.Engines.
func (e *linkEngines) At(address string) buckthorndyke.Engine {
	return &linkEngine{address: address, engine: e.engines.At(address), links: []*Process{e.link}}
}

// linkEngine is one engine as one process reaches it.
type linkEngine struct {
	address string
	engine  buckthorndyke.Engine
	links   []*Process
}

// Cancel implements buckthorndyke.Engine.
func (e *linkEngine) Cancel(ctx context.Context, job buckthorndyke.JobID) error {
	_, err := through(ctx, e.links, e.point(CallCancel, job), func(ctx context.Context) (struct{}, error) {
		return struct{}{}, e.engine.Cancel(ctx, job)
	})
	return err
}

// Generate implements buckthorndyke.Engine. The job ends with the process.
func (e *linkEngine) Generate(ctx context.Context, job buckthorndyke.Job) (buckthorndyke.TokenStream, error) {
	ctx, cancel := e.links[0].bind(ctx)
	stream, err := through(ctx, e.links, e.point(CallGenerate, job), func(context.Context) (buckthorndyke.TokenStream, error) {
		return e.engine.Generate(ctx, job)
	})
	if err != nil {
		cancel()
		return nil, err
	}
	if jobs, ok := stream.(jobStream); ok {
		stream = &ownStream{job: job.ID, next: len(job.Resume), jobStream: jobs}
	}
	return &linkStream{cancel: cancel, links: e.links, point: e.point(CallToken, job), stream: stream}, nil
}

// Order implements buckthorndyke.Engine.
func (e *linkEngine) Order(ctx context.Context, order buckthorndyke.Order) (buckthorndyke.OrderState, error) {
	return through(ctx, e.links, e.point(CallOrder, order), func(ctx context.Context) (buckthorndyke.OrderState, error) {
		return e.engine.Order(ctx, order)
	})
}

// Status implements buckthorndyke.Engine.
func (e *linkEngine) Status(ctx context.Context) (buckthorndyke.EngineStatus, error) {
	return through(ctx, e.links, e.point(CallStatus, nil), e.engine.Status)
}

// point returns the point of a call of the engine.
func (e *linkEngine) point(call CallKind, request any) CallEvent {
	return CallEvent{Address: e.address, Call: call, Request: request}
}

// linkStream is an answer as one process receives it.
type linkStream struct {
	cancel context.CancelFunc
	links  []*Process
	point  CallEvent
	stream buckthorndyke.TokenStream
}

// Close implements buckthorndyke.TokenStream.
func (s *linkStream) Close() error {
	defer s.cancel()
	return s.stream.Close()
}

// Next implements buckthorndyke.TokenStream.
func (s *linkStream) Next(ctx context.Context) (buckthorndyke.Token, error) {
	return through(ctx, s.links, s.point, s.stream.Next)
}

// jobStream is an answer whose tokens name their job.
type jobStream interface {
	buckthorndyke.TokenStream
	NextWithJob(ctx context.Context) (buckthorndyke.JobID, buckthorndyke.Token, error)
}

// ownStream passes on the tokens of one job in sequence. As the connector does
// with what comes over the network, it breaks at any other.
type ownStream struct {
	jobStream
	job  buckthorndyke.JobID
	next int
}

// Next implements buckthorndyke.TokenStream.
func (s *ownStream) Next(ctx context.Context) (buckthorndyke.Token, error) {
	job, token, err := s.NextWithJob(ctx)
	switch {
	case err != nil:
		return token, err
	case job != s.job || token.Index != s.next:
		return buckthorndyke.Token{}, buckthorndyke.NewRefusal(
			buckthorndyke.CodeEngineFailed, buckthorndyke.MayHaveRun, "the stream has a token that does not belong there")
	}
	s.next++
	return token, nil
}
