package steward

import "github.com/buckthorndyke/buckthorndyke"

// View is the information that a steward gets from its owner. It is immutable.
type View struct {
	// LeaseEnd is the time until which the owner may send orders to a runner that
	// ignores fencing tokens.
	LeaseEnd buckthorndyke.Millis
	// Leaving is set once the platform has announced that it will reclaim the runner's
	// VM.
	Leaving   bool
	Ownership buckthorndyke.Ownership
	// PreviousGone is set once the previous owner can send no more orders.
	PreviousGone bool
	State        buckthorndyke.State
	// Unlisted is set once the runner's VM is no longer on the platform's list.
	Unlisted bool
}

// largestOrderMB returns the memory of the largest load that a previous owner could
// have outstanding: that of a model with a replica slot on the runner that is not
// loaded and fits into the free memory.
func (v View) largestOrderMB(a memoryAccount) int {
	largest := 0
	free := a.freeMB()
	for _, rule := range v.State.Rules.Models.All() {
		if rule.MemoryMB <= largest || rule.MemoryMB > free || a.isPresent(rule.ID) {
			continue
		}
		placement, _ := v.State.Placements.Get(rule.PlacementModel())
		if _, ok := placement.Slot(v.Ownership.Runner); ok {
			largest = rule.MemoryMB
		}
	}
	return largest
}

// mayOrder reports whether the owner may send orders at now.
func (v View) mayOrder(now buckthorndyke.Millis) bool {
	return v.Ownership.ChecksFencingToken || now < v.LeaseEnd
}

// permits reports whether model may be loaded on the runner.
func (v View) permits(model buckthorndyke.ModelID) bool {
	placement, ok := v.State.PlacementOf(model)
	return ok && placement.Permits(v.Ownership.Runner)
}

// withdrawn returns the models whose replica slot on the runner is withdrawn.
func (v View) withdrawn() []buckthorndyke.ModelID {
	var models []buckthorndyke.ModelID
	for model, placement := range v.State.Placements.All() {
		if s, ok := placement.Slot(v.Ownership.Runner); ok && s.Withdrawn {
			models = append(models, model)
		}
	}
	return models
}
