// Package arbiter accepts or rejects proposals and applies them to State. It is
// deterministic: every process that applies the same records reaches the same state
// and results.
package arbiter

import "github.com/buckthorndyke/buckthorndyke"

// Limits of what a state retains.
const (
	defaultAuditLimit      = 512
	defaultQuarantineLimit = 1024
	defaultResultLimit     = 4096
	// diffLineLimit bounds the lines of the diff in an audit entry.
	diffLineLimit = 100
)

// DiffFunc returns the lines that after adds to before (prefix "+") or removes from
// it (prefix "-").
type DiffFunc func(before, after string) []string

// Arbiter applies proposals to State. It holds only options and is immutable.
type Arbiter struct {
	auditLimit      int
	diff            DiffFunc
	parser          buckthorndyke.RulesParser
	quarantineLimit int
	resultLimit     int
}

// Option configures an Arbiter.
type Option func(*Arbiter)

// WithAuditLimit limits the audit log to the newest n entries.
func WithAuditLimit(n int) Option {
	return func(a *Arbiter) { a.auditLimit = n }
}

// WithDiff sets the function that computes the diffs in audit entries. By default
// they are empty.
func WithDiff(d DiffFunc) Option {
	return func(a *Arbiter) { a.diff = d }
}

// WithResultLimit retains the newest n proposal results. A proposal that was appended
// twice is recognized while its result is retained.
func WithResultLimit(n int) Option {
	return func(a *Arbiter) { a.resultLimit = n }
}

// New returns an arbiter that parses the text of rules with parser. All processes
// must use the same options, or their states diverge.
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

// Apply applies the proposal in the record at offset and returns the next state and
// the proposal's result. at is the time at which the log service appended the record.
// A record at or before the state's offset, or whose proposal already has a result,
// is not applied again; the retained result is returned.
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

// applyChange returns the next state and the reason for a rejection, or "" if the
// change is accepted.
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

// applyCheckpoint leaves the state unchanged: a follower that applies the record
// already has the state in it. A follower that starts from the checkpoint takes over
// that state and applies the records after it.
func applyCheckpoint(
	s buckthorndyke.State, r record, c buckthorndyke.CheckpointChange,
) (buckthorndyke.State, string) {
	if c.State.Offset >= r.offset {
		return s, reasonFuture
	}
	return s, ""
}

// record is a proposal with its offset and time in the stream.
type record struct {
	at       buckthorndyke.Millis
	offset   buckthorndyke.Offset
	proposal buckthorndyke.Proposal
}

// proposedBy reports whether the given incarnation of vm proposed the change.
func (r record) proposedBy(vm buckthorndyke.VMID, incarnation buckthorndyke.Incarnation) bool {
	return r.proposal.Proposer == vm && r.proposal.Incarnation == incarnation
}
