// Package listener serves callers over HTTP. It owns the socket, decodes
// requests, passes them to the gateway and encodes the responses.
package listener

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"
	"golang.org/x/net/netutil"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/drainer"
)

// Fixed time limits of the caller interface.
const (
	headerTimeout = 5 * buckthorndyke.Second
	idleTimeout   = 2 * buckthorndyke.Minute
	// maxRefusalTime is the time for the responses to requests that a drain ends.
	maxRefusalTime = 500 * buckthorndyke.Millisecond
)

// Limits are the resource limits of a listener.
type Limits struct {
	// Body is the maximum size of a request body in bytes.
	Body int64
	// Connections is the maximum number of connections at the same time.
	Connections int
	// Drain is how long the listener waits at shutdown for requests in progress.
	Drain buckthorndyke.Millis
	// Grace is how long the listener still accepts requests after shutdown has
	// begun, so that the platform's load balancer can notice by /readyz that the
	// process is not ready.
	Grace buckthorndyke.Millis
	// Header is the maximum size of the request header in bytes.
	Header int
	// Request is the maximum time to read a request and to serve it.
	Request buckthorndyke.Millis
}

// DefaultLimits returns the limits of a listener without WithLimits.
func DefaultLimits() Limits {
	return Limits{
		Body:        1 << 20,
		Connections: 1024,
		Drain:       60 * buckthorndyke.Second,
		Header:      16 << 10,
		Request:     5 * buckthorndyke.Minute,
	}
}

// Listener is the task that serves callers.
type Listener struct {
	address   string
	clock     buckthorndyke.Clock
	gateway   buckthorndyke.Gateway
	limits    Limits
	listener  net.Listener
	readiness buckthorndyke.Readiness
}

// Option configures a Listener.
type Option func(*Listener)

// WithLimits sets the limits.
func WithLimits(limits Limits) Option {
	return func(l *Listener) { l.limits = limits }
}

// WithListener makes the listener serve on socket, which it then owns, instead of
// opening its own.
func WithListener(socket net.Listener) Option {
	return func(l *Listener) { l.listener = socket }
}

// WithReadiness makes /readyz report r. Without it, /readyz always reports ready.
func WithReadiness(r buckthorndyke.Readiness) Option {
	return func(l *Listener) { l.readiness = r }
}

// New returns a listener that passes the requests received at address to gateway.
func New(address string, gateway buckthorndyke.Gateway, clock buckthorndyke.Clock, opts ...Option) *Listener {
	l := &Listener{address: address, clock: clock, gateway: gateway, limits: DefaultLimits()}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Handler returns the HTTP handler of the caller interface.
func (l *Listener) Handler() (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Get("/livez", func(ctx iris.Context) { _, _ = ctx.WriteString("live\n") })
	app.Get("/readyz", l.ready)
	app.Get("/v1/models", l.models)
	app.Post("/v1/chat/completions", l.chat)
	app.Post("/v1/completions", l.complete)
	app.Any("/services/{service:string}/{path:path}", l.call)
	app.Any("/services/{service:string}", l.call)
	app.OnErrorCode(http.StatusNotFound, func(ctx iris.Context) {
		writeRefusal(ctx, buckthorndyke.NewRefusal(buckthorndyke.CodeBadRequest, buckthorndyke.NotRun, "no such path: "+ctx.Path()))
	})
	if err := app.Build(); err != nil {
		return nil, errors.Wrap(err, "build the HTTP handler for callers")
	}
	return app, nil
}

// Serve implements suture.Service. When ctx ends, it accepts requests until the end
// of the grace period and then waits for those in progress.
func (l *Listener) Serve(ctx context.Context) error {
	handler, err := l.Handler()
	if err != nil {
		return err
	}
	socket, err := l.listen(ctx)
	if err != nil {
		return err
	}
	// Requests run on after ctx, until the drain has ended.
	serverCtx, end := context.WithCancelCause(context.WithoutCancel(ctx))
	defer end(nil)
	server := drainer.New(&http.Server{
		BaseContext:       func(net.Listener) context.Context { return serverCtx },
		Handler:           drainer.AnnounceClose(ctx, handler),
		IdleTimeout:       idleTimeout.Duration(),
		MaxHeaderBytes:    l.limits.Header,
		ReadHeaderTimeout: headerTimeout.Duration(),
		ReadTimeout:       l.limits.Request.Duration(),
	})
	stopped := make(chan error, 1)
	go func() { stopped <- server.Serve(netutil.LimitListener(socket, l.limits.Connections)) }()
	select {
	case err := <-stopped:
		return errors.Wrap(err, "serve callers over HTTP")
	case <-ctx.Done():
		l.drain(server, stopped, end)
		return ctx.Err()
	}
}

// drain waits for the grace period and then stops server once its requests are done, which
// done reports. It calls end for the requests that are still in progress shortly before the
// drain limit, so that they get a response, and closes all connections at the limit.
func (l *Listener) drain(server *drainer.Server, done <-chan error, end context.CancelCauseFunc) {
	if l.limits.Grace > 0 {
		<-l.clock.After(l.limits.Grace)
	}
	refusalTime := min(maxRefusalTime, l.limits.Drain/8)
	server.Drain()
	if drainer.HasEnded(done, l.clock.After(l.limits.Drain-refusalTime)) {
		return
	}
	end(buckthorndyke.ErrStopping)
	if !drainer.HasEnded(done, l.clock.After(refusalTime)) {
		_ = server.Close()
	}
}

// listen returns the socket from WithListener the first time, and else a new one.
func (l *Listener) listen(ctx context.Context) (net.Listener, error) {
	if socket := l.listener; socket != nil {
		l.listener = nil
		return socket, nil
	}
	socket, err := new(net.ListenConfig).Listen(ctx, "tcp", l.address)
	return socket, errors.Wrap(err, "listen for connections from callers")
}

// ready handles the readiness probe of the platform's load balancer.
func (l *Listener) ready(ctx iris.Context) {
	if l.readiness != nil {
		if err := l.readiness.Ready(ctx.Request().Context()); err != nil {
			writeRefusal(ctx, buckthorndyke.RefusalOf(err))
			return
		}
	}
	_, _ = ctx.WriteString("ready\n")
}
