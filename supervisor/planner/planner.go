// Package planner proposes the placements of the models that are assigned to this VM.
package planner

import (
	"context"

	"golang.org/x/time/rate"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/placer"
)

// Defaults.
const (
	defaultInterval   = buckthorndyke.Second
	defaultFleetRate  = 90 // proposals per second of all members together
	defaultSettleTime = 5 * buckthorndyke.Minute
	firstBackoff      = buckthorndyke.Second
	maxBackoff        = buckthorndyke.Minute
	backoffFactor     = 2
)

// Planner is the task that proposes placements. It checks them at regular intervals.
type Planner struct {
	clock      buckthorndyke.Clock
	fleetRate  float64
	follower   buckthorndyke.Follower
	interval   buckthorndyke.Millis
	liveness   buckthorndyke.LivenessReporter
	proposer   buckthorndyke.Proposer
	results    *mailer.Mailbox[result]
	self       buckthorndyke.Self
	settleTime buckthorndyke.Millis
}

// Option configures a Planner.
type Option func(*Planner)

// WithInterval sets the time between checks of the placements.
func WithInterval(d buckthorndyke.Millis) Option {
	return func(p *Planner) { p.interval = d }
}

// WithLiveness sets the source of liveness information. Suspected members and runners
// that are not in the VM list are excluded from the assignment.
func WithLiveness(r buckthorndyke.LivenessReporter) Option {
	return func(p *Planner) { p.liveness = r }
}

// WithFleetRate limits the proposals per second of all members together. Each member
// gets an equal part of the rate, with a burst of at least one proposal.
func WithFleetRate(perSecond float64) Option {
	return func(p *Planner) { p.fleetRate = perSecond }
}

// WithSettleTime sets how long a better placement must exist before a permission moves.
func WithSettleTime(d buckthorndyke.Millis) Option {
	return func(p *Planner) { p.settleTime = d }
}

// New returns a planner for the VM self.
func New(
	follower buckthorndyke.Follower, proposer buckthorndyke.Proposer, self buckthorndyke.Self,
	clock buckthorndyke.Clock, opts ...Option,
) *Planner {
	p := &Planner{
		clock:      clock,
		fleetRate:  defaultFleetRate,
		follower:   follower,
		interval:   defaultInterval,
		proposer:   proposer,
		results:    mailer.NewMailbox[result](),
		self:       self,
		settleTime: defaultSettleTime,
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Serve implements suture.Service.
func (p *Planner) Serve(ctx context.Context) error {
	state := newTaskState(p.settleTime)
	limiter := rate.NewLimiter(rate.Inf, 1)
	updates := p.follower.Subscribe(ctx)
	var liveness <-chan buckthorndyke.Liveness
	if p.liveness != nil {
		liveness = p.liveness.Subscribe(ctx)
	}
	tick := p.clock.After(p.jitter())
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case state.update = <-updates:
		case state.liveness = <-liveness:
		case r := <-p.results.Receive():
			state.handleResult(r, p.clock.Now())
		case <-tick:
			tick = p.clock.After(p.interval)
			p.propose(ctx, state, limiter)
		}
	}
}

// String implements fmt.Stringer.
func (p *Planner) String() string { return "planner" }

// jitter returns the delay of the first check. It depends on the VM, so that the checks
// of the members are spread over one interval.
func (p *Planner) jitter() buckthorndyke.Millis {
	return buckthorndyke.Millis(placer.Score("planner", string(p.self.VM)) % uint64(p.interval))
}

// propose starts the proposals that are due, up to the rate limit.
func (p *Planner) propose(ctx context.Context, state *taskState, limiter *rate.Limiter) {
	now := p.clock.Now()
	if !state.mayPropose(p.self) {
		return
	}
	p.setLimit(limiter, state.update.State.Members.Len())
	state.updateAssignment(p.self.VM)
	for _, m := range state.assignment.Models {
		change, ok := state.nextChange(m, now)
		if !ok {
			continue
		}
		if !limiter.Allow() {
			return
		}
		state.markPending(m.Model)
		go func() {
			reply, err := p.proposer.Propose(ctx, change)
			accepted := err == nil && reply.Accepted
			_ = p.results.Send(ctx, result{accepted: accepted, model: m.Model, offset: reply.Offset})
		}()
	}
}

// setLimit sets the limiter to this member's part of the fleet rate.
func (p *Planner) setLimit(limiter *rate.Limiter, members int) {
	part := p.fleetRate / float64(max(members, 1))
	limiter.SetLimit(rate.Limit(part))
	limiter.SetBurst(max(1, int(part*p.interval.Duration().Seconds())))
}
