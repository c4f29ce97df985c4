package buckthorndyke

import "context"

// LoadRequest asks the load gate for leave to load from the weight store.
type LoadRequest struct {
	Adapter bool
	Model   ModelID
	Rank    Rank
	Runner  RunnerID
}

// LoadPermit is leave to load from the weight store. It ends with Close or with
// the context that it was asked for with.
type LoadPermit interface {
	// Close gives the permit back.
	Close()
}

// LoadGate keeps all runners' loads together within the weight store's limits.
type LoadGate interface {
	// AcquireLoad waits for leave to load.
	AcquireLoad(ctx context.Context, r LoadRequest) (LoadPermit, error)
}
