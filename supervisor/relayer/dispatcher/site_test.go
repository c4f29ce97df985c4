package dispatcher_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

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

// site is a dispatcher in a bubble.
type site struct {
	clock      buckthorndyke.Clock
	ctx        context.Context
	dispatcher *dispatcher.Dispatcher
	lists      *mailer.Feed[buckthorndyke.Backends]
	pool       *pool
	routings   *mailer.Feed[buckthorndyke.Routing]
	t          *testing.T
}

// inSite runs test with a dispatcher that knows a configuration, three servers
// of a plain service and two runners.
func inSite(t *testing.T, test func(s *site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &site{
			clock: timekeeper.NewRealClock(), ctx: ctx, lists: mailer.NewFeed[buckthorndyke.Backends](),
			pool: newPool(ctx), routings: mailer.NewFeed[buckthorndyke.Routing](), t: t,
		}
		s.dispatcher = dispatcher.New(s.pool, s.routings, s.lists, s.clock)
		for _, serve := range []func(context.Context) error{
			s.lists.Serve, s.routings.Serve, s.pool.serve, s.dispatcher.Serve,
		} {
			go func() { _ = serve(ctx) }()
		}
		asserter.NoError(t, s.routings.Publish(ctx, routing()))
		s.list(server("a"), server("b"), server("c"), runner("r1", hall), runner("r2"))
		test(s)
	})
}

// list makes the given servers the platform's list.
func (s *site) list(servers ...buckthorndyke.Backend) {
	s.t.Helper()
	var list buckthorndyke.Backends
	for _, b := range servers {
		list.Servers = list.Servers.With(b.ID, b)
	}
	asserter.NoError(s.t, s.lists.Publish(s.ctx, list))
	synctest.Wait()
}

// relay sends a request and returns what the client got.
func (s *site) relay(r buckthorndyke.RelayRequest) (*answer, error) {
	s.t.Helper()
	return s.relayFor(s.ctx, r)
}

// relayFor is relay for a client that leaves with ctx.
func (s *site) relayFor(ctx context.Context, r buckthorndyke.RelayRequest) (*answer, error) {
	s.t.Helper()
	r.Arrived = s.clock.Now()
	r.ID = "one"
	w := &answer{}
	err := s.dispatcher.Relay(ctx, r, w)
	synctest.Wait()
	return w, err
}

// answer is what a client got. It implements buckthorndyke.RelayWriter.
type answer struct {
	body   string
	header http.Header
	status int
}

// Begin implements buckthorndyke.RelayWriter.
func (a *answer) Begin(status int, header http.Header) error {
	a.status, a.header = status, header
	return nil
}

// Write implements buckthorndyke.RelayWriter.
func (a *answer) Write(part []byte) error {
	a.body += string(part)
	return nil
}

// reply is what a server does with a request.
type reply struct {
	// body is the body of the answer; broken is set if it breaks off at its end.
	body   string
	broken bool
	err    error
	hang   bool
	notRun bool
	status int
	bare   bool
}

// pool is servers that do with each request what the test has laid down, and
// answer the rest well. It implements buckthorndyke.BackendPool.
type pool struct {
	buckthorndyke.BackendPool
	asks *mailer.Mailbox[func(p *poolState)]
	ctx  context.Context
}

type poolState struct {
	replies []reply
	sent    []buckthorndyke.Dispatch
}

func newPool(ctx context.Context) *pool {
	return &pool{asks: mailer.NewMailbox[func(p *poolState)](), ctx: ctx}
}

// Dispatch implements buckthorndyke.BackendPool.
func (p *pool) Dispatch(ctx context.Context, d buckthorndyke.Dispatch) (buckthorndyke.DispatchResponse, error) {
	next := ask(p, func(s *poolState) reply {
		s.sent = append(s.sent, d)
		if len(s.replies) == 0 {
			return reply{body: "well"}
		}
		first := s.replies[0]
		s.replies = s.replies[1:]
		return first
	})
	if next.hang {
		<-ctx.Done()
		return buckthorndyke.DispatchResponse{}, context.Cause(ctx)
	}
	if next.err != nil {
		return buckthorndyke.DispatchResponse{}, next.err
	}
	var body io.Reader = strings.NewReader(next.body)
	if next.broken {
		body = io.MultiReader(body, &brokenReader{})
	}
	if next.status == 0 {
		next.status = http.StatusOK
	}
	return buckthorndyke.DispatchResponse{
		Body: io.NopCloser(body), Header: http.Header{}, NotRun: next.notRun, Signed: !next.bare && !next.notRun,
		Status: next.status,
	}, nil
}

// lay lays down what the servers do with the next requests.
func (p *pool) lay(replies ...reply) {
	ask(p, func(s *poolState) struct{} {
		s.replies = replies
		return struct{}{}
	})
}

// sent returns the attempts that were made.
func (p *pool) sent() []buckthorndyke.Dispatch {
	return ask(p, func(s *poolState) []buckthorndyke.Dispatch { return append([]buckthorndyke.Dispatch(nil), s.sent...) })
}

// serve keeps the state.
func (p *pool) serve(ctx context.Context) error {
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

// ask runs of in the pool's task and returns its result.
func ask[R any](p *pool, of func(s *poolState) R) R {
	r, _ := mailer.Ask(p.ctx, p.asks, func(reply mailer.Reply[R]) func(s *poolState) {
		return func(state *poolState) { reply.Answer(of(state)) }
	})
	return r
}

// brokenReader is a connection that breaks.
type brokenReader struct{}

// Read implements io.Reader.
func (*brokenReader) Read([]byte) (int, error) { return 0, errors.New("reset") }

// lost is the error of a server that may have run the request.
var lost = errors.New("no answer")

// unreachable is the error of a server that has not run the request.
var unreachable = buckthorndyke.NewRefusal(buckthorndyke.CodeServiceUnavailable, buckthorndyke.NotRun, "no connection")

// request returns a request for a path.
func request(path string) buckthorndyke.RelayRequest {
	return buckthorndyke.RelayRequest{
		Deadline: 4 * buckthorndyke.Second, Header: http.Header{}, Host: "h", Method: http.MethodPost, Path: path, Target: path,
	}
}

// generation returns a request for a stream of model.
func generation(path string, model buckthorndyke.ModelID) buckthorndyke.RelayRequest {
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

// runner returns a runner that holds models.
func runner(id buckthorndyke.RunnerID, models ...buckthorndyke.ModelID) buckthorndyke.Backend {
	b := buckthorndyke.Backend{ID: id, Service: engines, Slots: 8, Incarnation: 1}
	for _, m := range models {
		b.LoadedModels = append(b.LoadedModels, buckthorndyke.LoadedModel{Model: m})
	}
	return b
}

// server returns a server of the plain service.
func server(id buckthorndyke.RunnerID) buckthorndyke.Backend {
	return buckthorndyke.Backend{ID: id, Service: desk, Slots: 6, Incarnation: 1}
}
