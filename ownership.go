package buckthorndyke

import "slices"

// Ownership says which entry VM gives orders to a runner.
type Ownership struct {
	// Address is the IP address and port of the runner's engine.
	Address string
	// ChecksFencingToken is set if the runner refuses orders with an old fencing number.
	ChecksFencingToken bool
	Domain             DomainID
	// Epoch is the offset of the record that made Owner the owner, and the
	// fencing number of its orders.
	Epoch       Offset
	Incarnation Incarnation
	MemoryMB    int
	// Owner is empty while nobody owns the runner.
	Owner VMID
	// PreviousOwner is the owner before a takeover, whose last order may still be
	// outstanding. It is empty after a release.
	PreviousOwner VMID
	Runner        RunnerID
	Slots         int
	// Successors are the only VMs that may take the runner over, best first.
	Successors []VMID
}

// HasSuccessor reports whether vm may take the runner over.
func (o Ownership) HasSuccessor(vm VMID) bool {
	return slices.Contains(o.Successors, vm)
}

// OwnedBy reports whether the given life of vm owns the runner.
func (o Ownership) OwnedBy(vm VMID, incarnation Incarnation) bool {
	return o.Owner == vm && o.Incarnation == incarnation
}

// WithEpoch returns a copy of o with another epoch.
func (o Ownership) WithEpoch(epoch Offset) Ownership {
	o.Epoch = epoch
	return o
}

// WithOwner returns a copy of o that the given life of vm owns.
func (o Ownership) WithOwner(vm VMID, incarnation Incarnation) Ownership {
	o.Owner = vm
	o.Incarnation = incarnation
	return o
}

// WithPreviousOwner returns a copy of o with another previous owner.
func (o Ownership) WithPreviousOwner(vm VMID) Ownership {
	o.PreviousOwner = vm
	return o
}
