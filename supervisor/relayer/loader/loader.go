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
	mailboxCapacity = 512
	// defaultAtOnce is the number of loads that the weight store is held to allow
	// at full speed.
	defaultFullSpeedLoads = 4
)

// Loader is the task that leads.
type Loader struct {
	box *mailer.Mailbox[message]
	// checksFence is set if the runners refuse orders with an old fencing number.
	checksFencingTokens bool
	clock               buckthorndyke.Clock
	feeds               Feeds
	fullSpeedLoads      int
	leaders             buckthorndyke.LeaderClient
	lease               buckthorndyke.Millis
	logger              zerolog.Logger
	pool                buckthorndyke.BackendPool
	self                buckthorndyke.Self
}

// Feeds are what a loader follows.
type Feeds struct {
	// AtOnce brings what the leader has learnt of the weight store.
	FullSpeedLoads *mailer.Feed[int]
	Lists          *mailer.Feed[buckthorndyke.Backends]
	Routings       *mailer.Feed[buckthorndyke.Routing]
	// SeenList and SeenRouting bring what this VM has read of the platform's records.
	SeenList    *mailer.Feed[buckthorndyke.SeenVersion]
	SeenRouting *mailer.Feed[buckthorndyke.SeenVersion]
	Terms       *mailer.Feed[buckthorndyke.Term]
}

// Option configures a Loader.
type Option func(*Loader)

// WithAtOnce sets the number of loads that the weight store allows at full
// speed.
func WithFullSpeedLoads(n int) Option {
	return func(l *Loader) { l.fullSpeedLoads = n }
}

// WithFenceChecks says that the runners refuse orders with an old fencing number.
func WithFencingTokenChecks(checks bool) Option {
	return func(l *Loader) { l.checksFencingTokens = checks }
}

// WithLogger logs orders to l.
func WithLogger(logger zerolog.Logger) Option {
	return func(l *Loader) { l.logger = logger }
}

// New returns a loader for the VM self. A new leader gives its first order no
// sooner than lease after the last one of a previous leader that may still act.
func New(
	self buckthorndyke.Self, pool buckthorndyke.BackendPool, leaders buckthorndyke.LeaderClient, feeds Feeds, lease buckthorndyke.Millis,
	clock buckthorndyke.Clock, opts ...Option,
) *Loader {
	l := &Loader{
		fullSpeedLoads: defaultFullSpeedLoads,
		box:            mailer.NewMailbox[message](mailer.WithCapacity(mailboxCapacity)),
		clock:          clock,
		feeds:          feeds,
		leaders:        leaders,
		lease:          lease,
		logger:         zerolog.Nop(),
		pool:           pool,
		self:           self,
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Report takes a VM's demand and returns what the leader knows, once something
// that waits can be served or after a short while.
func (l *Loader) Report(
	ctx context.Context, vm buckthorndyke.VMID, demand buckthorndyke.DemandReport,
) (buckthorndyke.DemandReply, error) {
	return mailer.Ask(ctx, l.box, func(reply mailer.Reply[buckthorndyke.DemandReply]) message {
		return demandReported{demand: demand, reply: reply, vm: vm}
	})
}

// Serve implements suture.Service.
func (l *Loader) Serve(ctx context.Context) error {
	t := &task{Loader: l, view: stager.NewView(l.fullSpeedLoads), runCtx: ctx, polling: make(map[buckthorndyke.RunnerID]bool), repliedAt: make(map[buckthorndyke.VMID]buckthorndyke.Millis)}
	return t.run(ctx)
}

// Yield gives up leading if fence is higher than the VM's own.
func (l *Loader) Yield(ctx context.Context, fencingToken int64) (buckthorndyke.YieldReply, error) {
	return mailer.Ask(ctx, l.box, func(reply mailer.Reply[buckthorndyke.YieldReply]) message {
		return yieldRequested{fencingToken: fencingToken, reply: reply}
	})
}
