package steward

import "github.com/buckthorndyke/buckthorndyke"

// View is what a steward knows from its owner. It is immutable.
type View struct {
	// Lease is the instant until which the owner may give orders to a runner
	// that ignores fencing numbers.
	LeaseEnd buckthorndyke.Millis
	// Leaving is set once the platform has announced that it reclaims the
	// runner's VM.
	Leaving   bool
	Ownership buckthorndyke.Ownership
	// PreviousGone is set once the previous owner's VM can send no more orders.
	PreviousGone bool
	State        buckthorndyke.State
	// Gone is set once the runner's VM is no longer listed.
	Unlisted bool
}

// largestOrderMB returns the memory of the largest load that a previous owner
// could have outstanding within free.
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

// mayOrder reports whether the owner may give orders at now.
func (v View) mayOrder(now buckthorndyke.Millis) bool {
	return v.Ownership.ChecksFencingToken || now < v.LeaseEnd
}

// permits reports whether model may be loaded on the runner.
func (v View) permits(model buckthorndyke.ModelID) bool {
	placement, ok := v.State.PlacementOf(model)
	return ok && placement.Permits(v.Ownership.Runner)
}

// withdrawn returns the models whose slot on the runner is withdrawn.
func (v View) withdrawn() []buckthorndyke.ModelID {
	var models []buckthorndyke.ModelID
	for model, placement := range v.State.Placements.All() {
		if s, ok := placement.Slot(v.Ownership.Runner); ok && s.Withdrawn {
			models = append(models, model)
		}
	}
	return models
}
