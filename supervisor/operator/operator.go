// Package operator serves operators over HTTP. It owns the socket, decodes
// requests, carries them out as Operations and encodes the answers.
package operator

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"
	"github.com/rs/zerolog"
	"golang.org/x/net/netutil"

	"github.com/buckthorndyke/buckthorndyke"
)

// defaultAddress lets the system choose a port on loopback.
const defaultAddress = "127.0.0.1:0"

// Limits bound what an operator's connection may take.
type Limits struct {
	// Body and Header are in bytes.
	Body        int64
	Connections int
	// Drain bounds how long requests may go on once the task stops.
	Drain  buckthorndyke.Millis
	Header int
	// Read bounds the time to receive a request.
	Read buckthorndyke.Millis
	// Write bounds the time to answer a request.
	Write buckthorndyke.Millis
}

// DefaultLimits returns the limits of a task that is given none.
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

// WithDrain makes drain stop the process gracefully.
func WithDrain(drain func()) Option {
	return func(o *Operator) { o.operations.drain = drain }
}

// WithFleet asks the live VMs for their rules by f.
func WithFleet(f buckthorndyke.FleetReporter) Option {
	return func(o *Operator) { o.operations.fleet = f }
}

// WithLimits sets the limits.
func WithLimits(limits Limits) Option {
	return func(o *Operator) { o.limits = limits }
}

// WithListener makes the task serve on socket, which it then owns.
func WithListener(socket net.Listener) Option {
	return func(o *Operator) { o.listener = socket }
}

// WithLogger logs what operators change.
func WithLogger(logger zerolog.Logger) Option {
	return func(o *Operator) { o.logger = logger }
}

// WithMetrics serves the metrics in m.
func WithMetrics(m buckthorndyke.MetricsReporter) Option {
	return func(o *Operator) { o.operations.metrics = m }
}

// WithParser checks rules by p before they are proposed.
func WithParser(p buckthorndyke.RulesParser) Option {
	return func(o *Operator) { o.operations.parser = p }
}

// WithToken lets in operators that hold token. Without one the task does not
// serve.
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
		return nil, errors.New("the operator interface has no token; set one in the settings")
	}
	h := newHandler(o.operations, o.token, o.limits.Body, o.logger)
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Get(PathLive, func(ctx iris.Context) { _, _ = ctx.WriteString("live\n") })
	private := app.Party("/", h.authenticate)
	private.Get(PathAudit, h.audit)
	private.Post(PathDrain, h.drain)
	private.Get(PathMetrics, h.metrics)
	private.Get(PathRules, h.rules)
	private.Post(PathRules, h.apply)
	private.Get(PathStatus, h.status)
	private.Get(PathVersions, h.versions)
	app.OnErrorCode(http.StatusNotFound, func(ctx iris.Context) {
		writeError(ctx, refuse(buckthorndyke.CodeBadRequest, "no such path: "+ctx.Path()))
	})
	if err := app.Build(); err != nil {
		return nil, errors.Wrap(err, "build the operator interface")
	}
	return app, nil
}

// Operations returns what the task carries out, for other front ends.
func (o *Operator) Operations() Operations {
	return o.operations
}

// Serve implements suture.Service. When ctx ends it waits for the requests in
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
	server := &http.Server{
		Handler:           handler,
		MaxHeaderBytes:    o.limits.Header,
		ReadHeaderTimeout: o.limits.Read.Duration(),
		ReadTimeout:       o.limits.Read.Duration(),
		WriteTimeout:      o.limits.Write.Duration(),
	}
	stopped := make(chan error, 1)
	go func() { stopped <- server.Serve(netutil.LimitListener(socket, o.limits.Connections)) }()
	select {
	case err := <-stopped:
		return errors.Wrap(err, "serve operators")
	case <-ctx.Done():
		o.shutdown(context.WithoutCancel(ctx), server)
		return ctx.Err()
	}
}

// listen returns the socket that the task was given, or a new one.
func (o *Operator) listen(ctx context.Context) (net.Listener, error) {
	if socket := o.listener; socket != nil {
		o.listener = nil
		return socket, nil
	}
	socket, err := new(net.ListenConfig).Listen(ctx, "tcp", o.address)
	return socket, errors.Wrap(err, "listen for operators")
}

// shutdown stops server once its requests have ended, or at the drain limit.
func (o *Operator) shutdown(ctx context.Context, server *http.Server) {
	ctx, cancel := context.WithTimeout(ctx, o.limits.Drain.Duration())
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}
