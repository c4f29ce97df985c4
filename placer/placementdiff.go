package placer

import (
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

// Need compares the placement of one model with what it should be.
type PlacementDiff struct {
	// Desired are the runners that should be permitted, best first.
	Desired []buckthorndyke.RunnerID
	Model   buckthorndyke.ModelID
	// Settled is set once the need to move a permission has lasted long enough.
	MoveAllowed bool
	Placement   buckthorndyke.Placement
	// Replicas is the replica maximum, or 0 if the rules do not hold the model.
	Replicas int
}

// Moves reports whether a permission would move if the need were settled.
func (d PlacementDiff) NeedsMove() bool {
	_, ok := d.undesired()
	return ok && len(d.missing()) > 0 && d.pendingWithdrawals() == 0
}

// Next returns the next change of the placement, or false if none is needed.
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

// worst returns the permitted runner that is given up first.
func (d PlacementDiff) leastPreferred() buckthorndyke.RunnerID {
	if runner, ok := d.undesired(); ok {
		return runner
	}
	permitted := d.Placement.Permitted()
	return slices.MaxFunc(permitted, func(a, b buckthorndyke.RunnerID) int {
		return slices.Index(d.Desired, a) - slices.Index(d.Desired, b)
	})
}

// missing returns the desired runners that have no slot.
func (d PlacementDiff) missing() []buckthorndyke.RunnerID {
	var missing []buckthorndyke.RunnerID
	for _, r := range d.Desired {
		if _, ok := d.Placement.Slot(r); !ok {
			missing = append(missing, r)
		}
	}
	return missing
}

// pending returns the number of withdrawn slots that are not free yet.
func (d PlacementDiff) pendingWithdrawals() int {
	return d.Placement.SlotCount() - len(d.Placement.Permitted())
}

// outlier returns a permitted runner that is not desired.
func (d PlacementDiff) undesired() (buckthorndyke.RunnerID, bool) {
	for _, r := range d.Placement.Permitted() {
		if !slices.Contains(d.Desired, r) {
			return r, true
		}
	}
	return "", false
}

// withdraw returns the change that withdraws the permission of runner.
func (d PlacementDiff) withdraw(runner buckthorndyke.RunnerID) buckthorndyke.Change {
	return buckthorndyke.WithdrawChange{Base: d.Placement.Version, Model: d.Model, Runner: runner}
}
