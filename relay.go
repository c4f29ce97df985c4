package buckthorndyke

import (
	"context"
	"io"
	"maps"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// PromptPart identifies a part of a prompt that several requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// RelayRequest is a request that is forwarded unchanged to a backend server, whose
// response is streamed back to the client. It is immutable.
type RelayRequest struct {
	// Adapter names an adapter of Model, or is empty.
	Adapter string
	// Arrived is the instant at which the request was received.
	Arrived Millis
	Body    []byte
	// Caller is the caller who sends the request, or empty if it is not known.
	Caller CallerID
	// Credential is what the client has sent to show who it is. It is the zero value once
	// the caller is known.
	Credential Credential
	// Deadline is how long the client waits, counted from Arrived, or 0 if it gave
	// none.
	Deadline Millis
	// HasTokenCount is set if the client has stated the numbers of tokens.
	HasTokenCount bool
	// Header holds the header fields to forward to the backend server.
	Header http.Header
	// Host is the host that the client requested.
	Host string
	ID   RequestID
	// LastEventID is the ID of the last event that the client has received, or empty.
	LastEventID string
	Method      string
	// Model is empty for a plain service.
	Model ModelID
	// OutputTokens is the maximum length of the response in tokens.
	OutputTokens int
	// Path is the path without the query, as sent by the client. It selects the route.
	Path string
	// Prompt lists the parts of the prompt in order.
	Prompt       []PromptPart
	PromptTokens int
	// Target is the HTTP request target: the path and query as sent by the client.
	Target string
}

// WithLastEventID returns a request for the part of the stream after the event with
// the given ID.
func (r RelayRequest) WithLastEventID(id string) RelayRequest {
	r.LastEventID = id
	return r
}

// WithCaller returns a request that is known to be sent by caller, or by a client without a
// name if caller is empty. It no longer has the credential.
func (r RelayRequest) WithCaller(caller CallerID) RelayRequest {
	r.Caller, r.Credential = caller, Credential{}
	return r
}

// WithCredentialForwarded returns a request that is forwarded with the header fields of its
// credential, for a configuration without callers.
func (r RelayRequest) WithCredentialForwarded() RelayRequest {
	if fields := r.Credential.Fields(); len(fields) > 0 {
		r.Header = r.Header.Clone()
		maps.Copy(r.Header, fields)
	}
	r.Credential = Credential{}
	return r
}

// Fingerprint returns a digest of the request's content: a request that is sent again
// has the same, whatever its ID and deadline.
func (r RelayRequest) Fingerprint() Fingerprint {
	d := xxhash.New()
	write := func(part string) {
		// Writing to a Digest never fails.
		_, _ = d.WriteString(strconv.Itoa(len(part)) + ":" + part)
	}
	for _, part := range []string{r.Method, r.Host, r.Target, string(r.Model), r.Adapter} {
		write(part)
	}
	for _, part := range r.Prompt {
		write(part.ID)
	}
	_, _ = d.Write(r.Body)
	return Fingerprint(strconv.FormatUint(d.Sum64(), 16))
}

// Fingerprints returns the fingerprints of what the request holds, the most specific one
// last: of each part of its prompt but the last, which belongs to the request, and of its
// content.
func (r RelayRequest) Fingerprints() []Fingerprint {
	shared := r.Prompt[:max(len(r.Prompt)-1, 0)]
	out := make([]Fingerprint, 0, len(shared)+1)
	for _, part := range shared {
		out = append(out, Fingerprint("part-"+strconv.FormatUint(xxhash.Sum64String(part.ID), 16)))
	}
	return append(out, r.Fingerprint())
}

// RelayWriter receives the response to a relayed request. Its methods are called by
// one goroutine only.
type RelayWriter interface {
	// Begin sends the status code and the header.
	Begin(status int, header http.Header) error
	// Write sends a part of the body without buffering it.
	Write(part []byte) error
}

// Relay forwards requests to backend servers. It is independent of the protocol that
// the requests were decoded from.
type Relay interface {
	// Relay writes the response to r to w. An error before Begin was called is a
	// *RefusalError to respond with. After Begin, an error means that the response is
	// truncated, and the front end must not end it like a complete one.
	Relay(ctx context.Context, r RelayRequest, w RelayWriter) error
}

// Screener refuses requests that cannot be served, whatever their bodies hold.
type Screener interface {
	// Screen returns the refusal of a request whose body has not been read, or nil. A request
	// that is refused has not run and is not passed to the relay.
	Screen(ctx context.Context, r RelayRequest) error
}

// Dispatch is one attempt to serve a relayed request at one backend server.
type Dispatch struct {
	Backend Backend
	Request RelayRequest
	// TimeLeft is how long the server may take.
	TimeLeft Millis
	// Urgency is 0 for the most urgent requests.
	Urgency int
}

// DispatchResponse is a backend server's response, whose body is still to be read.
type DispatchResponse struct {
	// Body must be closed. Reading it fails if it is truncated.
	Body io.ReadCloser
	// EndsWithConnection is set if nothing but the end of the connection ends the body.
	// A server that ends closes the connection too.
	EndsWithConnection bool
	Header             http.Header
	// Leaving is set if the server says that it is shutting down.
	Leaving bool
	// Length is the size of the body in bytes, or -1 if it is not known.
	Length int64
	// NotRun is set if the server reports that it has not run the request.
	NotRun bool
	// Pause is how long the server wants no requests from this VM, or 0.
	Pause Millis
	// Signed is set if the response carries the server's signature.
	Signed bool
	Status int
}

// BackendReport is the status that a runner reports. It may be out of date.
type BackendReport struct {
	// AcceptedOrders is the number of orders that the runner has accepted since it
	// started.
	AcceptedOrders int64
	// Backend is the server with the values of the report instead of those in the
	// platform's list. Adapters that are being loaded are included.
	Backend Backend
	// Busy is set while the runner carries out an order.
	Busy bool
	// Running is the number of requests in the batch.
	Running int
	// Waiting is the number of requests that wait to enter the batch.
	Waiting int
}

// Outcomes of a model order.
const (
	// ModelOrderUnknown means that the order may have been accepted.
	ModelOrderUnknown ModelOrderOutcome = "unknown"
	// ModelOrderAccepted means that the order is being carried out.
	ModelOrderAccepted ModelOrderOutcome = "accepted"
	// ModelOrderDone means that the order had already taken effect.
	ModelOrderDone ModelOrderOutcome = "done"
	// ModelOrderFenced means that the runner has seen a higher fencing token.
	ModelOrderFenced ModelOrderOutcome = "fenced"
	// ModelOrderRefused means that the runner did not accept the order.
	ModelOrderRefused ModelOrderOutcome = "refused"
)

// ModelOrderOutcome is the outcome of sending an order to a runner.
type ModelOrderOutcome string

// ModelOrder asks the runner at a backend server to load or unload a model or
// adapter.
type ModelOrder struct {
	// Adapter names an adapter of Model, or is empty.
	Adapter string
	Backend Backend
	// ExpectedOrders is the number of orders that the runner must have accepted so
	// far. It rejects the order if the number differs.
	ExpectedOrders int64
	// FencingToken is that of the leader's term.
	FencingToken int64
	Kind         OrderKind
	// Leader is the VM that sends the order.
	Leader VMID
	Model  ModelID
	// SendUntil is the instant from which on the order must not be sent: the leader's
	// permission to send it has expired.
	SendUntil Millis
}

// BackendPool sends requests and orders to backend servers.
type BackendPool interface {
	// Accepts reports whether the server's address accepts connections. An error means
	// that this is not known.
	Accepts(ctx context.Context, b Backend) (bool, error)
	// Dispatch sends a request once. The verdict of the error says whether the
	// server may have run the request.
	Dispatch(ctx context.Context, d Dispatch) (DispatchResponse, error)
	// Order sends an order once. An error comes with ModelOrderUnknown or
	// ModelOrderRefused.
	Order(ctx context.Context, o ModelOrder) (ModelOrderOutcome, error)
	// Report fetches a runner's report.
	Report(ctx context.Context, b Backend) (BackendReport, error)
}

// Directory is the platform's list of backend servers and its copy of the
// operator's configuration.
type Directory interface {
	// Backends returns the backend servers as listed now.
	Backends(ctx context.Context) (Backends, error)
	// Routing returns the next version of the configuration after the one last
	// returned. It waits for at most wait and returns false if there is none.
	Routing(ctx context.Context, wait Millis) (Routing, bool, error)
}
