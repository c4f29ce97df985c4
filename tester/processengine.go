package tester

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

// processEngines gives one process access to the runners' engines. All calls pass the
// process.
type processEngines struct {
	engines buckthorndyke.Engines
	process *Process
}

// At implements buckthorndyke.Engines.
func (e *processEngines) At(address string) buckthorndyke.Engine {
	return &processEngine{address: address, engine: e.engines.At(address), processes: []*Process{e.process}}
}

// processEngine gives one process access to one engine.
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

// Generate implements buckthorndyke.Engine. The job is cancelled when the process is
// killed.
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

// event returns the event of a call to the engine.
func (e *processEngine) event(call CallKind, request any) CallEvent {
	return CallEvent{Address: e.address, Call: call, Request: request}
}

// processStream is a response that one process receives.
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

// jobStream is a token stream that also returns the job of each token.
type jobStream interface {
	buckthorndyke.TokenStream
	NextWithJob(ctx context.Context) (buckthorndyke.JobID, buckthorndyke.Token, error)
}

// checkedStream returns the tokens of one job in sequence. On a token of another job
// or out of sequence it returns an error, as the connector does for a stream that it
// receives over the network.
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
			buckthorndyke.CodeEngineFailed, buckthorndyke.MayHaveRun, "the stream has a token of another job or out of sequence")
	}
	s.next++
	return token, nil
}
