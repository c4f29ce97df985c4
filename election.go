package buckthorndyke

import "context"

// Term is a VM's standing in an election, as the platform granted it.
type Term struct {
	// FencingToken rises with each change of the leader.
	FencingToken int64
	// Leading is set if this VM is the leader.
	Leading bool
	// PreviousLeader is where the leader before this VM answers its peers, or empty if no
	// other VM has led.
	PreviousLeader string
	// Until is the instant at which the grant ends.
	Until Millis
}

// Election chooses one leader among the VMs.
type Election interface {
	// Campaign renews the VM's grant, or takes the lead if no other VM holds a grant.
	// That of a leader that is not renewed is known to have ended only once it was
	// seen twice, a grant's time apart.
	Campaign(ctx context.Context) (Term, error)
	// Leader returns where the leader answers its peers, or false if there is
	// none.
	Leader(ctx context.Context) (address string, ok bool, err error)
	// Resign gives the grant back.
	Resign(ctx context.Context) error
}
