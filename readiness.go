package buckthorndyke

import "context"

// Readiness says whether a process can take callers' requests.
type Readiness interface {
	// Ready returns nil, or a *RefusalError that gives the reason.
	Ready(ctx context.Context) error
}
