// Package entrance accepts connections of clients. It owns the sockets for their requests
// and for the load balancer's readiness checks.
package entrance

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/drainer"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/reporter"
)

// Limits of connections.
const (
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 10 * buckthorndyke.Second
	// idleTimeout is how long a connection without a request is kept open.
	idleTimeout = 30 * buckthorndyke.Second
	// headerLimit bounds a request's header, in bytes.
	headerLimit = 64 << 10
)

// errNotDone means that requests were still in progress when the connections were closed.
var errNotDone = errors.New("requests were still in progress")

// Entrance is the task that serves clients.
type Entrance struct {
	address    string
	clock      buckthorndyke.Clock
	drainLimit buckthorndyke.Millis
	handler    http.Handler
	// lists delivers the lists of backend servers.
	lists  *mailer.Feed[buckthorndyke.Backends]
	logger zerolog.Logger
	// open opens the socket at an address.
	open              func(ctx context.Context, address string) (net.Listener, error)
	readinessAddress  string
	readinessRequests *mailer.Mailbox[mailer.Reply[bool]]
	// routings delivers the configurations of routes.
	routings *mailer.Feed[buckthorndyke.Routing]
}

// Addresses are the addresses on which an entrance listens.
type Addresses struct {
	// Clients is the address for requests of clients.
	Clients string
	// Readiness is the address for the load balancer's readiness checks.
	Readiness string
}

// Option configures an Entrance.
type Option func(*Entrance)

// WithOpen makes the entrance open its sockets by open.
func WithOpen(open func(ctx context.Context, address string) (net.Listener, error)) Option {
	return func(e *Entrance) { e.open = open }
}

// New returns an entrance that passes requests to handler. It is ready once routings and
// lists have each delivered a value.
func New(
	addresses Addresses, handler http.Handler, routings *mailer.Feed[buckthorndyke.Routing],
	lists *mailer.Feed[buckthorndyke.Backends], drainLimit buckthorndyke.Millis, clock buckthorndyke.Clock,
	logger zerolog.Logger, opts ...Option,
) *Entrance {
	e := &Entrance{
		address:           addresses.Clients,
		clock:             clock,
		drainLimit:        drainLimit,
		handler:           handler,
		lists:             lists,
		logger:            logger,
		open:              openSocket,
		readinessAddress:  addresses.Readiness,
		readinessRequests: mailer.NewMailbox[mailer.Reply[bool]](),
		routings:          routings,
	}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Serve implements suture.Service. When ctx ends it reports that it is not ready, accepts
// requests until the load balancer has noticed, and returns once all requests are done. Requests that
// take too long are ended with buckthorndyke.ErrStopping as the cause of their context.
func (e *Entrance) Serve(ctx context.Context) error {
	// The servers run on after ctx, until the drain has ended.
	serverCtx, end := context.WithCancelCause(context.WithoutCancel(ctx))
	defer end(nil)
	clientServer := drainer.New(&http.Server{
		BaseContext:       func(net.Listener) context.Context { return serverCtx },
		Handler:           e.reportCuts(ctx, drainer.AnnounceClose(ctx, e.handler)),
		IdleTimeout:       idleTimeout.Duration(),
		MaxHeaderBytes:    headerLimit,
		ReadHeaderTimeout: headerTimeout.Duration(),
	})
	readinessServer := &http.Server{Handler: http.HandlerFunc(e.handleReadiness), ReadHeaderTimeout: headerTimeout.Duration()}
	clients, err := e.open(ctx, e.address)
	if err != nil {
		return errors.Wrap(err, "listen for clients")
	}
	checks, err := e.open(ctx, e.readinessAddress)
	if err != nil {
		_ = clients.Close()
		return errors.Wrap(err, "listen for readiness checks")
	}
	clientsDone, readinessDone := make(chan error, 1), make(chan error, 1)
	go func() { clientsDone <- clientServer.Serve(clients) }()
	go func() { readinessDone <- readinessServer.Serve(checks) }()
	defer func() { _ = readinessServer.Close() }()
	err = e.serveReadiness(ctx, clientsDone, readinessDone)
	if ctx.Err() == nil {
		_ = clientServer.Close()
		return err
	}
	e.drain(clientServer, clientsDone, end)
	return ctx.Err()
}

// drain stops clientServer once its requests are done, which done reports. It calls end for
// those that are still in progress when the schedule says so.
func (e *Entrance) drain(clientServer *drainer.Server, done <-chan error, end context.CancelCauseFunc) {
	e.logger.Info().EmbedObject(reporter.EventReadiness).Bool("ready", false).Send()
	schedule, began := NewSchedule(e.drainLimit), e.clock.Now()
	left := func(at buckthorndyke.Millis) <-chan time.Time { return e.clock.After(max(began+at-e.clock.Now(), 0)) }
	<-left(schedule.AcceptUntil)
	clientServer.Drain()
	if drainer.HasEnded(done, left(schedule.End)) {
		return
	}
	end(buckthorndyke.ErrStopping)
	if !drainer.HasEnded(done, left(schedule.Close)) {
		e.logger.Warn().EmbedObject(reporter.EventDrainStep).Str("step", "close-front").Err(errNotDone).Send()
		_ = clientServer.Close()
	}
}

// handleReadiness responds to a readiness check of the load balancer.
func (e *Entrance) handleReadiness(w http.ResponseWriter, r *http.Request) {
	ok, err := mailer.Ask(r.Context(), e.readinessRequests, func(reply mailer.Reply[bool]) mailer.Reply[bool] { return reply })
	if err != nil || !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// reportCuts returns a handler that logs the requests that end without a complete response
// once ctx has ended.
func (e *Entrance) reportCuts(ctx context.Context, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began := e.clock.Now()
		defer func() {
			aborted := recover()
			if aborted == nil {
				return
			}
			if ctx.Err() != nil {
				e.logger.Warn().EmbedObject(reporter.EventRequestCut).Str("client", r.RemoteAddr).Str("path", r.URL.EscapedPath()).
					Bool("disconnected", errors.Is(context.Cause(r.Context()), context.Canceled)).
					Int64("ms", int64(e.clock.Now()-began)).Send()
			}
			panic(aborted)
		}()
		next.ServeHTTP(w, r)
	})
}

// reportNotReady replies that the VM is not ready, until the process ends.
func (e *Entrance) reportNotReady() {
	for reply := range e.readinessRequests.Receive() {
		reply.Answer(false)
	}
}

// serveReadiness replies whether the VM is ready until ctx ends or a server fails, which
// clients and checks report.
func (e *Entrance) serveReadiness(ctx context.Context, clients, checks <-chan error) error {
	routings, lists := e.routings.Subscribe(ctx), e.lists.Subscribe(ctx)
	var hasRouting, hasList, ready bool
	for {
		select {
		case <-ctx.Done():
			go e.reportNotReady()
			return ctx.Err()
		case err := <-clients:
			return errors.Wrap(err, "serve clients")
		case err := <-checks:
			return errors.Wrap(err, "serve readiness checks")
		case <-routings:
			hasRouting = true
		case <-lists:
			hasList = true
		case reply := <-e.readinessRequests.Receive():
			reply.Answer(ready)
		}
		if complete := hasRouting && hasList; complete != ready {
			ready = complete
			e.logger.Info().EmbedObject(reporter.EventReadiness).Bool("ready", ready).Send()
		}
	}
}

// openSocket listens at address.
func openSocket(ctx context.Context, address string) (net.Listener, error) {
	return new(net.ListenConfig).Listen(ctx, "tcp", address)
}
