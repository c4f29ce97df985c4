// Package loader gives the runners orders while its VM leads: it gathers the
// demand of all VMs, decides by the package stager and follows each order to its
// end.
package loader

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/stager"
)

const (
	// backlog bounds the messages that wait for the task.
	backlog = 512
	// defaultAtOnce is the number of loads that the weight store is held to allow
	// at full speed.
	defaultAtOnce = 4
)

// Loader is the task that leads.
type Loader struct {
	atOnce   int
	box      *mailer.Mailbox[message]
	clock    buckthorndyke.Clock
	lease    buckthorndyke.Millis
	lists    *mailer.Feed[buckthorndyke.Backends]
	logger   zerolog.Logger
	pool     buckthorndyke.BackendPool
	routings *mailer.Feed[buckthorndyke.Routing]
	self     buckthorndyke.VMID
	terms    *mailer.Feed[buckthorndyke.Term]
}

// Feeds are what a loader follows.
type Feeds struct {
	Lists    *mailer.Feed[buckthorndyke.Backends]
	Routings *mailer.Feed[buckthorndyke.Routing]
	Terms    *mailer.Feed[buckthorndyke.Term]
}

// Option configures a Loader.
type Option func(*Loader)

// WithAtOnce sets the number of loads that the weight store allows at full
// speed.
func WithAtOnce(n int) Option {
	return func(l *Loader) { l.atOnce = n }
}

// WithLogger logs orders to l.
func WithLogger(logger zerolog.Logger) Option {
	return func(l *Loader) { l.logger = logger }
}

// New returns a loader for the VM self. A new leader waits for lease before its
// first order.
func New(
	self buckthorndyke.VMID, pool buckthorndyke.BackendPool, feeds Feeds, lease buckthorndyke.Millis,
	clock buckthorndyke.Clock, opts ...Option,
) *Loader {
	l := &Loader{
		atOnce:   defaultAtOnce,
		box:      mailer.NewMailbox[message](mailer.WithCapacity(backlog)),
		clock:    clock,
		lease:    lease,
		lists:    feeds.Lists,
		logger:   zerolog.Nop(),
		pool:     pool,
		routings: feeds.Routings,
		self:     self,
		terms:    feeds.Terms,
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Report takes a VM's demand and returns what the leader knows, once something
// that waits can be served or after a short while.
func (l *Loader) Report(
	ctx context.Context, vm buckthorndyke.VMID, lines []buckthorndyke.DemandLine,
) (buckthorndyke.DemandReply, error) {
	return mailer.Ask(ctx, l.box, func(reply mailer.Reply[buckthorndyke.DemandReply]) message {
		return demandReported{lines: lines, reply: reply, vm: vm}
	})
}

// Serve implements suture.Service.
func (l *Loader) Serve(ctx context.Context) error {
	t := &task{Loader: l, floor: stager.NewFloor(l.atOnce), life: ctx, polling: make(map[buckthorndyke.RunnerID]bool)}
	return t.run(ctx)
}
