package arbiter

import (
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

// applyRelease gives up a runner, or passes it to the next owner in the same record.
// A release by the previous owner confirms that none of its orders is outstanding.
func applyRelease(s buckthorndyke.State, r record, c buckthorndyke.ReleaseChange) (buckthorndyke.State, string) {
	o, ok := s.Ownerships.Get(c.Runner)
	if ok && o.PreviousOwner != "" && r.proposal.Proposer == o.PreviousOwner && c.Epoch < o.Epoch {
		return s.WithOwnership(o.WithPreviousOwner("")), ""
	}
	if !ok || !r.proposedBy(o.Owner, o.Incarnation) {
		return s, reasonNotOwner
	}
	if o.Epoch != c.Epoch {
		return s, reasonBase
	}
	if c.NextOwner == "" {
		return s.WithOwnership(o.WithOwner("", 0).WithPreviousOwner("")), ""
	}
	next, ok := s.Members.Get(c.NextOwner)
	if !ok || next.Leaving || next.VM == o.Owner {
		return s, reasonNextOwner
	}
	o.Successors = without(o.Successors, next.VM)
	return s.WithOwnership(o.WithOwner(next.VM, next.Incarnation).WithPreviousOwner("").WithEpoch(r.offset)), ""
}

// applyTake makes the proposer the owner of a runner. While the current owner is a
// member, only its successors may take over the runner, or the owner itself may renew
// its ownership to name other successors.
func applyTake(s buckthorndyke.State, r record, c buckthorndyke.TakeChange) (buckthorndyke.State, string) {
	o := c.Ownership
	if o.Runner == "" {
		return s, reasonNoRunner
	}
	if !r.proposedBy(o.Owner, o.Incarnation) {
		return s, reasonProposer
	}
	if !mayOwn(s, o.Owner, o.Incarnation) {
		return s, reasonNoMember
	}
	have, _ := s.Ownerships.Get(o.Runner)
	if have.Epoch != c.Base {
		return s, reasonBase
	}
	renewed := have.OwnedBy(o.Owner, o.Incarnation)
	if isMember(s, have.Owner, have.Incarnation) && !renewed && !have.HasSuccessor(o.Owner) {
		return s, reasonNotSuccessor
	}
	previous := have.Owner
	if renewed {
		previous = have.PreviousOwner
	}
	o.Successors = without(o.Successors, o.Owner)
	return s.WithOwnership(o.WithPreviousOwner(previous).WithEpoch(r.offset)), ""
}

// without returns a copy of vms without vm.
func without(vms []buckthorndyke.VMID, vm buckthorndyke.VMID) []buckthorndyke.VMID {
	return slices.DeleteFunc(slices.Clone(vms), func(v buckthorndyke.VMID) bool { return v == vm })
}
