package router

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/chooser"
)

// maxQuarantineAttempts limits the attempts to record a quarantine. At the maximum
// backoff they cover an outage of the log of more than an hour, during which this entry
// VM refuses the request based on its own crash count.
const maxQuarantineAttempts = 8192

// quarantineMessage asks for the control record that makes all entry VMs refuse a
// request.
type quarantineMessage struct {
	change buckthorndyke.QuarantineChange
}

func (m quarantineMessage) act(ctx context.Context, r *Router) {
	go r.proposeQuarantine(ctx, m.change)
}

func (m quarantineMessage) apply(st routerState) routerState {
	return st
}

// proposeQuarantine proposes change until the proposal gets a result.
func (r *Router) proposeQuarantine(ctx context.Context, change buckthorndyke.QuarantineChange) {
	for attempt := 1; attempt <= maxQuarantineAttempts; attempt++ {
		if _, err := r.proposer.Propose(ctx, change); err == nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-r.clock.After(chooser.Backoff(attempt, uint64(attempt))):
		}
	}
}
