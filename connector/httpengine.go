package connector

import (
	"context"
	"net/http"
	"net/url"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/encoder"
	"github.com/buckthorndyke/buckthorndyke/wire"
)

// HTTPEngine is a client of the engine of one runner. It implements
// buckthorndyke.Engine.
type HTTPEngine struct {
	client
}

// NewHTTPEngine returns a client of the engine at address.
func NewHTTPEngine(address string, opts ...Option) *HTTPEngine {
	return &HTTPEngine{client: newClient(address, buckthorndyke.CodeRunnerUnavailable, opts)}
}

// Cancel implements buckthorndyke.Engine.
func (e *HTTPEngine) Cancel(ctx context.Context, job buckthorndyke.JobID) error {
	return e.call(ctx, http.MethodDelete, "/v1/jobs/"+url.PathEscape(string(job)), nil, nil, nil)
}

// Generate implements buckthorndyke.Engine. ctx only limits the wait for the start
// of the response: the stream outlives it and ends with Close.
func (e *HTTPEngine) Generate(ctx context.Context, job buckthorndyke.Job) (buckthorndyke.TokenStream, error) {
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	detach := context.AfterFunc(ctx, cancel)
	resp, err := e.send(streamCtx, e.exchange(), http.MethodPost, "/v1/jobs", nil, encoder.EncodeJob(job))
	if err != nil {
		cancel()
		return nil, err
	}
	if !detach() {
		cancel()
		_ = resp.Body.Close()
		return nil, wrapRefusal(ctx, e.code, buckthorndyke.MayHaveRun, context.Cause(ctx))
	}
	return newHTTPStream(streamCtx, cancel, resp.Body, job), nil
}

// Order implements buckthorndyke.Engine.
func (e *HTTPEngine) Order(ctx context.Context, order buckthorndyke.Order) (buckthorndyke.OrderState, error) {
	var out wire.EngineOrderResponse
	if err := e.call(ctx, http.MethodPost, "/v1/orders", nil, encoder.EncodeOrder(order), &out); err != nil {
		return buckthorndyke.OrderUnknown, err
	}
	return buckthorndyke.OrderState(out.State), nil
}

// Status implements buckthorndyke.Engine.
func (e *HTTPEngine) Status(ctx context.Context) (buckthorndyke.EngineStatus, error) {
	var out wire.EngineStatusResponse
	if err := e.call(ctx, http.MethodGet, "/v1/status", nil, nil, &out); err != nil {
		return buckthorndyke.EngineStatus{}, err
	}
	return encoder.DecodeEngineStatus(&out), nil
}

// HTTPEngines provides clients of engines. It implements buckthorndyke.Engines.
type HTTPEngines struct {
	client
}

// NewHTTPEngines returns a provider of clients that share their connections.
func NewHTTPEngines(opts ...Option) *HTTPEngines {
	return &HTTPEngines{client: newClient("", buckthorndyke.CodeRunnerUnavailable, opts)}
}

// At implements buckthorndyke.Engines. All clients share the idle connections.
func (e *HTTPEngines) At(address string) buckthorndyke.Engine {
	engine := &HTTPEngine{client: e.client}
	engine.address = address
	return engine
}
