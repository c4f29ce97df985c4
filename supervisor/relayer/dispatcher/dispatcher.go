package dispatcher

import (
	"cmp"
	"context"

	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/gatherer"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/sequencer"
)

const (
	// mailboxCapacity is the number of messages that can be queued for the task.
	mailboxCapacity = 1024
	// defaultRetryBurst is the burst of retries that all entry VMs together may send to
	// a service.
	defaultRetryBurst = 56
)

// Dispatcher is the task that selects backend servers for requests. It implements
// buckthorndyke.Relay, buckthorndyke.DemandSource and buckthorndyke.CrashSource.
type Dispatcher struct {
	// allotmentBounds says by how much requests may exceed callers' allotments.
	allotmentBounds buckthorndyke.AllotmentBounds
	box             *mailer.Mailbox[message]
	clock           buckthorndyke.Clock
	domain          buckthorndyke.DomainID
	// ignoresLongPrompts is set if long prompts are sent with the urgency of short ones.
	ignoresLongPrompts bool
	lists              *mailer.Feed[buckthorndyke.Backends]
	logger             zerolog.Logger
	memory             buckthorndyke.MemoryAccount
	meter              buckthorndyke.Meter
	order              []sequencer.Option
	pool               buckthorndyke.BackendPool
	// refreshes gets the instants at which the configuration's version has to be confirmed,
	// or is nil.
	refreshes  *mailer.Feed[buckthorndyke.Millis]
	retryBurst int
	// routingNotices and seenRoutings have the versions of the configuration that the leader
	// and this VM have read, or are nil.
	routingNotices, seenRoutings *mailer.Feed[buckthorndyke.SeenVersion]
	routings                     *mailer.Feed[buckthorndyke.Routing]
	workWaiting                  chan struct{}
}

// Option configures a Dispatcher.
type Option func(*Dispatcher)

// WithAllotmentBounds sets by how much requests may exceed callers' allotments.
func WithAllotmentBounds(b buckthorndyke.AllotmentBounds) Option {
	return func(d *Dispatcher) { d.allotmentBounds = b }
}

// WithConfirmations makes the dispatcher follow the versions of the configuration that this
// VM and the leader have read, and ask for a newer read by a value in refreshes.
func WithConfirmations(seen, notices *mailer.Feed[buckthorndyke.SeenVersion], refreshes *mailer.Feed[buckthorndyke.Millis]) Option {
	return func(d *Dispatcher) { d.seenRoutings, d.routingNotices, d.refreshes = seen, notices, refreshes }
}

// WithDomain prefers servers in the given failure domain.
func WithDomain(domain buckthorndyke.DomainID) Option {
	return func(d *Dispatcher) { d.domain = domain }
}

// WithLogger logs requests to l.
func WithLogger(l zerolog.Logger) Option {
	return func(d *Dispatcher) { d.logger = l }
}

// WithMemory reserves memory for responses from account.
func WithMemory(account buckthorndyke.MemoryAccount) Option {
	return func(d *Dispatcher) { d.memory = account }
}

// WithArrivalOrder serves waiting requests in the order of their arrival, and refuses them
// only when they have waited as long as they may.
func WithArrivalOrder() Option {
	return func(d *Dispatcher) { d.order = []sequencer.Option{sequencer.WithArrivalOrder()} }
}

// WithLongPromptsIgnored sends long prompts with the urgency of short ones.
func WithLongPromptsIgnored() Option {
	return func(d *Dispatcher) { d.ignoresLongPrompts = true }
}

// WithMeter records with m the requests that wait, what callers use of their allotments, and
// the times and limits of servers.
func WithMeter(m buckthorndyke.Meter) Option {
	return func(d *Dispatcher) { d.meter = m }
}

// WithRetryBurst bounds the burst of retries that all entry VMs together send to a
// service.
func WithRetryBurst(n int) Option {
	return func(d *Dispatcher) { d.retryBurst = n }
}

// New returns a dispatcher that subscribes to routings and lists and sends requests
// through pool.
func New(
	pool buckthorndyke.BackendPool, routings *mailer.Feed[buckthorndyke.Routing],
	lists *mailer.Feed[buckthorndyke.Backends], clock buckthorndyke.Clock, opts ...Option,
) *Dispatcher {
	d := &Dispatcher{
		box:         mailer.NewMailbox[message](mailer.WithCapacity(mailboxCapacity)),
		clock:       clock,
		lists:       lists,
		logger:      zerolog.Nop(),
		memory:      gatherer.Unlimited{},
		meter:       noMeter{},
		pool:        pool,
		workWaiting: make(chan struct{}, 1),
		retryBurst:  defaultRetryBurst,
		routings:    routings,
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// CrashEvidence implements buckthorndyke.CrashSource.
func (d *Dispatcher) CrashEvidence(ctx context.Context) (buckthorndyke.CrashEvidence, bool, error) {
	out, err := mailer.Ask(ctx, d.box, func(reply mailer.Reply[crashesReply]) message {
		return crashesRequested{reply: reply}
	})
	return out.evidence, out.hasLeader, cmp.Or(err, out.err)
}

// Demand implements buckthorndyke.DemandSource.
func (d *Dispatcher) Demand(ctx context.Context, recent bool) (buckthorndyke.DemandReport, error) {
	out, err := mailer.Ask(ctx, d.box, func(reply mailer.Reply[demandReply]) message {
		return demandRequested{recent: recent, reply: reply}
	})
	return out.report, cmp.Or(err, out.err)
}

// Drain tells the dispatcher that the VM begins to stop, and when it serves which requests.
// Others are refused. It fails if the task does not receive that within sendTimeout, so that
// it cannot hold up the stop.
func (d *Dispatcher) Drain(ctx context.Context, s DrainSchedule) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout.Duration())
	defer cancel()
	return d.box.Send(ctx, drainStarted{drain: newDrain(d.clock.Now(), s)})
}

// HandleCrashEvidence implements buckthorndyke.CrashSource.
func (d *Dispatcher) HandleCrashEvidence(ctx context.Context, e buckthorndyke.CrashEvidence) error {
	return d.box.Send(ctx, crashesShared{evidence: e})
}

// HandleNoLeader implements buckthorndyke.DemandSource.
func (d *Dispatcher) HandleNoLeader(ctx context.Context) error {
	return d.box.Send(ctx, leaderUnavailable{})
}

// HandleReply implements buckthorndyke.DemandSource.
func (d *Dispatcher) HandleReply(ctx context.Context, reply buckthorndyke.DemandReply) error {
	return d.box.Send(ctx, leaderReplied{reply: reply})
}

// Relay implements buckthorndyke.Relay.
func (d *Dispatcher) Relay(ctx context.Context, r buckthorndyke.RelayRequest, w buckthorndyke.RelayWriter) error {
	j, err := d.newJob(ctx, r, w)
	if err == nil {
		err = j.run(ctx)
	}
	j.endCharge(ctx, err)
	d.log(r, j, err)
	return err
}

// Screen implements buckthorndyke.Screener.
func (d *Dispatcher) Screen(ctx context.Context, r buckthorndyke.RelayRequest) error {
	j, err := d.newJob(ctx, r, nil)
	if err != nil {
		d.log(r, j, err)
	}
	return err
}

// subscribe returns the values of feed, or nil if there is none.
func subscribe[V any](ctx context.Context, feed *mailer.Feed[V]) <-chan V {
	if feed == nil {
		return nil
	}
	return feed.Subscribe(ctx)
}

// Serve implements suture.Service. The next run knows nothing of the requests of this one.
func (d *Dispatcher) Serve(ctx context.Context) error {
	t := newTask(ctx, d)
	defer t.abandon()
	return t.run(ctx)
}

// WorkWaiting implements buckthorndyke.DemandSource.
func (d *Dispatcher) WorkWaiting() <-chan struct{} { return d.workWaiting }
