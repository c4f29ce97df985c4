package router

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

// awaitGrant waits until the ticket is granted. It fails if the owner sends no event
// within firstEventTimeout or is replaced; a paused owner does not close the ticket's
// event stream, so waiting for an error is not enough.
func (a *attempt) awaitGrant(ctx context.Context) *failure {
	events := toChannel(ctx, a.ticket.Next)
	start := a.clock.Now()
	received := false
	for {
		select {
		case e := <-events:
			if e.err != nil {
				return newTicketFailure(a.runner, e.err)
			}
			received = true
			a.forwardReport(ctx, e.value.Report)
			switch e.value.Kind {
			case buckthorndyke.TicketGranted:
				a.engine = a.engines.At(e.value.Address)
				a.events = events
				return nil
			case buckthorndyke.TicketRevoked:
				return a.preempted()
			default:
			}
		case <-a.clock.After(ownerCheckInterval):
			if !received && a.clock.Now()-start >= firstEventTimeout {
				return a.ownerLost("the runner's owner did not respond")
			}
			if st, err := a.currentState(ctx); err == nil && !st.owns(a.runner, a.epoch) {
				return a.ownerLost("the runner's owner was replaced")
			}
		case <-ctx.Done():
			return a.ownerLost("the request has ended")
		}
	}
}
