package buckthorndyke

import "context"

// Term is the outcome of a VM's campaign in an election: whether the platform has
// granted it leadership, and until when.
type Term struct {
	// FencingToken increases with each change of the leader.
	FencingToken int64
	// Leading is set if this VM is the leader.
	Leading bool
	// Position is the position of the record that gives this VM the lead. It is the fencing
	// token at first and increases with each renewal, so that the difference of two positions
	// bounds for how long the lead was held between them.
	Position int64
	// PreviousLeader is the peer address of the leader before this VM, or empty if
	// no other VM has led.
	PreviousLeader string
	// PreviousSince is the position from which on the leader before this term renewed its
	// grant before it expired, or 0 if unknown.
	PreviousSince int64
	// PreviousUncertain is set if the platform has lost who led last: a VM other than
	// PreviousLeader may have led until just before this one.
	PreviousUncertain bool
	// Until is the instant at which the grant expires.
	Until Millis
}

// Election elects one leader among the entry VMs.
type Election interface {
	// Campaign renews the VM's grant, or takes the lead if no other VM holds one.
	// Another leader's grant counts as expired only if it was read twice without a
	// renewal in between, at least the duration of a grant apart.
	Campaign(ctx context.Context) (Term, error)
	// Leader returns the peer address of the leader, or false if there is none.
	Leader(ctx context.Context) (address string, ok bool, err error)
	// Resign gives the grant back.
	Resign(ctx context.Context) error
}
