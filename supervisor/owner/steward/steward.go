// Package steward manages one runner on behalf of its owner: it keeps the runner's
// queue, accounts for its memory, and is the only sender of orders to the runner.
package steward

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/evictor"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/scheduler"
)

const (
	// DefaultLease is how long an owner may send orders after it last confirmed that
	// it is the owner.
	DefaultLease = 10 * buckthorndyke.Second
	// DefaultDriftPermille is the maximum rate difference between the clocks of two
	// VMs, in parts per thousand.
	DefaultDriftPermille = 20
)

// Steward is the task that manages one runner.
type Steward struct {
	admission buckthorndyke.AdmissionPolicy
	box       *mailer.Mailbox[message]
	clock     buckthorndyke.Clock
	// driftPermille is the maximum clock drift in parts per thousand.
	driftPermille int
	engine        buckthorndyke.Engine
	// gate grants the permits for loads from the weight store.
	gate buckthorndyke.LoadGate
	// idle is closed when the steward ends without an outstanding order.
	idle     chan struct{}
	keepWarm buckthorndyke.KeepWarmPolicy
	lease    buckthorndyke.Millis
	// lifetimeCtx ends when the steward is stopped. Messages to it are dropped from
	// then on.
	lifetimeCtx context.Context
	nextOrderID func() buckthorndyke.OrderID
	proposer    buckthorndyke.Proposer
	quiesced    chan struct{}
	// runs is the number of calls of Serve. Only the goroutine of Serve accesses it.
	runs      int
	statusLag buckthorndyke.Millis
	stop      context.CancelFunc
	// takenAt is the time at which the owner learned that it is the owner.
	takenAt buckthorndyke.Millis
	view    View
	// views holds the newest view until the task receives it.
	views chan View
}

// Option configures a Steward.
type Option func(*Steward)

// WithAdmission sets the policy that decides which requests start.
func WithAdmission(p buckthorndyke.AdmissionPolicy) Option {
	return func(s *Steward) { s.admission = p }
}

// WithDrift sets the maximum rate difference between the clocks of two VMs, in
// parts per thousand.
func WithDrift(permille int) Option {
	return func(s *Steward) { s.driftPermille = permille }
}

// WithKeepWarm sets the policy that decides how long idle models stay loaded.
func WithKeepWarm(p buckthorndyke.KeepWarmPolicy) Option {
	return func(s *Steward) { s.keepWarm = p }
}

// WithLease sets how long a previous owner may send orders after it last confirmed that
// it was the owner.
func WithLease(d buckthorndyke.Millis) Option {
	return func(s *Steward) { s.lease = d }
}

// WithOrderIDs sets the generator of order IDs, which must be unique.
func WithOrderIDs(next func() buckthorndyke.OrderID) Option {
	return func(s *Steward) { s.nextOrderID = next }
}

// WithStatusLag sets the maximum lag of a runner's status.
func WithStatusLag(d buckthorndyke.Millis) Option {
	return func(s *Steward) { s.statusLag = d }
}

// New returns a steward for the runner that view describes.
func New(
	view View, engine buckthorndyke.Engine, gate buckthorndyke.LoadGate, proposer buckthorndyke.Proposer,
	clock buckthorndyke.Clock, opts ...Option,
) *Steward {
	lifetimeCtx, stop := context.WithCancel(context.Background())
	s := &Steward{
		admission:     scheduler.NewFairShareScheduler(),
		box:           mailer.NewMailbox[message](),
		clock:         clock,
		driftPermille: DefaultDriftPermille,
		engine:        engine,
		gate:          gate,
		idle:          make(chan struct{}),
		keepWarm:      evictor.NewAdaptiveKeepWarm(evictor.DefaultColdStartWeight),
		lease:         DefaultLease,
		lifetimeCtx:   lifetimeCtx,
		nextOrderID:   newOrderID,
		proposer:      proposer,
		quiesced:      make(chan struct{}),
		statusLag:     defaultStatusLag,
		stop:          stop,
		takenAt:       clock.Now(),
		view:          view,
		views:         make(chan View, 1),
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Idle returns a channel that is closed when the steward has ended and none of its
// orders is outstanding. It stays open if an order may be outstanding, as after a restart
// of the steward's task.
func (s *Steward) Idle() <-chan struct{} {
	return s.idle
}

// Quiesce makes the steward refuse new requests and finish those that it has
// accepted. The returned channel is closed once that is done.
func (s *Steward) Quiesce() <-chan struct{} {
	go s.post(quiesceRequested{})
	return s.quiesced
}

// Serve implements suture.Service. When it ends, each waiting request is refused
// with the verdict NotRun.
func (s *Steward) Serve(ctx context.Context) error {
	s.runs++
	t := newTask(s)
	defer t.stop(ctx)
	return t.run(ctx)
}

// Stop makes the steward refuse all requests. It is called once the runner has
// another owner.
func (s *Steward) Stop() {
	s.stop()
}

// Ticket implements buckthorndyke.TicketIssuer. The ticket is closed when ctx ends.
func (s *Steward) Ticket(ctx context.Context, r buckthorndyke.TicketRequest) (buckthorndyke.Ticket, error) {
	askCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(s.lifetimeCtx, func() { cancel(errNotOwner) })
	defer stop()
	reply, err := mailer.Ask(askCtx, s.box, func(reply mailer.Reply[ticketReply]) message {
		return ticketRequested{ctx: ctx, reply: reply, request: r}
	})
	if err != nil {
		return nil, err
	}
	return reply.ticket, reply.err
}

// Update replaces the steward's view. It must not be called concurrently.
func (s *Steward) Update(v View) {
	select {
	case <-s.views:
	default:
	}
	s.views <- v
}

// Yield makes the steward refuse new and waiting requests and issue no more orders,
// without waiting for running requests: the next owner finds their jobs in the
// runner's status. The returned channel is closed once no order is outstanding.
func (s *Steward) Yield() <-chan struct{} {
	go s.post(quiesceRequested{yield: true})
	return s.quiesced
}

// post sends m unless the steward is stopped.
func (s *Steward) post(m message) {
	_ = s.box.Send(s.lifetimeCtx, m)
}
