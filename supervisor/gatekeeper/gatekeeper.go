// Package gatekeeper keeps all runners' loads together within the limits of the
// weight store.
package gatekeeper

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// Limits of the weight store.
const (
	defaultConcurrentAdapters = 30
	defaultConcurrentModels   = 4
	defaultModelInterval      = buckthorndyke.Second / 4
	// maxInterval is the least rate that a member keeps when the gate is out of
	// reach.
	maxInterval = 4 * buckthorndyke.Second
)

// errEnded is the error of a request that the gate ended before it permitted it.
var errGateStopped = buckthorndyke.NewRefusal(
	buckthorndyke.CodeServiceUnavailable, buckthorndyke.NotRun, "the load gate has ended",
)

// Gatekeeper is the task that permits loads. It implements
// buckthorndyke.LoadGate.
type Gatekeeper struct {
	adapters limits
	box      *mailer.Mailbox[message]
	clock    buckthorndyke.Clock
	lifetime context.Context
	models   limits
	stop     context.CancelFunc
}

// Option configures a Gatekeeper.
type Option func(*Gatekeeper)

// WithAdapterLimit permits n loads of adapters at once.
func WithAdapterLimit(n int) Option {
	return func(g *Gatekeeper) { g.adapters.concurrent = n }
}

// WithModelLimits permits atOnce loads of models at once, and perSecond starts
// in a second.
func WithModelLimits(concurrent, perSecond int) Option {
	return func(g *Gatekeeper) {
		g.models = limits{concurrent: concurrent, interval: buckthorndyke.Second / buckthorndyke.Millis(perSecond)}
	}
}

// New returns a load gate without requests.
func New(clock buckthorndyke.Clock, opts ...Option) *Gatekeeper {
	lifetime, stop := context.WithCancel(context.Background())
	g := &Gatekeeper{
		adapters: limits{concurrent: defaultConcurrentAdapters},
		box:      mailer.NewMailbox[message](),
		clock:    clock,
		lifetime: lifetime,
		models:   limits{concurrent: defaultConcurrentModels, interval: defaultModelInterval},
		stop:     stop,
	}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// AcquireLoad implements buckthorndyke.LoadGate. The permit ends with ctx.
func (g *Gatekeeper) AcquireLoad(ctx context.Context, r buckthorndyke.LoadRequest) (buckthorndyke.LoadPermit, error) {
	return g.acquire(ctx, r, 1)
}

// Serve implements suture.Service.
func (g *Gatekeeper) Serve(ctx context.Context) error {
	t := &task{Gatekeeper: g, holders: make(map[uint64]holder), members: 1}
	defer func() {
		t.refuseAll()
		if ctx.Err() != nil {
			g.stop()
		}
	}()
	return t.run(ctx)
}

// acquire waits for a permit within the part of the limits that falls to one of
// parts members.
func (g *Gatekeeper) acquire(ctx context.Context, r buckthorndyke.LoadRequest, members int) (buckthorndyke.LoadPermit, error) {
	askCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(g.lifetime, func() { cancel(errGateStopped) })
	defer stop()
	reply, err := mailer.Ask(askCtx, g.box, func(reply mailer.Reply[acquireReply]) message {
		return acquireMessage{ctx: ctx, members: members, reply: reply, request: r}
	})
	if err != nil {
		return nil, err
	}
	if reply.err != nil {
		return nil, reply.err
	}
	return reply.permit, nil
}

// post sends m unless the gate ends.
func (g *Gatekeeper) post(m message) {
	_ = g.box.Send(g.lifetime, m)
}

// permit is a load permit of a Gatekeeper.
type permit struct {
	gate *Gatekeeper
	id   uint64
}

// Close implements buckthorndyke.LoadPermit.
func (p permit) Close() {
	go p.gate.post(releaseMessage{id: p.id})
}
