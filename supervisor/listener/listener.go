// Package listener serves callers over HTTP. It owns the socket, decodes
// requests, passes them to the gateway and encodes the answers.
package listener

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"
	"golang.org/x/net/netutil"

	"github.com/buckthorndyke/buckthorndyke"
)

// Limits of the caller interface that no option changes.
const (
	headerTimeout = 5 * buckthorndyke.Second
	idleTimeout   = 2 * buckthorndyke.Minute
)

// Limits bound what one caller's connection may take.
type Limits struct {
	// Body and Header are in bytes.
	Body        int64
	Connections int
	// Drain bounds how long requests may go on once the listener stops.
	Drain buckthorndyke.Millis
	// Grace is how long the listener still accepts requests after it reports that
	// it is not ready, so that the platform's balancer takes note.
	Grace   buckthorndyke.Millis
	Header  int
	Request buckthorndyke.Millis
}

// DefaultLimits returns the limits of a listener that is given none.
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

// WithListener makes the task serve on socket, which it then owns.
func WithListener(socket net.Listener) Option {
	return func(l *Listener) { l.listener = socket }
}

// WithReadiness makes /readyz report r.
func WithReadiness(r buckthorndyke.Readiness) Option {
	return func(l *Listener) { l.readiness = r }
}

// New returns a listener that serves gateway at address.
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
		return nil, errors.Wrap(err, "build the caller interface")
	}
	return app, nil
}

// Serve implements suture.Service. When ctx ends it goes on serving for the
// grace period and then waits for the requests in progress.
func (l *Listener) Serve(ctx context.Context) error {
	handler, err := l.Handler()
	if err != nil {
		return err
	}
	socket, err := l.listen(ctx)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:           handler,
		IdleTimeout:       idleTimeout.Duration(),
		MaxHeaderBytes:    l.limits.Header,
		ReadHeaderTimeout: headerTimeout.Duration(),
		ReadTimeout:       l.limits.Request.Duration(),
	}
	stopped := make(chan error, 1)
	go func() { stopped <- server.Serve(netutil.LimitListener(socket, l.limits.Connections)) }()
	select {
	case err := <-stopped:
		return errors.Wrap(err, "serve callers")
	case <-ctx.Done():
		l.drain(context.WithoutCancel(ctx), server)
		return ctx.Err()
	}
}

// drain stops server once the grace period is over and its requests have ended,
// or at the drain limit.
func (l *Listener) drain(ctx context.Context, server *http.Server) {
	if l.limits.Grace > 0 {
		<-l.clock.After(l.limits.Grace)
	}
	ctx, cancel := context.WithTimeout(ctx, l.limits.Drain.Duration())
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}

// listen returns the socket that the task was given, or a new one.
func (l *Listener) listen(ctx context.Context) (net.Listener, error) {
	if socket := l.listener; socket != nil {
		l.listener = nil
		return socket, nil
	}
	socket, err := new(net.ListenConfig).Listen(ctx, "tcp", l.address)
	return socket, errors.Wrap(err, "listen for callers")
}

// ready answers the platform's balancer.
func (l *Listener) ready(ctx iris.Context) {
	if l.readiness != nil {
		if err := l.readiness.Ready(ctx.Request().Context()); err != nil {
			writeRefusal(ctx, buckthorndyke.RefusalOf(err))
			return
		}
	}
	_, _ = ctx.WriteString("ready\n")
}
