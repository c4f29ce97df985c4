// Package arbiter folds proposals into State. It is pure: every process that
// folds the same records reaches the same rulings.
package arbiter

import "github.com/buckthorndyke/buckthorndyke"

// Limits of what a state keeps.
const (
	defaultAuditLimit      = 512
	defaultQuarantineLimit = 1024
	defaultResultLimit     = 4096
	// differenceLimit bounds the lines that an audit entry keeps.
	diffLineLimit = 100
)

// Difference lists the lines that a new text adds ("+") to an old one or
// removes ("-") from it.
type DiffFunc func(before, after string) []string

// Arbiter rules on proposals.
type Arbiter struct {
	auditLimit      int
	diff            DiffFunc
	parser          buckthorndyke.RulesParser
	quarantineLimit int
	resultLimit     int
}

// Option configures an Arbiter.
type Option func(*Arbiter)

// WithAuditLimit keeps the newest n audit entries.
func WithAuditLimit(n int) Option {
	return func(a *Arbiter) { a.auditLimit = n }
}

// WithDifference fills the audit entries' differences by d.
func WithDiff(d DiffFunc) Option {
	return func(a *Arbiter) { a.diff = d }
}

// WithRulingLimit recognizes duplicates among the newest n rulings.
func WithResultLimit(n int) Option {
	return func(a *Arbiter) { a.resultLimit = n }
}

// New returns an arbiter that reads rules by parser. All processes must be given
// the same options.
func New(parser buckthorndyke.RulesParser, opts ...Option) *Arbiter {
	a := &Arbiter{
		auditLimit:      defaultAuditLimit,
		diff:            func(string, string) []string { return nil },
		parser:          parser,
		quarantineLimit: defaultQuarantineLimit,
		resultLimit:     defaultResultLimit,
	}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Fold rules on the proposal in the record at offset, which the log service
// appended at the wall time at, and returns the state after it. A record at or
// before the state's offset changes nothing.
func (a *Arbiter) Apply(
	s buckthorndyke.State, offset buckthorndyke.Offset, at buckthorndyke.Millis, p buckthorndyke.Proposal,
) (buckthorndyke.State, buckthorndyke.ProposalResult) {
	if offset <= s.Offset {
		result, _ := s.ProposalResults.Get(p.ID)
		return s, result
	}
	if result, ok := s.ProposalResults.Get(p.ID); ok {
		return s.WithOffset(offset), result
	}
	if _, ok := p.Change.(buckthorndyke.UnknownChange); ok {
		result := buckthorndyke.ProposalResult{ID: p.ID, Offset: offset, Reason: reasonUnknown}
		return s.WithUnknownRecord().WithOffset(offset), result
	}
	next, reason := a.applyChange(s, record{at: at, offset: offset, proposal: p})
	result := buckthorndyke.ProposalResult{Accepted: reason == "", ID: p.ID, Offset: offset, Reason: reason}
	return next.WithProposalResult(result, a.resultLimit).WithOffset(offset), result
}

// apply returns the state that the record makes and, if it is rejected, why.
func (a *Arbiter) applyChange(s buckthorndyke.State, r record) (buckthorndyke.State, string) {
	if r.proposal.ID == "" {
		return s, reasonNoID
	}
	switch c := r.proposal.Change.(type) {
	case buckthorndyke.CheckpointChange:
		return applyCheckpoint(s, r, c)
	case buckthorndyke.FreeSlotChange:
		return applyFreeSlot(s, r, c)
	case buckthorndyke.JoinChange:
		return applyJoin(s, r, c)
	case buckthorndyke.LeaveChange:
		return applyLeave(s, r, c)
	case buckthorndyke.PermitChange:
		return applyPermit(s, r, c)
	case buckthorndyke.QuarantineChange:
		return a.applyQuarantine(s, r, c)
	case buckthorndyke.ReleaseChange:
		return applyRelease(s, r, c)
	case buckthorndyke.RulesChange:
		return a.applyRules(s, r, c)
	case buckthorndyke.TakeChange:
		return applyTake(s, r, c)
	case buckthorndyke.WithdrawChange:
		return applyWithdraw(s, r, c)
	default:
		return s, reasonUnknown
	}
}

// applyCheckpoint changes nothing: a follower that folds the record already
// holds the state in it. One that starts from the checkpoint begins with its
// state and folds on from there.
func applyCheckpoint(
	s buckthorndyke.State, r record, c buckthorndyke.CheckpointChange,
) (buckthorndyke.State, string) {
	if c.State.Offset >= r.offset {
		return s, reasonFuture
	}
	return s, ""
}

// record is a proposal with its place in the stream.
type record struct {
	at       buckthorndyke.Millis
	offset   buckthorndyke.Offset
	proposal buckthorndyke.Proposal
}

// by reports whether the given life of vm proposed the record.
func (r record) proposedBy(vm buckthorndyke.VMID, incarnation buckthorndyke.Incarnation) bool {
	return r.proposal.Proposer == vm && r.proposal.Incarnation == incarnation
}
