// Package owner decides which runners this VM owns, and starts a steward for
// each.
package owner

import (
	"context"

	"github.com/thejerf/suture/v4"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/supervisor/owner/steward"
)

var errNotOwner = buckthorndyke.NewRefusal(
	buckthorndyke.CodeNotOwner, buckthorndyke.NotRun, "this VM does not own the runner",
)

// Owner is the task that takes and releases runners and supervises their stewards.
// It implements buckthorndyke.TicketIssuer and buckthorndyke.Successor.
type Owner struct {
	box                *mailer.Mailbox[message]
	checksFencingToken func(buckthorndyke.RunnerID) bool
	clock              buckthorndyke.Clock
	// driftPermille is the maximum clock drift in parts per thousand.
	driftPermille int
	engines       buckthorndyke.Engines
	eventHook     suture.EventHook
	follower      buckthorndyke.Follower
	gate          buckthorndyke.LoadGate
	lease         buckthorndyke.Millis
	// lifetimeCtx ends when the owner is stopped. Messages to it are dropped from
	// then on.
	lifetimeCtx context.Context
	// livenessReporter reports which members are suspected.
	livenessReporter buckthorndyke.LivenessReporter
	peers            buckthorndyke.Peers
	proposer         buckthorndyke.Proposer
	self             buckthorndyke.Self
	// stewardOptions are passed to each steward.
	stewardOptions []steward.Option
	stop           context.CancelFunc
	vmlist         buckthorndyke.VMList
}

// Option configures an Owner.
type Option func(*Owner)

// WithDrift sets the maximum rate difference between the clocks of two VMs, in
// parts per thousand. It must be the same on all VMs.
func WithDrift(permille int) Option {
	return func(o *Owner) { o.driftPermille = permille }
}

// WithEventHook passes the events of the stewards' supervisor to hook.
func WithEventHook(hook suture.EventHook) Option {
	return func(o *Owner) { o.eventHook = hook }
}

// WithFencingTokenChecks sets the function that reports whether a runner refuses
// orders with an old fencing token. By default no runner does.
func WithFencingTokenChecks(checks func(buckthorndyke.RunnerID) bool) Option {
	return func(o *Owner) { o.checksFencingToken = checks }
}

// WithLease sets how long the owner may send orders after it last confirmed that it
// is the owner. It must be the same on all VMs.
func WithLease(d buckthorndyke.Millis) Option {
	return func(o *Owner) { o.lease = d }
}

// WithStewardOptions passes opts to each steward.
func WithStewardOptions(opts ...steward.Option) Option {
	return func(o *Owner) { o.stewardOptions = append(o.stewardOptions, opts...) }
}

// New returns an Owner that owns no runners yet.
func New(
	self buckthorndyke.Self, follower buckthorndyke.Follower, proposer buckthorndyke.Proposer,
	liveness buckthorndyke.LivenessReporter, vmlist buckthorndyke.VMList, engines buckthorndyke.Engines,
	peers buckthorndyke.Peers, gate buckthorndyke.LoadGate, clock buckthorndyke.Clock, opts ...Option,
) *Owner {
	lifetimeCtx, stop := context.WithCancel(context.Background())
	o := &Owner{
		box:                mailer.NewMailbox[message](),
		checksFencingToken: func(buckthorndyke.RunnerID) bool { return false },
		clock:              clock,
		driftPermille:      steward.DefaultDriftPermille,
		engines:            engines,
		eventHook:          func(suture.Event) {},
		follower:           follower,
		gate:               gate,
		lease:              steward.DefaultLease,
		lifetimeCtx:        lifetimeCtx,
		livenessReporter:   liveness,
		peers:              peers,
		proposer:           proposer,
		self:               self,
		stop:               stop,
		vmlist:             vmlist,
	}
	for _, opt := range opts {
		opt(o)
	}
	return o
}

// Drain stops taking runners, lets the stewards finish their requests and hands
// over their runners. It returns once this VM owns no runner.
func (o *Owner) Drain(ctx context.Context) error {
	_, err := ask(ctx, o, func(reply mailer.Reply[struct{}]) message { return drainRequested{reply: reply} })
	return err
}

// Promise implements buckthorndyke.Successor.
func (o *Owner) Promise(ctx context.Context, r buckthorndyke.PromiseRequest) (bool, error) {
	return ask(ctx, o, func(reply mailer.Reply[bool]) message { return promiseRequested{reply: reply, request: r} })
}

// Serve implements suture.Service.
func (o *Owner) Serve(ctx context.Context) error {
	defer func() {
		if ctx.Err() != nil {
			o.stop()
		}
	}()
	return newTask(o).run(ctx)
}

// Ticket implements buckthorndyke.TicketIssuer.
func (o *Owner) Ticket(ctx context.Context, r buckthorndyke.TicketRequest) (buckthorndyke.Ticket, error) {
	s, err := ask(ctx, o, func(reply mailer.Reply[*steward.Steward]) message {
		return stewardRequested{reply: reply, runner: r.Runner}
	})
	if err != nil {
		return nil, err
	}
	if s == nil {
		return nil, errNotOwner
	}
	return s.Ticket(ctx, r)
}

// post sends m unless the owner is stopped.
func (o *Owner) post(m message) {
	_ = o.box.Send(o.lifetimeCtx, m)
}

// ask sends a message and waits for the reply until the owner is stopped.
func ask[R any](ctx context.Context, o *Owner, message func(mailer.Reply[R]) message) (R, error) {
	askCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(o.lifetimeCtx, func() { cancel(errNotOwner) })
	defer stop()
	return mailer.Ask(askCtx, o.box, message)
}
