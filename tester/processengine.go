package tester

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

// linkEngines are the runners' engines as one process reaches them.
type processEngines struct {
	engines buckthorndyke.Engines
	process *Process
}

// At implements buckthorndyke.Engines.
func (e *processEngines) At(address string) buckthorndyke.Engine {
	return &processEngine{address: address, engine: e.engines.At(address), processes: []*Process{e.process}}
}

// linkEngine is one engine as one process reaches it.
type processEngine struct {
	address   string
	engine    buckthorndyke.Engine
	processes []*Process
}

// Cancel implements buckthorndyke.Engine.
func (e *processEngine) Cancel(ctx context.Context, job buckthorndyke.JobID) error {
	_, err := callThrough(ctx, e.processes, e.event(CallCancel, job), func(ctx context.Context) (struct{}, error) {
		return struct{}{}, e.engine.Cancel(ctx, job)
	})
	return err
}

// Generate implements buckthorndyke.Engine. The job ends with the process.
func (e *processEngine) Generate(ctx context.Context, job buckthorndyke.Job) (buckthorndyke.TokenStream, error) {
	ctx, cancel := e.processes[0].bind(ctx)
	stream, err := callThrough(ctx, e.processes, e.event(CallGenerate, job), func(context.Context) (buckthorndyke.TokenStream, error) {
		return e.engine.Generate(ctx, job)
	})
	if err != nil {
		cancel()
		return nil, err
	}
	if jobs, ok := stream.(jobStream); ok {
		stream = &checkedStream{job: job.ID, next: len(job.Resume), jobStream: jobs}
	}
	return &processStream{cancel: cancel, processes: e.processes, event: e.event(CallToken, job), stream: stream}, nil
}

// Order implements buckthorndyke.Engine.
func (e *processEngine) Order(ctx context.Context, order buckthorndyke.Order) (buckthorndyke.OrderState, error) {
	return callThrough(ctx, e.processes, e.event(CallOrder, order), func(ctx context.Context) (buckthorndyke.OrderState, error) {
		return e.engine.Order(ctx, order)
	})
}

// Status implements buckthorndyke.Engine.
func (e *processEngine) Status(ctx context.Context) (buckthorndyke.EngineStatus, error) {
	return callThrough(ctx, e.processes, e.event(CallStatus, nil), e.engine.Status)
}

// point returns the point of a call of the engine.
func (e *processEngine) event(call CallKind, request any) CallEvent {
	return CallEvent{Address: e.address, Call: call, Request: request}
}

// linkStream is an answer as one process receives it.
type processStream struct {
	cancel    context.CancelFunc
	event     CallEvent
	processes []*Process
	stream    buckthorndyke.TokenStream
}

// Close implements buckthorndyke.TokenStream.
func (s *processStream) Close() error {
	defer s.cancel()
	return s.stream.Close()
}

// Next implements buckthorndyke.TokenStream.
func (s *processStream) Next(ctx context.Context) (buckthorndyke.Token, error) {
	return callThrough(ctx, s.processes, s.event, s.stream.Next)
}

// jobStream is an answer whose tokens name their job.
type jobStream interface {
	buckthorndyke.TokenStream
	NextWithJob(ctx context.Context) (buckthorndyke.JobID, buckthorndyke.Token, error)
}

// ownStream passes on the tokens of one job in sequence. As the connector does
// with what comes over the network, it breaks at any other.
type checkedStream struct {
	jobStream
	job  buckthorndyke.JobID
	next int
}

// Next implements buckthorndyke.TokenStream.
func (s *checkedStream) Next(ctx context.Context) (buckthorndyke.Token, error) {
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
