// Package loader sends orders to the runners while its VM leads. It collects the
// demand of all VMs, plans orders with the package stager and tracks each order until
// it has been carried out.
package loader

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/apportioner"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/quarantiner"
	"github.com/buckthorndyke/buckthorndyke/stager"
)

const (
	// mailboxCapacity is the number of messages that can wait for the task.
	mailboxCapacity = 512
	// defaultFullSpeedLoads is the assumed number of concurrent loads that the weight
	// store serves at full speed.
	defaultFullSpeedLoads = 4
)

// Loader is the task that loads and unloads models while its VM leads.
type Loader struct {
	// allotmentBounds says by how much requests may exceed callers' allotments.
	allotmentBounds buckthorndyke.AllotmentBounds
	box             *mailer.Mailbox[message]
	// checksFencingTokens is set if the runners refuse orders with an old fencing
	// token.
	checksFencingTokens bool
	clock               buckthorndyke.Clock
	// earlyLoads is set if a load may be ordered behind an accepted unload that no report
	// shows yet.
	earlyLoads     bool
	feeds          Feeds
	fullSpeedLoads int
	leaders        buckthorndyke.LeaderClient
	lease          buckthorndyke.Millis
	logger         zerolog.Logger
	// meter is nil if nothing is measured.
	meter buckthorndyke.Meter
	pool  buckthorndyke.BackendPool
	self  buckthorndyke.Self
}

// Feeds are the feeds that a loader subscribes to.
type Feeds struct {
	// FullSpeedLoads has the number of concurrent loads that the weight store serves
	// at full speed, as the leader has learned.
	FullSpeedLoads *mailer.Feed[int]
	Lists          *mailer.Feed[buckthorndyke.Backends]
	Routings       *mailer.Feed[buckthorndyke.Routing]
	// SeenList and SeenRouting have the versions of the platform's records that this
	// VM has read last.
	SeenList    *mailer.Feed[buckthorndyke.SeenVersion]
	SeenRouting *mailer.Feed[buckthorndyke.SeenVersion]
	Terms       *mailer.Feed[buckthorndyke.Term]
}

// Option configures a Loader.
type Option func(*Loader)

// WithAllotmentBounds sets by how much requests may exceed callers' allotments.
func WithAllotmentBounds(b buckthorndyke.AllotmentBounds) Option {
	return func(l *Loader) { l.allotmentBounds = b }
}

// WithFullSpeedLoads sets the number of concurrent loads that the weight store serves
// at full speed.
func WithFullSpeedLoads(n int) Option {
	return func(l *Loader) { l.fullSpeedLoads = n }
}

// WithFencingTokenChecks sets whether the runners refuse orders with an old fencing
// token.
func WithFencingTokenChecks(checks bool) Option {
	return func(l *Loader) { l.checksFencingTokens = checks }
}

// WithEarlyLoads sets whether a load is ordered as soon as the unload of an idle model
// that makes room for it is accepted. It must be set only if the runners refuse each
// order from the acceptance of another one until its end, also if they carry it out late.
// A runner that does not, or that loses the unload, would load more than its memory holds.
func WithEarlyLoads(early bool) Option {
	return func(l *Loader) { l.earlyLoads = early }
}

// WithLogger logs orders to logger.
func WithLogger(logger zerolog.Logger) Option {
	return func(l *Loader) { l.logger = logger }
}

// WithMeter counts orders by reason, wrongly predicted ends of loads and crowded runners.
func WithMeter(meter buckthorndyke.Meter) Option {
	return func(l *Loader) { l.meter = meter }
}

// New returns a loader for the VM self. A new leader sends its first order no earlier
// than lease after the last order of a previous leader that may still be active.
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

// Report handles a VM's demand and returns the leader's reply. If requests wait, it
// replies once one of them can be served or after a short time.
func (l *Loader) Report(
	ctx context.Context, vm buckthorndyke.VMID, demand buckthorndyke.DemandReport,
) (buckthorndyke.DemandReply, error) {
	return mailer.Ask(ctx, l.box, func(reply mailer.Reply[buckthorndyke.DemandReply]) message {
		return demandReported{demand: demand, reply: reply, vm: vm}
	})
}

// Serve implements suture.Service.
func (l *Loader) Serve(ctx context.Context) error {
	t := &task{Loader: l, ledger: apportioner.NewLedger(l.allotmentBounds), listChanges: make(map[uint64]*buckthorndyke.ListChange), crashes: quarantiner.New(), view: stager.NewView(l.fullSpeedLoads), runCtx: ctx, polling: make(map[buckthorndyke.RunnerID]bool), repliedAt: make(map[buckthorndyke.VMID]buckthorndyke.Millis)}
	return t.run(ctx)
}

// Yield stops leading if fencingToken is higher than the VM's own.
func (l *Loader) Yield(ctx context.Context, fencingToken int64) (buckthorndyke.YieldReply, error) {
	return mailer.Ask(ctx, l.box, func(reply mailer.Reply[buckthorndyke.YieldReply]) message {
		return yieldRequested{fencingToken: fencingToken, reply: reply}
	})
}
