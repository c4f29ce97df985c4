// Package steward owns one runner: it alone keeps the runner's queue and memory
// account, and it alone gives the runner orders.
package steward

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/evictor"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/scheduler"
)

const (
	// DefaultLease is how long an owner may give orders after it last knew that it
	// is the owner.
	DefaultLease = 10 * buckthorndyke.Second
	// DefaultDriftPermille bounds how much faster one machine's clock runs than
	// another's.
	DefaultDriftPermille = 20
)

// Steward is the task that owns one runner.
type Steward struct {
	admission buckthorndyke.AdmissionPolicy
	box       *mailer.Mailbox[message]
	clock     buckthorndyke.Clock
	// drift is in parts of a thousand.
	drift  int
	end    context.CancelFunc
	engine buckthorndyke.Engine
	gate   buckthorndyke.LoadGate
	// idle is closed once the steward has ended without an outstanding order.
	idle     chan struct{}
	keepWarm buckthorndyke.KeepWarmPolicy
	lease    buckthorndyke.Millis
	// life ends with the steward. Messages to it are given up then.
	life     context.Context
	newOrder func() buckthorndyke.OrderID
	proposer buckthorndyke.Proposer
	quiesced chan struct{}
	// runs counts the runs of Serve. Only their goroutine touches it.
	runs      int
	statusLag buckthorndyke.Millis
	// taken is the instant at which the owner has learned that it is the owner.
	taken buckthorndyke.Millis
	view  View
	// views holds the newest view that the task has not received yet.
	views chan View
}

// Option configures a Steward.
type Option func(*Steward)

// WithAdmission decides by p which requests start.
func WithAdmission(p buckthorndyke.AdmissionPolicy) Option {
	return func(s *Steward) { s.admission = p }
}

// WithDrift bounds how much faster one machine's clock runs than another's, in
// parts of a thousand.
func WithDrift(permille int) Option {
	return func(s *Steward) { s.drift = permille }
}

// WithKeepWarm decides by p how long idle models stay loaded.
func WithKeepWarm(p buckthorndyke.KeepWarmPolicy) Option {
	return func(s *Steward) { s.keepWarm = p }
}

// WithLease sets how long a previous owner may give orders.
func WithLease(d buckthorndyke.Millis) Option {
	return func(s *Steward) { s.lease = d }
}

// WithOrderIDs sets the source of order ids, which must never repeat.
func WithOrderIDs(next func() buckthorndyke.OrderID) Option {
	return func(s *Steward) { s.newOrder = next }
}

// WithStatusLag bounds how far a runner's report lags behind the truth.
func WithStatusLag(d buckthorndyke.Millis) Option {
	return func(s *Steward) { s.statusLag = d }
}

// New returns a steward of the runner that view describes.
func New(
	view View, engine buckthorndyke.Engine, gate buckthorndyke.LoadGate, proposer buckthorndyke.Proposer,
	clock buckthorndyke.Clock, opts ...Option,
) *Steward {
	life, end := context.WithCancel(context.Background())
	s := &Steward{
		admission: scheduler.NewFairShareScheduler(),
		box:       mailer.NewMailbox[message](),
		clock:     clock,
		drift:     DefaultDriftPermille,
		end:       end,
		engine:    engine,
		gate:      gate,
		idle:      make(chan struct{}),
		keepWarm:  evictor.NewAdaptiveKeepWarm(evictor.DefaultColdStartWeight),
		lease:     DefaultLease,
		life:      life,
		newOrder:  newOrderID,
		proposer:  proposer,
		quiesced:  make(chan struct{}),
		statusLag: defaultStatusLag,
		taken:     clock.Now(),
		view:      view,
		views:     make(chan View, 1),
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Idle returns a channel that is closed once the steward has ended and none of
// its orders is outstanding. It stays open if that is not certain.
func (s *Steward) Idle() <-chan struct{} {
	return s.idle
}

// Quiesce makes the steward take no more requests and finish those that it has.
// The channel that it returns is closed once that is done.
func (s *Steward) Quiesce() <-chan struct{} {
	go s.post(quiesce{})
	return s.quiesced
}

// Yield makes the steward refuse the requests that wait and give no more orders,
// without waiting for those that run: the next owner finds their jobs in the
// runner's status. The channel that it returns is closed once no order is
// outstanding.
func (s *Steward) Yield() <-chan struct{} {
	go s.post(quiesce{yield: true})
	return s.quiesced
}

// Serve implements suture.Service. When it ends, each waiting request is
// refused as not run.
func (s *Steward) Serve(ctx context.Context) error {
	s.runs++
	t := newTask(s)
	defer t.end(ctx)
	return t.run(ctx)
}

// Stop makes the steward refuse all requests. It is called once the runner has
// another owner.
func (s *Steward) Stop() {
	s.end()
}

// Ticket implements buckthorndyke.TicketIssuer. The ticket ends with ctx.
func (s *Steward) Ticket(ctx context.Context, r buckthorndyke.TicketRequest) (buckthorndyke.Ticket, error) {
	asking, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(s.life, func() { cancel(errNotOwner) })
	defer stop()
	answer, err := mailer.Ask(asking, s.box, func(reply mailer.Reply[ticketAnswer]) message {
		return ticketAsked{ctx: ctx, reply: reply, request: r}
	})
	if err != nil {
		return nil, err
	}
	return answer.ticket, answer.err
}

// Update tells the steward what its owner knows now. Only one task calls it.
func (s *Steward) Update(v View) {
	select {
	case <-s.views:
	default:
	}
	s.views <- v
}

// post sends m unless the steward ends.
func (s *Steward) post(m message) {
	_ = s.box.Send(s.life, m)
}
