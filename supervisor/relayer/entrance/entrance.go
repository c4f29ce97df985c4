// Package entrance lets clients in: it owns the sockets for their requests and
// for the balancer's question whether the VM is ready.
package entrance

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/reporter"
)

// Limits of the interface to clients.
const (
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 10 * buckthorndyke.Second
	// idleTimeout is how long a connection without a request is kept open.
	idleTimeout = 30 * buckthorndyke.Second
	// headerLimit bounds a request's header, in bytes.
	headerLimit = 64 << 10
	// drainGrace is how long new requests are taken after the stop began: by then
	// the balancer has noticed that the VM is not ready.
	drainGrace = 2600 * buckthorndyke.Millisecond
	// stopMargin is the part of the drain limit that is left for the rest of the
	// tree.
	stopMargin = 800 * buckthorndyke.Millisecond
)

// Entrance is the task that serves clients.
type Entrance struct {
	address           string
	clock             buckthorndyke.Clock
	drainLimit        buckthorndyke.Millis
	handler           http.Handler
	lists             *mailer.Feed[buckthorndyke.Backends]
	logger            zerolog.Logger
	readinessAddress  string
	readinessRequests *mailer.Mailbox[mailer.Reply[bool]]
	routings          *mailer.Feed[buckthorndyke.Routing]
}

// Addresses are where an entrance serves.
type Addresses struct {
	// Clients is the address for requests.
	Clients string
	// Readiness is the address for the balancer's question.
	Readiness string
}

// New returns an entrance that hands requests to handler. It is ready once
// routings and lists have brought a value.
func New(
	at Addresses, handler http.Handler, routings *mailer.Feed[buckthorndyke.Routing],
	lists *mailer.Feed[buckthorndyke.Backends], drainLimit buckthorndyke.Millis, clock buckthorndyke.Clock,
	logger zerolog.Logger,
) *Entrance {
	return &Entrance{
		address:           at.Clients,
		clock:             clock,
		drainLimit:        drainLimit,
		handler:           handler,
		lists:             lists,
		logger:            logger,
		readinessRequests: mailer.NewMailbox[mailer.Reply[bool]](),
		readinessAddress:  at.Readiness,
		routings:          routings,
	}
}

// Serve implements suture.Service. When ctx ends it says that it is not ready,
// takes requests until the balancer has noticed, and ends once all are answered.
func (e *Entrance) Serve(ctx context.Context) error {
	// The servers outlive ctx: they end with the drain.
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	front := &http.Server{
		BaseContext:       func(net.Listener) context.Context { return life },
		Handler:           closeAfter(ctx, e.handler),
		IdleTimeout:       idleTimeout.Duration(),
		MaxHeaderBytes:    headerLimit,
		ReadHeaderTimeout: headerTimeout.Duration(),
	}
	ready := &http.Server{Handler: http.HandlerFunc(e.handleReadiness), ReadHeaderTimeout: headerTimeout.Duration()}
	failed := make(chan error, 2)
	for address, server := range map[string]*http.Server{e.address: front, e.readinessAddress: ready} {
		l, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
		if err != nil {
			return errors.Wrap(err, "listen for clients")
		}
		go func() { failed <- server.Serve(l) }()
	}
	defer func() { _ = ready.Close() }()
	err := e.serveReadiness(ctx, failed)
	if ctx.Err() == nil {
		_ = front.Close()
		return err
	}
	e.drain(life, front)
	return ctx.Err()
}

// handleReadiness answers the balancer.
func (e *Entrance) handleReadiness(w http.ResponseWriter, r *http.Request) {
	ok, err := mailer.Ask(r.Context(), e.readinessRequests, func(reply mailer.Reply[bool]) mailer.Reply[bool] { return reply })
	if err != nil || !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveReadiness answers whether the VM is ready until ctx ends or a server fails.
func (e *Entrance) serveReadiness(ctx context.Context, failed <-chan error) error {
	routings, lists := e.routings.Subscribe(ctx), e.lists.Subscribe(ctx)
	var routed, listed, ready bool
	for {
		select {
		case <-ctx.Done():
			go e.reportNotReady()
			return ctx.Err()
		case err := <-failed:
			return errors.Wrap(err, "serve clients")
		case <-routings:
			routed = true
		case <-lists:
			listed = true
		case reply := <-e.readinessRequests.Receive():
			reply.Answer(ready)
		}
		if now := routed && listed; now != ready {
			ready = now
			e.logger.Info().EmbedObject(reporter.EventReadiness).Bool("ready", ready).Send()
		}
	}
}

// drain ends the front once its requests are answered.
func (e *Entrance) drain(ctx context.Context, front *http.Server) {
	e.logger.Info().EmbedObject(reporter.EventReadiness).Bool("ready", false).Send()
	<-e.clock.After(min(drainGrace, e.drainLimit/2))
	ctx, cancel := context.WithTimeout(ctx, max(e.drainLimit-drainGrace-stopMargin, 1).Duration())
	defer cancel()
	if err := front.Shutdown(ctx); err != nil {
		e.logger.Warn().EmbedObject(reporter.EventDrainStep).Str("step", "close-front").Err(err).Send()
		_ = front.Close()
	}
}

// reportNotReady answers the balancer that the VM is not ready, for the rest of the
// process.
func (e *Entrance) reportNotReady() {
	for reply := range e.readinessRequests.Receive() {
		reply.Answer(false)
	}
}

// closeAfter asks clients to close their connections once ctx has ended.
func closeAfter(ctx context.Context, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if ctx.Err() != nil {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
