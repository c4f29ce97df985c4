package buckthorndyke

import "context"

// LoadRequest asks a LoadGate for a permit to load from the weight store.
type LoadRequest struct {
	Adapter bool
	Model   ModelID
	Rank    Rank
	Runner  RunnerID
}

// LoadPermit is the permission to load from the weight store. It ends with Close or
// with the context that was passed to AcquireLoad.
type LoadPermit interface {
	// Close releases the permit.
	Close()
}

// LoadGate limits the loads of all runners together to what the weight store
// allows.
type LoadGate interface {
	// AcquireLoad waits for a permit.
	AcquireLoad(ctx context.Context, r LoadRequest) (LoadPermit, error)
}
