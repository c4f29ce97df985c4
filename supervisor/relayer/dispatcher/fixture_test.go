package dispatcher_test

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/dispatcher"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

const (
	desk    = buckthorndyke.ServiceID("desk")
	engines = buckthorndyke.ServiceID("engines")
	hall    = buckthorndyke.ModelID("hall")
)

// fixture is a dispatcher in a synctest bubble.
type fixture struct {
	clock      buckthorndyke.Clock
	ctx        context.Context
	dispatcher *dispatcher.Dispatcher
	lists      *mailer.Feed[buckthorndyke.Backends]
	// notices and seen are the versions of the configuration that the leader and this VM
	// have read.
	notices, seen *mailer.Feed[buckthorndyke.SeenVersion]
	pool          *fakePool
	// refreshes gets the requests for a confirmation of the configuration's version.
	refreshes *mailer.Feed[buckthorndyke.Millis]
	routings  *mailer.Feed[buckthorndyke.Routing]
	// starts holds the incarnations of the servers that have started again.
	starts map[buckthorndyke.RunnerID]buckthorndyke.Incarnation
	t      *testing.T
}

// withFixture runs test with a dispatcher that has a configuration, three servers of a
// service without models and two runners.
func withFixture(t *testing.T, test func(s *fixture), opts ...dispatcher.Option) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &fixture{
			clock: timekeeper.NewRealClock(), ctx: ctx, lists: mailer.NewFeed[buckthorndyke.Backends](),
			notices: mailer.NewFeed[buckthorndyke.SeenVersion](), pool: newFakePool(ctx),
			refreshes: mailer.NewFeed[buckthorndyke.Millis](), routings: mailer.NewFeed[buckthorndyke.Routing](),
			seen:   mailer.NewFeed[buckthorndyke.SeenVersion](),
			starts: make(map[buckthorndyke.RunnerID]buckthorndyke.Incarnation), t: t,
		}
		opts = append([]dispatcher.Option{dispatcher.WithConfirmations(s.seen, s.notices, s.refreshes)}, opts...)
		s.dispatcher = dispatcher.New(s.pool, s.routings, s.lists, s.clock, opts...)
		for _, serve := range []func(context.Context) error{
			s.lists.Serve, s.notices.Serve, s.refreshes.Serve, s.routings.Serve, s.seen.Serve, s.pool.serve, s.dispatcher.Serve,
		} {
			go func() { _ = serve(ctx) }()
		}
		asserter.NoError(t, s.routings.Publish(ctx, routing()))
		s.list(server("a"), server("b"), server("c"), runner("r1", hall), runner("r2"))
		test(s)
	})
}

// list publishes a list of the given servers.
func (s *fixture) list(servers ...buckthorndyke.Backend) {
	s.t.Helper()
	var list buckthorndyke.Backends
	for _, b := range servers {
		list.Servers = list.Servers.With(b.ID, b)
	}
	asserter.NoError(s.t, s.lists.Publish(s.ctx, list))
	synctest.Wait()
}

// relay sends a request and returns the response to the client.
func (s *fixture) relay(r buckthorndyke.RelayRequest) (*response, error) {
	s.t.Helper()
	return s.relayFor(s.ctx, r)
}

// relayFor is like relay, but the client disconnects when ctx ends.
func (s *fixture) relayFor(ctx context.Context, r buckthorndyke.RelayRequest) (*response, error) {
	s.t.Helper()
	r.Arrived = s.clock.Now()
	return s.send(ctx, r)
}

// relayAt is like relay for a request that arrived at an earlier instant.
func (s *fixture) relayAt(arrived buckthorndyke.Millis, r buckthorndyke.RelayRequest) (*response, error) {
	s.t.Helper()
	r.Arrived = arrived
	return s.send(s.ctx, r)
}

// send passes a request to the dispatcher.
func (s *fixture) send(ctx context.Context, r buckthorndyke.RelayRequest) (*response, error) {
	s.t.Helper()
	r.ID = "one"
	w := &response{}
	err := s.dispatcher.Relay(ctx, r, w)
	synctest.Wait()
	return w, err
}

// response is the response to a client. It implements buckthorndyke.RelayWriter.
type response struct {
	body   string
	header http.Header
	// heads is the number of heads that were sent.
	heads  int
	status int
}

// Begin implements buckthorndyke.RelayWriter.
func (r *response) Begin(status int, header http.Header) error {
	r.heads++
	r.status, r.header = status, header
	return nil
}

// Write implements buckthorndyke.RelayWriter.
func (r *response) Write(part []byte) error {
	r.body += string(part)
	return nil
}

// scriptedResponse is how a server handles a request.
type scriptedResponse struct {
	// body is the body of the response. If broken is set the connection breaks after it.
	body   string
	broken bool
	// delay is the time until the server responds.
	delay buckthorndyke.Millis
	// endless is set if the body repeats without end.
	endless bool
	// endsWithConnection is set if only the end of the connection ends the body.
	endsWithConnection bool
	err                error
	hang               bool
	// lasts is the time between the body and its end.
	lasts   buckthorndyke.Millis
	leaving bool
	// length is the length that the response declares, or 0 for none.
	length int64
	// mediaType is that of the response, or empty if it does not name one.
	mediaType string
	notRun    bool
	// pause is the pause that the server asks for.
	pause buckthorndyke.Millis
	// stalls is set if nothing follows the body until the exchange ends.
	stalls   bool
	status   int
	unsigned bool
}

// fakePool stands for servers that handle the next requests as the test has set, and all
// later ones successfully. It implements buckthorndyke.BackendPool.
type fakePool struct {
	buckthorndyke.BackendPool
	asks *mailer.Mailbox[func(p *poolState)]
	ctx  context.Context
}

type poolState struct {
	// ended is set while all servers refuse connections.
	ended bool
	// next is called with the server of the next attempt.
	next      func(b buckthorndyke.Backend)
	responses []scriptedResponse
	sent      []buckthorndyke.Dispatch
}

func newFakePool(ctx context.Context) *fakePool {
	return &fakePool{asks: mailer.NewMailbox[func(p *poolState)](), ctx: ctx}
}

// Accepts implements buckthorndyke.BackendPool.
func (p *fakePool) Accepts(context.Context, buckthorndyke.Backend) (bool, error) {
	return ask(p, func(s *poolState) bool { return !s.ended }), nil
}

// Dispatch implements buckthorndyke.BackendPool.
func (p *fakePool) Dispatch(ctx context.Context, d buckthorndyke.Dispatch) (buckthorndyke.DispatchResponse, error) {
	next := ask(p, func(s *poolState) scriptedResponse {
		s.sent = append(s.sent, d)
		if s.next != nil {
			s.next(d.Backend)
			s.next = nil
		}
		switch {
		case len(s.responses) > 0:
		case d.Request.Model != "":
			return scriptedResponse{body: "data: well\n\n"}
		default:
			return scriptedResponse{body: "well"}
		}
		first := s.responses[0]
		s.responses = s.responses[1:]
		return first
	})
	time.Sleep(next.delay.Duration())
	if next.hang {
		<-ctx.Done()
		return buckthorndyke.DispatchResponse{}, context.Cause(ctx)
	}
	if next.err != nil {
		return buckthorndyke.DispatchResponse{}, next.err
	}
	var body io.Reader = strings.NewReader(next.body)
	if next.endless {
		body = endlessReader(next.body)
	}
	if next.lasts > 0 {
		body = io.MultiReader(body, lastingReader(next.lasts))
	}
	if next.stalls {
		body = io.MultiReader(body, stalledReader{ctx})
	}
	if next.broken {
		body = io.MultiReader(body, &brokenReader{})
	}
	if next.status == 0 {
		next.status = http.StatusOK
	}
	header := http.Header{}
	if next.mediaType != "" {
		header.Set("Content-Type", next.mediaType)
	}
	return buckthorndyke.DispatchResponse{
		Body: io.NopCloser(body), EndsWithConnection: next.endsWithConnection, Header: header, Leaving: next.leaving, Length: cmp.Or(next.length, -1), NotRun: next.notRun, Pause: next.pause, Signed: !next.unsigned && !next.notRun,
		Status: next.status,
	}, nil
}

// onNext calls f with the server of the next attempt.
func (p *fakePool) onNext(f func(b buckthorndyke.Backend)) {
	ask(p, func(s *poolState) struct{} {
		s.next = f
		return struct{}{}
	})
}

// setEnded sets whether all servers refuse connections.
func (p *fakePool) setEnded(ended bool) {
	ask(p, func(s *poolState) struct{} {
		s.ended = ended
		return struct{}{}
	})
}

// setResponses sets how the servers handle the next requests.
func (p *fakePool) setResponses(responses ...scriptedResponse) {
	ask(p, func(s *poolState) struct{} {
		s.responses = responses
		return struct{}{}
	})
}

// sent returns the attempts so far.
func (p *fakePool) sent() []buckthorndyke.Dispatch {
	return ask(p, func(s *poolState) []buckthorndyke.Dispatch { return append([]buckthorndyke.Dispatch(nil), s.sent...) })
}

// serve runs the task that owns the state.
func (p *fakePool) serve(ctx context.Context) error {
	var state poolState
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case do := <-p.asks.Receive():
			do(&state)
		}
	}
}

// ask runs f in the pool's task and returns its result.
func ask[R any](p *fakePool, f func(s *poolState) R) R {
	r, _ := mailer.Ask(p.ctx, p.asks, func(reply mailer.Reply[R]) func(s *poolState) {
		return func(state *poolState) { reply.Answer(f(state)) }
	})
	return r
}

// endlessReader is a body that repeats without end.
type endlessReader string

// Read implements io.Reader.
func (r endlessReader) Read(p []byte) (int, error) { return copy(p, r), nil }

// lastingReader is the end of a body that ends after a time in milliseconds.
type lastingReader buckthorndyke.Millis

// Read implements io.Reader.
func (r lastingReader) Read([]byte) (int, error) {
	time.Sleep(buckthorndyke.Millis(r).Duration())
	return 0, io.EOF
}

// brokenReader is the body of a response whose connection was reset.
type brokenReader struct{}

// Read implements io.Reader.
func (*brokenReader) Read([]byte) (int, error) { return 0, errors.New("reset") }

// stalledReader is the body of a response of which no more arrives before ctx ends. Like a
// connection it then returns the error of a deadline.
type stalledReader struct {
	ctx context.Context
}

// Read implements io.Reader.
func (r stalledReader) Read([]byte) (int, error) {
	<-r.ctx.Done()
	return 0, os.ErrDeadlineExceeded
}

// errNoResponse is the error of an attempt after which the server may have run the request.
var errNoResponse = errors.New("no response")

// errUnreachable is the error of an attempt that did not reach the server.
var errUnreachable = buckthorndyke.NewRefusal(buckthorndyke.CodeServiceUnavailable, buckthorndyke.NotRun, "no connection")

// request returns a request for a path.
func request(path string) buckthorndyke.RelayRequest {
	return buckthorndyke.RelayRequest{
		Deadline: 4 * buckthorndyke.Second, Header: http.Header{}, Host: "h", Method: http.MethodPost, Path: path, Target: path,
	}
}

// streamRequest returns a request for a stream from model.
func streamRequest(path string, model buckthorndyke.ModelID) buckthorndyke.RelayRequest {
	r := request(path)
	r.Model = model
	return r
}

// routing returns a configuration with a route of each kind.
func routing() buckthorndyke.Routing {
	route := func(prefix string, kind buckthorndyke.RouteKind, service buckthorndyke.ServiceID, attempts int, resumable bool) buckthorndyke.Route {
		return buckthorndyke.Route{
			Attempts: attempts, Host: "h", Kind: kind, Prefix: prefix, Resumable: resumable,
			Targets: []buckthorndyke.RouteTarget{{Service: service, Weight: 1}}, Timeout: 2 * buckthorndyke.Second,
		}
	}
	return buckthorndyke.Routing{Version: 1}.
		WithService(buckthorndyke.BackendService{ID: desk}).
		WithService(buckthorndyke.BackendService{Engine: &buckthorndyke.EngineConfig{}, ID: engines}).
		WithRoutes([]buckthorndyke.Route{
			route("/safe/", buckthorndyke.RouteSafe, desk, 2, false),
			route("/unsafe/", buckthorndyke.RouteUnsafe, desk, 1, false),
			route("/stream/", buckthorndyke.RouteStream, engines, 1, false),
			route("/resumable/", buckthorndyke.RouteStream, engines, 2, true),
		})
}

// runner returns a runner with loaded models.
func runner(id buckthorndyke.RunnerID, models ...buckthorndyke.ModelID) buckthorndyke.Backend {
	b := buckthorndyke.Backend{ID: id, Incarnation: 1, Service: engines, Slots: 8}
	for _, m := range models {
		b.LoadedModels = append(b.LoadedModels, buckthorndyke.LoadedModel{Model: m})
	}
	return b
}

// server returns a server of the service without models.
func server(id buckthorndyke.RunnerID) buckthorndyke.Backend {
	return buckthorndyke.Backend{ID: id, Incarnation: 1, Service: desk, Slots: 6}
}
