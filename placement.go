package buckthorndyke

import "slices"

// ReplicaSlot is the permission for one runner to hold one model.
type ReplicaSlot struct {
	Runner RunnerID
	// Withdrawn is set once the permission is withdrawn. The slot still counts as a
	// replica until the runner's owner has confirmed that the model is unloaded.
	Withdrawn bool
}

// Placement is the set of runners that may hold a model.
type Placement struct {
	Model ModelID
	slots []ReplicaSlot
	// Version is the offset of the last record that changed the placement.
	Version Offset
}

// Permits reports whether runner may load the model.
func (p Placement) Permits(runner RunnerID) bool {
	s, ok := p.Slot(runner)
	return ok && !s.Withdrawn
}

// Permitted returns the runners that may load the model.
func (p Placement) Permitted() []RunnerID {
	var runners []RunnerID
	for _, s := range p.slots {
		if !s.Withdrawn {
			runners = append(runners, s.Runner)
		}
	}
	return runners
}

// Slot returns the slot of runner, or false if there is none.
func (p Placement) Slot(runner RunnerID) (ReplicaSlot, bool) {
	for _, s := range p.slots {
		if s.Runner == runner {
			return s, true
		}
	}
	return ReplicaSlot{}, false
}

// SlotCount returns the number of slots, which count against ModelRule.Replicas.
// Withdrawn slots are included.
func (p Placement) SlotCount() int { return len(p.slots) }

// Slots returns a copy of the slots, sorted by runner.
func (p Placement) Slots() []ReplicaSlot { return slices.Clone(p.slots) }

// WithSlot returns a copy of p with s, which replaces any slot of the same runner.
func (p Placement) WithSlot(s ReplicaSlot) Placement {
	p = p.WithoutSlot(s.Runner)
	at, _ := slices.BinarySearchFunc(p.slots, s.Runner, func(have ReplicaSlot, want RunnerID) int {
		switch {
		case have.Runner < want:
			return -1
		case have.Runner > want:
			return 1
		default:
			return 0
		}
	})
	p.slots = slices.Insert(p.slots, at, s)
	return p
}

// WithVersion returns a copy of p with version v.
func (p Placement) WithVersion(v Offset) Placement {
	p.Version = v
	return p
}

// WithoutSlot returns a copy of p without the slot of runner.
func (p Placement) WithoutSlot(runner RunnerID) Placement {
	next := make([]ReplicaSlot, 0, len(p.slots)+1)
	for _, s := range p.slots {
		if s.Runner != runner {
			next = append(next, s)
		}
	}
	p.slots = next
	return p
}
