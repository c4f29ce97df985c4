// Package proposer appends proposals to the control stream and waits for their results.
package proposer

import (
	"context"

	"github.com/google/uuid"

	"github.com/buckthorndyke/buckthorndyke"
)

// Defaults.
const (
	// cancelGrace is how long a cancelled append may take to report whether it took
	// effect.
	cancelGrace          = 200 * buckthorndyke.Millisecond
	defaultAppendTimeout = 3 * buckthorndyke.Second
	defaultTimeout       = 20 * buckthorndyke.Second
	firstBackoff         = 100 * buckthorndyke.Millisecond
	maxBackoff           = 2 * buckthorndyke.Second
	backoffFactor        = 2
)

// Proposer implements buckthorndyke.Proposer. Calls of Propose share no mutable state.
type Proposer struct {
	appendTimeout buckthorndyke.Millis
	clock         buckthorndyke.Clock
	encoder       buckthorndyke.Encoder
	follower      buckthorndyke.Follower
	log           buckthorndyke.Log
	newID         func() buckthorndyke.ProposalID
	self          buckthorndyke.Self
	timeout       buckthorndyke.Millis
}

// Option configures a Proposer.
type Option func(*Proposer)

// WithAppendTimeout bounds the time of one append.
func WithAppendTimeout(d buckthorndyke.Millis) Option {
	return func(p *Proposer) { p.appendTimeout = d }
}

// WithIDs sets the function that generates the IDs of proposals.
func WithIDs(newID func() buckthorndyke.ProposalID) Option {
	return func(p *Proposer) { p.newID = newID }
}

// WithTimeout bounds the time of one call of Propose.
func WithTimeout(d buckthorndyke.Millis) Option {
	return func(p *Proposer) { p.timeout = d }
}

// New returns a proposer for the VM self.
func New(
	log buckthorndyke.Log, encoder buckthorndyke.Encoder, follower buckthorndyke.Follower,
	self buckthorndyke.Self, clock buckthorndyke.Clock, opts ...Option,
) *Proposer {
	p := &Proposer{
		appendTimeout: defaultAppendTimeout,
		clock:         clock,
		encoder:       encoder,
		follower:      follower,
		log:           log,
		newID:         func() buckthorndyke.ProposalID { return buckthorndyke.ProposalID(uuid.NewString()) },
		self:          self,
		timeout:       defaultTimeout,
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Propose implements buckthorndyke.Proposer.
func (p *Proposer) Propose(ctx context.Context, c buckthorndyke.Change) (buckthorndyke.ProposalResult, error) {
	id := p.newID()
	data, err := p.encoder.EncodeProposal(buckthorndyke.Proposal{
		Change: c, ID: id, Incarnation: p.self.Incarnation, Proposer: p.self.VM,
	})
	if err != nil {
		return buckthorndyke.ProposalResult{}, buckthorndyke.NewRefusal(buckthorndyke.CodeInternal, buckthorndyke.NotRun, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, p.timeout.Duration())
	defer cancel()
	if ctx.Err() != nil {
		return buckthorndyke.ProposalResult{}, noResultError(buckthorndyke.NotRun)
	}
	a := &attempt{
		appends:  make(chan appendResult, 1),
		backoff:  firstBackoff,
		data:     data,
		id:       id,
		proposer: p,
		updates:  p.follower.Subscribe(ctx),
		verdict:  buckthorndyke.NotRun,
	}
	return a.run(ctx)
}

// noResultError returns the error of a proposal whose result did not become known.
func noResultError(verdict buckthorndyke.Verdict) error {
	message := "the proposal was not appended to the log in time"
	if verdict != buckthorndyke.NotRun {
		message = "the result of the proposal is not known"
	}
	return buckthorndyke.NewRefusal(buckthorndyke.CodeLogUnavailable, verdict, message)
}
