package placer

import (
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

// PlacementDiff compares the placement of one model with the desired one.
type PlacementDiff struct {
	// Desired lists the runners that should have a replica slot, best first.
	Desired []buckthorndyke.RunnerID
	Model   buckthorndyke.ModelID
	// MoveAllowed is set once NeedsMove has held for long enough to move a slot.
	MoveAllowed bool
	Placement   buckthorndyke.Placement
	// Replicas is the maximum number of replicas, or 0 if the rules do not contain the
	// model.
	Replicas int
}

// NeedsMove reports whether a replica slot should move to a desired runner and no slot
// is already being withdrawn.
func (d PlacementDiff) NeedsMove() bool {
	_, ok := d.undesired()
	return ok && len(d.missing()) > 0 && d.pendingWithdrawals() == 0
}

// Next returns the next change to propose, or false if none is needed.
func (d PlacementDiff) Next() (buckthorndyke.Change, bool) {
	if len(d.Placement.Permitted()) > d.Replicas {
		return d.withdraw(d.leastPreferred()), true
	}
	free := d.Replicas - d.Placement.SlotCount()
	if missing := d.missing(); free > 0 && len(missing) > 0 {
		return buckthorndyke.PermitChange{
			Base:    d.Placement.Version,
			Model:   d.Model,
			Runners: missing[:min(free, len(missing))],
		}, true
	}
	if d.MoveAllowed && d.NeedsMove() {
		runner, _ := d.undesired()
		return d.withdraw(runner), true
	}
	return nil, false
}

// leastPreferred returns the permitted runner whose slot is withdrawn first: an
// undesired one, or the last one in Desired.
func (d PlacementDiff) leastPreferred() buckthorndyke.RunnerID {
	if runner, ok := d.undesired(); ok {
		return runner
	}
	permitted := d.Placement.Permitted()
	return slices.MaxFunc(permitted, func(a, b buckthorndyke.RunnerID) int {
		return slices.Index(d.Desired, a) - slices.Index(d.Desired, b)
	})
}

// missing returns the desired runners without a slot.
func (d PlacementDiff) missing() []buckthorndyke.RunnerID {
	var missing []buckthorndyke.RunnerID
	for _, r := range d.Desired {
		if _, ok := d.Placement.Slot(r); !ok {
			missing = append(missing, r)
		}
	}
	return missing
}

// pendingWithdrawals returns the number of withdrawn slots that are not free yet.
func (d PlacementDiff) pendingWithdrawals() int {
	return d.Placement.SlotCount() - len(d.Placement.Permitted())
}

// undesired returns a permitted runner that is not desired, or false if there is none.
func (d PlacementDiff) undesired() (buckthorndyke.RunnerID, bool) {
	for _, r := range d.Placement.Permitted() {
		if !slices.Contains(d.Desired, r) {
			return r, true
		}
	}
	return "", false
}

// withdraw returns the change that withdraws the slot of runner.
func (d PlacementDiff) withdraw(runner buckthorndyke.RunnerID) buckthorndyke.Change {
	return buckthorndyke.WithdrawChange{Base: d.Placement.Version, Model: d.Model, Runner: runner}
}
