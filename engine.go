package buckthorndyke

import "context"

// Kinds of orders.
const (
	// OrderFence only raises the lowest fencing token that the runner accepts.
	OrderFence OrderKind = "fence"
	OrderLoad  OrderKind = "load"
	// OrderUnload evicts a model or adapter.
	OrderUnload OrderKind = "unload"
)

// OrderKind says what an order asks a runner to do.
type OrderKind string

// Order asks a runner to load or unload a model or adapter.
type Order struct {
	// Base is the base model if Model is an adapter, or empty.
	Base ModelID
	// FencingToken is the epoch of the ownership under which the order is sent. Its
	// JSON key in the journal of a stand-in engine is Fence.
	FencingToken Offset `json:"Fence"`
	ID           OrderID
	Kind         OrderKind
	MemoryMB     int
	Model        ModelID
}

// States of orders.
const (
	// OrderUnknown means that the runner has not received the order.
	OrderUnknown OrderState = "unknown"
	OrderRunning OrderState = "running"
	OrderDone    OrderState = "done"
	OrderFailed  OrderState = "failed"
	// OrderFenced means that the order was rejected because the runner has seen a
	// higher fencing token.
	OrderFenced OrderState = "fenced"
)

// OrderState is the state of an order on its runner.
type OrderState string

// Resident is a model or adapter that takes up memory of a runner.
type Resident struct {
	Base     ModelID
	Loading  bool
	MemoryMB int
	Model    ModelID
}

// EngineStatus is the status that a runner's engine reports. It may be out of
// date, except for the states of orders, which are exact.
type EngineStatus struct {
	// Cached holds the tier of each checkpoint that is in memory or on disk. All
	// others are at TierRemote.
	Cached map[ModelID]Tier
	// FencingToken is the highest fencing token that the runner has seen.
	FencingToken Offset
	// Incarnation changes each time the engine restarts.
	Incarnation Incarnation
	// Jobs are the requests that the engine is running.
	Jobs      []JobID
	MemoryMB  int
	Orders    map[OrderID]OrderState
	Residents []Resident
	// Slots is the maximum number of requests in the engine's batch.
	Slots int
}

// Job is one attempt to serve a request on one runner.
type Job struct {
	ID    JobID
	Model ModelID
	// MaxTokens is the maximum number of tokens to generate.
	MaxTokens int
	Prompt    string
	Rank      Rank
	Request   RequestID
	// Resume holds the tokens that the caller has already received. The engine
	// continues after them.
	Resume []string
}

// Token is one piece of a generated response.
type Token struct {
	// Index counts from 0 over the complete response, including tokens from before a
	// resumption.
	Index int
	// Last is set on the end marker, which carries no text.
	Last bool
	Text string
}

// TokenStream is the streamed response to a job.
type TokenStream interface {
	// Close cancels the job if it has not ended, and releases the stream.
	Close() error
	// Next returns the next token. An error means that the stream ended before its
	// end marker.
	Next(ctx context.Context) (Token, error)
}

// Engine is a client of the engine of one runner.
type Engine interface {
	// Cancel stops a job. Canceling an unknown job is not an error.
	Cancel(ctx context.Context, job JobID) error
	// Generate starts a job.
	Generate(ctx context.Context, job Job) (TokenStream, error)
	// Order sends an order and returns once it is done, failed or fenced. After an
	// error, only Status tells the state of the order.
	Order(ctx context.Context, order Order) (OrderState, error)
	// Status returns the engine's status.
	Status(ctx context.Context) (EngineStatus, error)
}

// Engines provides clients for the engines of runners.
type Engines interface {
	// At returns a client for the engine at address.
	At(address string) Engine
}
