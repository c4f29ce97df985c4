// Package operator serves operators over HTTP. It owns the socket, decodes
// requests, carries them out by Operations and encodes the responses.
package operator

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"
	"github.com/rs/zerolog"
	"golang.org/x/net/netutil"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/drainer"
)

// defaultAddress is the loopback address with a port chosen by the system.
const defaultAddress = "127.0.0.1:0"

// Limits are the resource limits of the operator interface.
type Limits struct {
	// Body is the maximum size of a request body in bytes.
	Body int64
	// Connections is the maximum number of connections at the same time.
	Connections int
	// Drain is how long the task waits at shutdown for requests in progress.
	Drain buckthorndyke.Millis
	// Header is the maximum size of the request header in bytes.
	Header int
	// Read is the maximum time to receive a request.
	Read buckthorndyke.Millis
	// Write is the maximum time to serve a request and send the response.
	Write buckthorndyke.Millis
}

// DefaultLimits returns the limits of a task without WithLimits.
func DefaultLimits() Limits {
	return Limits{
		Body:        32 << 20,
		Connections: 64,
		Drain:       5 * buckthorndyke.Second,
		Header:      16 << 10,
		Read:        30 * buckthorndyke.Second,
		Write:       buckthorndyke.Minute,
	}
}

// Operator is the task that serves operators.
type Operator struct {
	address    string
	limits     Limits
	listener   net.Listener
	logger     zerolog.Logger
	operations Operations
	token      string
}

// Option configures an Operator.
type Option func(*Operator)

// WithAddress sets the IP address and port that the task serves on.
func WithAddress(address string) Option {
	return func(o *Operator) { o.address = address }
}

// WithDrain sets the function that starts a graceful shutdown of the process.
// Without it, requests to drain are refused.
func WithDrain(drain func()) Option {
	return func(o *Operator) { o.operations.drain = drain }
}

// WithFleet sets the reporter of the rules versions of the live VMs.
func WithFleet(f buckthorndyke.FleetReporter) Option {
	return func(o *Operator) { o.operations.fleet = f }
}

// WithLimits sets the limits.
func WithLimits(limits Limits) Option {
	return func(o *Operator) { o.limits = limits }
}

// WithListener makes the task serve on socket, which it then owns, instead of
// opening its own.
func WithListener(socket net.Listener) Option {
	return func(o *Operator) { o.listener = socket }
}

// WithLogger sets the logger for the changes that operators request.
func WithLogger(logger zerolog.Logger) Option {
	return func(o *Operator) { o.logger = logger }
}

// WithMetrics sets the metrics to serve. Without it, requests for metrics are
// refused.
func WithMetrics(m buckthorndyke.MetricsReporter) Option {
	return func(o *Operator) { o.operations.metrics = m }
}

// WithParser sets the parser that checks rules before they are proposed. Without
// it, they are proposed unchecked.
func WithParser(p buckthorndyke.RulesParser) Option {
	return func(o *Operator) { o.operations.parser = p }
}

// WithToken sets the bearer token that operators must send. Without one, Handler
// and Serve fail.
func WithToken(token string) Option {
	return func(o *Operator) { o.token = token }
}

// New returns a task that serves operators.
func New(follower buckthorndyke.Follower, proposer buckthorndyke.Proposer, opts ...Option) *Operator {
	o := &Operator{
		address:    defaultAddress,
		limits:     DefaultLimits(),
		logger:     zerolog.Nop(),
		operations: Operations{follower: follower, proposer: proposer},
	}
	for _, opt := range opts {
		opt(o)
	}
	return o
}

// Handler returns the HTTP handler of the operator interface.
func (o *Operator) Handler() (http.Handler, error) {
	if o.token == "" {
		return nil, errors.New("the operator interface cannot be served without a token; set one in the settings")
	}
	h := newHandler(o.operations, o.token, o.limits.Body, o.logger)
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Get(PathLive, func(ctx iris.Context) { _, _ = ctx.WriteString("live\n") })
	authenticated := app.Party("/", h.authenticate)
	authenticated.Get(PathAudit, h.audit)
	authenticated.Post(PathDrain, h.drain)
	authenticated.Get(PathMetrics, h.metrics)
	authenticated.Get(PathRules, h.rules)
	authenticated.Post(PathRules, h.apply)
	authenticated.Get(PathStatus, h.status)
	authenticated.Get(PathVersions, h.versions)
	app.OnErrorCode(http.StatusNotFound, func(ctx iris.Context) {
		writeError(ctx, newRefusal(buckthorndyke.CodeBadRequest, "no such path: "+ctx.Path()))
	})
	if err := app.Build(); err != nil {
		return nil, errors.Wrap(err, "build the HTTP handler for operators")
	}
	return app, nil
}

// Operations returns the operations of the task, for use by other front ends.
func (o *Operator) Operations() Operations {
	return o.operations
}

// Serve implements suture.Service. When ctx ends, it waits for the requests in
// progress, up to the drain limit.
func (o *Operator) Serve(ctx context.Context) error {
	handler, err := o.Handler()
	if err != nil {
		return err
	}
	socket, err := o.listen(ctx)
	if err != nil {
		return err
	}
	server := drainer.New(&http.Server{
		Handler:           drainer.AnnounceClose(ctx, handler),
		MaxHeaderBytes:    o.limits.Header,
		ReadHeaderTimeout: o.limits.Read.Duration(),
		ReadTimeout:       o.limits.Read.Duration(),
		WriteTimeout:      o.limits.Write.Duration(),
	})
	stopped := make(chan error, 1)
	go func() { stopped <- server.Serve(netutil.LimitListener(socket, o.limits.Connections)) }()
	select {
	case err := <-stopped:
		return errors.Wrap(err, "serve operators over HTTP")
	case <-ctx.Done():
		o.drain(server, stopped)
		return ctx.Err()
	}
}

// listen returns the socket from WithListener the first time, and else a new one.
func (o *Operator) listen(ctx context.Context) (net.Listener, error) {
	if socket := o.listener; socket != nil {
		o.listener = nil
		return socket, nil
	}
	socket, err := new(net.ListenConfig).Listen(ctx, "tcp", o.address)
	return socket, errors.Wrap(err, "listen for connections from operators")
}

// drain stops server once the requests in progress are done, which done reports. Requests
// that are still in progress at the drain limit are cut off.
func (o *Operator) drain(server *drainer.Server, done <-chan error) {
	server.Drain()
	if !drainer.HasEnded(done, time.After(o.limits.Drain.Duration())) {
		_ = server.Close()
	}
}
