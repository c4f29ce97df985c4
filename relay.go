package buckthorndyke

import (
	"context"
	"io"
	"net/http"
)

// PromptPart is a part of a prompt that several requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// RelayRequest is a request that is handed to a backend server as it came and
// whose answer is handed back as it comes. It is immutable.
type RelayRequest struct {
	// Adapter names an adapter of Model, or is empty.
	Adapter string
	// Arrived is the instant at which the request was read.
	Arrived Millis
	Body    []byte
	// Deadline is how long the client waits, counted from Arrived, or 0.
	Deadline Millis
	// Header holds the header fields that concern the backend server.
	Header http.Header
	// Host is the host that the client asked for.
	Host string
	ID   RequestID
	// LastEventID is the id of the last event that the client has, or empty.
	LastEventID string
	Method      string
	// Model is empty for a plain service.
	Model ModelID
	// OutputTokens bounds the answer.
	OutputTokens int
	// Path is the path without the query, for the choice of the route.
	Path string
	// Prompt lists the parts of the prompt in their order.
	Prompt       []PromptPart
	PromptTokens int
	// Target is the path and query as the client sent them.
	Target string
}

// WithLastEventID returns a request that goes on after the event with the given
// id.
func (r RelayRequest) WithLastEventID(id string) RelayRequest {
	r.LastEventID = id
	return r
}

// RelayWriter takes the answer to a relayed request. Its methods are called by
// one goroutine.
type RelayWriter interface {
	// Begin sends the status and the header fields.
	Begin(status int, header http.Header) error
	// Write sends a part of the body at once.
	Write(part []byte) error
}

// Relay takes requests to backend servers, whatever the front end that decoded
// them.
type Relay interface {
	// Relay writes the answer to r into w. If it returns an error before Begin
	// was called, that is a *RefusalError to answer with; after Begin, the answer
	// is incomplete and must not look whole.
	Relay(ctx context.Context, r RelayRequest, w RelayWriter) error
}

// Dispatch is one attempt of a relayed request at one backend server.
type Dispatch struct {
	Backend Backend
	Request RelayRequest
	// TimeLeft is how long the server may work.
	TimeLeft Millis
	// Urgency is 0 for the most urgent work.
	Urgency int
}

// DispatchResponse is the beginning of a backend server's answer.
type DispatchResponse struct {
	// Body must be closed. A read fails unless the body ends as it should.
	Body   io.ReadCloser
	Header http.Header
	// NotRun is set if the server says that it has not run the request.
	NotRun bool
	// Signed is set if the answer carries the server's signature.
	Signed bool
	Status int
}

// BackendReport is a runner's report of itself. It lags behind the truth.
type BackendReport struct {
	// AcceptedOrders is the number of orders that the runner has accepted in its life.
	AcceptedOrders int64
	// Backend holds what the report says in place of the platform's list. Adapters
	// that are being loaded count as held.
	Backend Backend
	// Busy is set while an order is carried out.
	Busy bool
	// Running is the number of requests in the batch.
	Running int
	// Waiting is the number of requests before the batch.
	Waiting int
}

// Outcomes of a model order.
const (
	// ModelOrderUnknown means that the order may have been accepted.
	ModelOrderUnknown ModelOrderOutcome = "unknown"
	// ModelOrderAccepted means that the order is being carried out.
	ModelOrderAccepted ModelOrderOutcome = "accepted"
	// ModelOrderDone means that the order holds already.
	ModelOrderDone ModelOrderOutcome = "done"
	// ModelOrderFenced means that a higher fencing number was used.
	ModelOrderFenced ModelOrderOutcome = "fenced"
	// ModelOrderRefused means that the order was not accepted.
	ModelOrderRefused ModelOrderOutcome = "refused"
)

// ModelOrderOutcome is a runner's answer to an order.
type ModelOrderOutcome string

// ModelOrder asks a runner to load or unload a model or adapter.
type ModelOrder struct {
	// Adapter names an adapter of Model, or is empty.
	Adapter string
	Backend Backend
	// ExpectedOrders is the number of orders that the runner must have accepted before.
	ExpectedOrders int64
	// FencingToken is the fencing number.
	FencingToken int64
	Kind         OrderKind
	Leader       VMID
	Model        ModelID
}

// BackendPool reaches backend servers.
type BackendPool interface {
	// Dispatch sends a request once. The verdict of an error says whether the
	// server may have run it.
	Dispatch(ctx context.Context, d Dispatch) (DispatchResponse, error)
	// Order sends an order once. An error goes with ModelOrderUnknown.
	Order(ctx context.Context, o ModelOrder) (ModelOrderOutcome, error)
	// Report asks a runner for its report.
	Report(ctx context.Context, b Backend) (BackendReport, error)
}

// Directory is the platform's list of backend servers and its copy of the
// operator's configuration.
type Directory interface {
	// Backends returns the backend servers as listed now.
	Backends(ctx context.Context) (Backends, error)
	// Routing returns the configuration that follows the one last returned. It
	// waits up to wait for it, and returns false if there is none.
	Routing(ctx context.Context, wait Millis) (Routing, bool, error)
}
