// Package gatekeeper limits the loads of all runners together to what the weight store
// allows.
package gatekeeper

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// Limits for loads from the weight store.
const (
	defaultConcurrentAdapters = 30
	defaultConcurrentModels   = 4
	defaultModelInterval      = buckthorndyke.Second / 4
	// maxInterval is the longest time between the starts of two loads. It guarantees
	// each member a minimum rate while the gate host is unreachable.
	maxInterval = 4 * buckthorndyke.Second
)

// errGateStopped is the refusal of a request that waited when the gate stopped.
var errGateStopped = buckthorndyke.NewRefusal(
	buckthorndyke.CodeServiceUnavailable, buckthorndyke.NotRun, "the load gate has stopped",
)

// Gatekeeper is the task that grants load permits. It implements
// buckthorndyke.LoadGate.
type Gatekeeper struct {
	adapters    limits
	box         *mailer.Mailbox[message]
	clock       buckthorndyke.Clock
	lifetimeCtx context.Context
	models      limits
	stop        context.CancelFunc
}

// Option configures a Gatekeeper.
type Option func(*Gatekeeper)

// WithAdapterLimit allows n concurrent loads of adapters.
func WithAdapterLimit(n int) Option {
	return func(g *Gatekeeper) { g.adapters.concurrent = n }
}

// WithModelLimits allows concurrent loads of models at a time, and perSecond new ones per
// second.
func WithModelLimits(concurrent, perSecond int) Option {
	return func(g *Gatekeeper) {
		g.models = limits{concurrent: concurrent, interval: buckthorndyke.Second / buckthorndyke.Millis(perSecond)}
	}
}

// New returns a load gate. It grants permits while Serve runs.
func New(clock buckthorndyke.Clock, opts ...Option) *Gatekeeper {
	lifetime, stop := context.WithCancel(context.Background())
	g := &Gatekeeper{
		adapters:    limits{concurrent: defaultConcurrentAdapters},
		box:         mailer.NewMailbox[message](),
		clock:       clock,
		lifetimeCtx: lifetime,
		models:      limits{concurrent: defaultConcurrentModels, interval: defaultModelInterval},
		stop:        stop,
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

// acquire waits for a permit. The limits are divided by members, the number of members
// that share them.
func (g *Gatekeeper) acquire(ctx context.Context, r buckthorndyke.LoadRequest, members int) (buckthorndyke.LoadPermit, error) {
	askCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(g.lifetimeCtx, func() { cancel(errGateStopped) })
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

// post sends m unless the gate has stopped.
func (g *Gatekeeper) post(m message) {
	_ = g.box.Send(g.lifetimeCtx, m)
}

// permit is a load permit that a Gatekeeper granted.
type permit struct {
	gate *Gatekeeper
	id   uint64
}

// Close implements buckthorndyke.LoadPermit.
func (p permit) Close() {
	go p.gate.post(releaseMessage{id: p.id})
}
