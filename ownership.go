package buckthorndyke

import "slices"

// Ownership records which entry VM may give orders to a runner.
type Ownership struct {
	// Address is the IP address and port of the runner's engine.
	Address string
	// ChecksFencingToken is set if the runner rejects orders with an outdated fencing
	// token.
	ChecksFencingToken bool
	Domain             DomainID
	// Epoch is the offset of the record that made Owner the owner. It is also the
	// fencing token of the owner's orders.
	Epoch       Offset
	Incarnation Incarnation
	MemoryMB    int
	// Owner is empty while no VM owns the runner.
	Owner VMID
	// PreviousOwner is the owner before a takeover, whose last order may still be
	// outstanding. It is empty if the runner was released.
	PreviousOwner VMID
	Runner        RunnerID
	Slots         int
	// Successors are the only VMs that may take over the runner, in order of
	// preference.
	Successors []VMID
}

// HasSuccessor reports whether vm may take over the runner.
func (o Ownership) HasSuccessor(vm VMID) bool {
	return slices.Contains(o.Successors, vm)
}

// OwnedBy reports whether the given incarnation of vm owns the runner.
func (o Ownership) OwnedBy(vm VMID, incarnation Incarnation) bool {
	return o.Owner == vm && o.Incarnation == incarnation
}

// WithEpoch returns a copy of o with the given epoch.
func (o Ownership) WithEpoch(epoch Offset) Ownership {
	o.Epoch = epoch
	return o
}

// WithOwner returns a copy of o owned by the given incarnation of vm.
func (o Ownership) WithOwner(vm VMID, incarnation Incarnation) Ownership {
	o.Owner = vm
	o.Incarnation = incarnation
	return o
}

// WithPreviousOwner returns a copy of o with vm as the previous owner.
func (o Ownership) WithPreviousOwner(vm VMID) Ownership {
	o.PreviousOwner = vm
	return o
}
