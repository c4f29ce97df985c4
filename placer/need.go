package placer

import (
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

// Need compares the placement of one model with what it should be.
type PlacementDiff struct {
	// Desired are the runners that should be permitted, best first.
	Desired   []buckthorndyke.RunnerID
	Model     buckthorndyke.ModelID
	Placement buckthorndyke.Placement
	// Replicas is the replica maximum, or 0 if the rules do not hold the model.
	Replicas int
	// Settled is set once the need to move a permission has lasted long enough.
	MoveAllowed bool
}

// Moves reports whether a permission would move if the need were settled.
func (n PlacementDiff) NeedsMove() bool {
	_, ok := n.outlier()
	return ok && len(n.missing()) > 0 && n.pending() == 0
}

// Next returns the next change of the placement, or false if none is needed.
func (n PlacementDiff) Next() (buckthorndyke.Change, bool) {
	if len(n.Placement.Permitted()) > n.Replicas {
		return n.withdraw(n.worst()), true
	}
	free := n.Replicas - n.Placement.SlotCount()
	if missing := n.missing(); free > 0 && len(missing) > 0 {
		return buckthorndyke.PermitChange{
			Base:    n.Placement.Version,
			Model:   n.Model,
			Runners: missing[:min(free, len(missing))],
		}, true
	}
	if n.MoveAllowed && n.NeedsMove() {
		outlier, _ := n.outlier()
		return n.withdraw(outlier), true
	}
	return nil, false
}

// missing returns the desired runners that have no slot.
func (n PlacementDiff) missing() []buckthorndyke.RunnerID {
	var missing []buckthorndyke.RunnerID
	for _, r := range n.Desired {
		if _, ok := n.Placement.Slot(r); !ok {
			missing = append(missing, r)
		}
	}
	return missing
}

// outlier returns a permitted runner that is not desired.
func (n PlacementDiff) outlier() (buckthorndyke.RunnerID, bool) {
	for _, r := range n.Placement.Permitted() {
		if !slices.Contains(n.Desired, r) {
			return r, true
		}
	}
	return "", false
}

// pending returns the number of withdrawn slots that are not free yet.
func (n PlacementDiff) pending() int {
	return n.Placement.SlotCount() - len(n.Placement.Permitted())
}

// withdraw returns the change that withdraws the permission of runner.
func (n PlacementDiff) withdraw(runner buckthorndyke.RunnerID) buckthorndyke.Change {
	return buckthorndyke.WithdrawChange{Base: n.Placement.Version, Model: n.Model, Runner: runner}
}

// worst returns the permitted runner that is given up first.
func (n PlacementDiff) worst() buckthorndyke.RunnerID {
	if outlier, ok := n.outlier(); ok {
		return outlier
	}
	permitted := n.Placement.Permitted()
	return slices.MaxFunc(permitted, func(a, b buckthorndyke.RunnerID) int {
		return slices.Index(n.Desired, a) - slices.Index(n.Desired, b)
	})
}
