package steward

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

// eventBufferSize exceeds the number of events that one ticket can have.
const eventBufferSize = 8

// Refusals of tickets.
var (
	errDraining = buckthorndyke.NewRefusal(buckthorndyke.CodeDraining, buckthorndyke.NotRun, "the runner's owner is draining")
	errEngine   = buckthorndyke.NewRefusal(buckthorndyke.CodeEngineFailed, buckthorndyke.MayHaveRun, "the runner's engine has crashed")
	errExpired  = buckthorndyke.NewRefusal(buckthorndyke.CodeDeadline, buckthorndyke.NotRun, "the request waited until its deadline")
	errLost     = buckthorndyke.NewRefusal(buckthorndyke.CodeNotOwner, buckthorndyke.MayHaveRun, "the runner has another owner")
	errNotOwner = buckthorndyke.NewRefusal(buckthorndyke.CodeNotOwner, buckthorndyke.NotRun, "this VM does not own the runner")
	errRunner   = buckthorndyke.NewRefusal(buckthorndyke.CodeRunnerUnavailable, buckthorndyke.NotRun, "the runner is leaving or does not respond")
	errUnplaced = buckthorndyke.NewRefusal(buckthorndyke.CodeRunnerUnavailable, buckthorndyke.NotRun, "the model is not permitted on the runner")
)

// eventOrError is an event of a ticket, or the error that ends it.
type eventOrError struct {
	err   error
	event buckthorndyke.TicketEvent
}

// ticket is a ticket as its holder sees it.
type ticket struct {
	events  chan eventOrError
	id      buckthorndyke.TicketID
	steward *Steward
}

// Close implements buckthorndyke.Ticket.
func (k *ticket) Close(outcome buckthorndyke.TicketOutcome) {
	m := ticketClosed{id: k.id, outcome: outcome}
	if !k.steward.box.TrySend(m) {
		go k.steward.post(m)
	}
}

// Next implements buckthorndyke.Ticket.
func (k *ticket) Next(ctx context.Context) (buckthorndyke.TicketEvent, error) {
	select {
	case e := <-k.events:
		return e.event, e.err
	case <-ctx.Done():
		return buckthorndyke.TicketEvent{}, context.Cause(ctx)
	}
}

// ticketState is the steward's state of a ticket.
type ticketState struct {
	cold   bool
	events chan<- eventOrError
	// request is the request that the ticket was requested for.
	request buckthorndyke.RequestID
	// stopWatch ends the watch on the holder's context.
	stopWatch func() bool
}

// send queues e for the holder without blocking.
func (s ticketState) send(e eventOrError) {
	select {
	case s.events <- e:
	default:
	}
}
