package buckthorndyke

import "context"

// Kinds of orders.
const (
	// OrderFence only raises the fencing number that the runner accepts.
	OrderFence OrderKind = "fence"
	OrderLoad  OrderKind = "load"
	// OrderUnload evicts a model or adapter.
	OrderUnload OrderKind = "unload"
)

// OrderKind says what an order asks of a runner.
type OrderKind string

// Order asks a runner to change what it has loaded.
type Order struct {
	// Base is the base model if Model is an adapter, or empty.
	Base ModelID
	// FencingToken is the fencing number: the epoch of the owner that sends the order.
	FencingToken Offset
	ID           OrderID
	Kind         OrderKind
	MemoryMB     int
	Model        ModelID
}

// Outcomes of orders.
const (
	// OrderUnknown means that the runner has never seen the order.
	OrderUnknown OrderState = "unknown"
	OrderRunning OrderState = "running"
	OrderDone    OrderState = "done"
	OrderFailed  OrderState = "failed"
	// OrderFenced means that the order was refused for its old fencing number.
	OrderFenced OrderState = "fenced"
)

// OrderState is what a runner knows of an order.
type OrderState string

// Resident is a model or adapter in a runner's memory.
type Resident struct {
	Base     ModelID
	Loading  bool
	MemoryMB int
	Model    ModelID
}

// EngineStatus is a runner's report of itself. It lags behind the truth except
// for orders, whose states are exact.
type EngineStatus struct {
	// Cached gives the tier of checkpoints that are closer than TierRemote.
	Cached       map[ModelID]Tier
	FencingToken Offset
	// Incarnation tells two lives of the engine apart.
	Incarnation Incarnation
	// Jobs are the requests that the engine is running.
	Jobs      []JobID
	MemoryMB  int
	Orders    map[OrderID]OrderState
	Residents []Resident
	// Slots is the number of requests that the engine batches.
	Slots int
}

// Job is one attempt of a request on one runner.
type Job struct {
	ID    JobID
	Model ModelID
	// MaxTokens bounds the number of tokens to generate.
	MaxTokens int
	Prompt    string
	Rank      Rank
	Request   RequestID
	// Resume holds the tokens that the caller already has.
	Resume []string
}

// Token is one piece of an answer.
type Token struct {
	// Index counts from 0 over the whole answer, resumed or not.
	Index int
	// Last is set on the end mark, which carries no text.
	Last bool
	Text string
}

// TokenStream is the answer to one job.
type TokenStream interface {
	// Close cancels the job if it has not ended and frees the stream.
	Close() error
	// Next returns the next token. An error means that the stream broke before
	// its end mark.
	Next(ctx context.Context) (Token, error)
}

// Engine reaches the engine of one runner.
type Engine interface {
	// Cancel stops a job. To cancel an unknown job is no error.
	Cancel(ctx context.Context, job JobID) error
	// Generate starts a job.
	Generate(ctx context.Context, job Job) (TokenStream, error)
	// Order carries out an order and returns once it is done, failed or fenced.
	// After an error its state is known only from Status.
	Order(ctx context.Context, order Order) (OrderState, error)
	// Status returns the runner's report.
	Status(ctx context.Context) (EngineStatus, error)
}

// Engines finds the engine at an address.
type Engines interface {
	// At returns the engine that serves at address.
	At(address string) Engine
}
