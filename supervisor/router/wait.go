package router

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

// wait waits until the ticket is granted. It gives up if the owner is silent at
// first or is succeeded, since a paused owner does not break the ticket's stream.
func (a *attempt) wait(ctx context.Context) *setback {
	events := pump(ctx, a.ticket.Next)
	asked := a.clock.Now()
	heard := false
	for {
		select {
		case e := <-events:
			if e.err != nil {
				return setbackOfTicket(a.runner, e.err)
			}
			heard = true
			a.report(ctx, e.value.Report)
			switch e.value.Kind {
			case buckthorndyke.TicketGranted:
				a.engine = a.engines.At(e.value.Address)
				a.events = events
				return nil
			case buckthorndyke.TicketRevoked:
				return a.preempted()
			default:
			}
		case <-a.clock.After(watchInterval):
			if !heard && a.clock.Now()-asked >= silenceTimeout {
				return a.moved("the runner's owner is silent")
			}
			if k, err := a.know(ctx); err == nil && !k.owns(a.runner, a.epoch) {
				return a.moved("the runner's owner was succeeded")
			}
		case <-ctx.Done():
			return a.moved("the request ended")
		}
	}
}
