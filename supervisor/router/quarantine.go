package router

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/chooser"
)

// quarantineTries bounds the tries to record a quarantine. At the longest
// backoff they cover more than an hour without the log; meanwhile this entry VM
// refuses the request by its own count.
const maxQuarantineAttempts = 8192

// quarantineMessage asks for the record that stops a request everywhere.
type quarantineMessage struct {
	change buckthorndyke.QuarantineChange
}

func (m quarantineMessage) act(ctx context.Context, r *Router) {
	go r.proposeQuarantine(ctx, m.change)
}

func (m quarantineMessage) apply(st routerState) routerState {
	return st
}

// quarantine proposes change until it is ruled on.
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
