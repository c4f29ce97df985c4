package arbiter

import "github.com/buckthorndyke/buckthorndyke"

// applyFreeSlot frees a withdrawn slot once the runner's owner has confirmed
// the eviction.
func applyFreeSlot(s buckthorndyke.State, r record, c buckthorndyke.FreeSlotChange) (buckthorndyke.State, string) {
	o, ok := s.Ownerships.Get(c.Runner)
	if !ok || !r.proposedBy(o.Owner, o.Incarnation) {
		return s, reasonNotOwner
	}
	if o.Epoch != c.Epoch {
		return s, reasonBase
	}
	placement, _ := s.Placements.Get(c.Model)
	slot, ok := placement.Slot(c.Runner)
	if !ok || !slot.Withdrawn {
		return s, reasonNoSlot
	}
	placement = placement.WithoutSlot(c.Runner).WithVersion(r.offset)
	if placement.SlotCount() == 0 && !s.Rules.Models.Has(c.Model) {
		return s.WithoutPlacement(c.Model), ""
	}
	return s.WithPlacement(placement), ""
}

// applyPermit permits a model on further runners, up to its replica maximum.
func applyPermit(s buckthorndyke.State, r record, c buckthorndyke.PermitChange) (buckthorndyke.State, string) {
	rule, ok := s.Rules.Models.Get(c.Model)
	if !ok {
		return s, reasonModelUnknown
	}
	if rule.IsAdapter() {
		return s, reasonAdapter
	}
	placement, _ := s.Placements.Get(c.Model)
	if placement.Version != c.Base {
		return s, reasonBase
	}
	placement.Model = c.Model
	for _, runner := range c.Runners {
		if !s.Ownerships.Has(runner) {
			return s, reasonNoRunner
		}
		placement = placement.WithSlot(buckthorndyke.ReplicaSlot{Runner: runner})
	}
	if len(c.Runners) == 0 {
		return s, reasonNoRunner
	}
	if placement.SlotCount() > rule.Replicas {
		return s, reasonMaximum
	}
	return s.WithPlacement(placement.WithVersion(r.offset)), ""
}

// applyWithdraw withdraws the permission of one runner. Its slot counts towards the
// replica maximum until it is freed.
func applyWithdraw(s buckthorndyke.State, r record, c buckthorndyke.WithdrawChange) (buckthorndyke.State, string) {
	placement, ok := s.Placements.Get(c.Model)
	if !ok || !placement.Permits(c.Runner) {
		return s, reasonNoSlot
	}
	if placement.Version != c.Base {
		return s, reasonBase
	}
	slot := buckthorndyke.ReplicaSlot{Runner: c.Runner, Withdrawn: true}
	return s.WithPlacement(placement.WithSlot(slot).WithVersion(r.offset)), ""
}
