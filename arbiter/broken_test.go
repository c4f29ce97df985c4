package arbiter_test

import (
	"fmt"

	"github.com/buckthorndyke/buckthorndyke"
)

// applyWithoutIDs does not recognize a proposal that was appended twice.
func applyWithoutIDs() applyFunc {
	apply := correctApply()
	return func(
		s buckthorndyke.State, offset buckthorndyke.Offset, p buckthorndyke.Proposal,
	) (buckthorndyke.State, buckthorndyke.ProposalResult) {
		p.ID = buckthorndyke.ProposalID(fmt.Sprint(p.ID, "@", offset))
		return apply(s, offset, p)
	}
}

// applyWithHiddenState is not deterministic: the result depends on a counter that is
// not part of the state.
func applyWithHiddenState() applyFunc {
	apply := correctApply()
	calls := 0
	return func(
		s buckthorndyke.State, offset buckthorndyke.Offset, p buckthorndyke.Proposal,
	) (buckthorndyke.State, buckthorndyke.ProposalResult) {
		calls++
		if _, ok := p.Change.(buckthorndyke.RulesChange); ok && calls%2 == 0 {
			p.Change = buckthorndyke.UnknownChange{}
		}
		return apply(s, offset, p)
	}
}

// applyWithoutRulesBase accepts rules changes based on any version.
func applyWithoutRulesBase() applyFunc {
	apply := correctApply()
	return func(
		s buckthorndyke.State, offset buckthorndyke.Offset, p buckthorndyke.Proposal,
	) (buckthorndyke.State, buckthorndyke.ProposalResult) {
		if c, ok := p.Change.(buckthorndyke.RulesChange); ok {
			c.Base = s.RulesVersion
			p.Change = c
		}
		return apply(s, offset, p)
	}
}

// applyWithEarlyFree frees a slot as soon as its permission is withdrawn, before the
// eviction is confirmed.
func applyWithEarlyFree() applyFunc {
	apply := correctApply()
	return func(
		s buckthorndyke.State, offset buckthorndyke.Offset, p buckthorndyke.Proposal,
	) (buckthorndyke.State, buckthorndyke.ProposalResult) {
		s, r := apply(s, offset, p)
		if c, ok := p.Change.(buckthorndyke.WithdrawChange); ok && r.Accepted {
			placement, _ := s.Placements.Get(c.Model)
			s = s.WithPlacement(placement.WithoutSlot(c.Runner))
		}
		return s, r
	}
}

// applyWithOldEpoch does not raise the epoch on a takeover.
func applyWithOldEpoch() applyFunc {
	apply := correctApply()
	return func(
		s buckthorndyke.State, offset buckthorndyke.Offset, p buckthorndyke.Proposal,
	) (buckthorndyke.State, buckthorndyke.ProposalResult) {
		s, r := apply(s, offset, p)
		if c, ok := p.Change.(buckthorndyke.TakeChange); ok && r.Accepted && c.Base > 0 {
			o, _ := s.Ownerships.Get(c.Ownership.Runner)
			s = s.WithOwnership(o.WithEpoch(c.Base))
		}
		return s, r
	}
}

// applyWithoutOwner lets any member take over a runner.
func applyWithoutOwner() applyFunc {
	apply := correctApply()
	return func(
		s buckthorndyke.State, offset buckthorndyke.Offset, p buckthorndyke.Proposal,
	) (buckthorndyke.State, buckthorndyke.ProposalResult) {
		if c, ok := p.Change.(buckthorndyke.TakeChange); ok && s.Ownerships.Has(c.Ownership.Runner) {
			o, _ := s.Ownerships.Get(c.Ownership.Runner)
			s = s.WithOwnership(o.WithOwner("", 0))
		}
		return apply(s, offset, p)
	}
}
