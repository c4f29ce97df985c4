package buckthorndyke

import "context"

// TicketRequest asks the steward of a runner for a slot in the runner's batch.
type TicketRequest struct {
	Caller CallerID
	// Deadline is the time left until the first token is due.
	Deadline    Millis
	Fingerprint Fingerprint
	MaxTokens   int
	Model       ModelID
	Rank        Rank
	Request     RequestID
	// Resumed is set if the caller has already received part of the response.
	Resumed bool
	Runner  RunnerID
	// Suspect is set if the request was in flight when a runner crashed.
	Suspect bool
}

// Kinds of ticket events.
const (
	// TicketQueued reports that the request waits.
	TicketQueued TicketEventKind = iota
	// TicketGranted allows the holder to start the job on the runner.
	TicketGranted
	// TicketRevoked withdraws the ticket. The holder must cancel the job.
	TicketRevoked
)

// TicketEventKind says what a ticket event reports.
type TicketEventKind uint8

// TicketEvent is a change of a ticket's status.
type TicketEvent struct {
	// Address is the address of the runner's engine. It is set on TicketGranted.
	Address string
	// Cold is set if the model was not loaded when the ticket was requested.
	Cold bool
	Kind TicketEventKind
	// Report is the runner's load at the time of the event.
	Report RunnerReport
}

// RunnerReport is a steward's summary of the load of its runner. It may be out of
// date and is only used as a hint.
type RunnerReport struct {
	// Busy is the number of granted tickets.
	Busy      int
	Epoch     Offset
	Residents []ModelID
	Runner    RunnerID
	Slots     int
	// Waiting is the number of queued requests by rank.
	Waiting [RankCount]int
}

// Outcomes of tickets.
const (
	// TicketDone means that the job ended normally or was canceled by the caller.
	TicketDone TicketOutcome = iota
	// TicketCrashed means that the runner failed during the job.
	TicketCrashed
)

// TicketOutcome says how the job of a ticket ended.
type TicketOutcome uint8

// Ticket is a request's place in a runner's queue and, once granted, a slot in its
// batch. It ends with Close, with the context that was passed to
// TicketIssuer.Ticket, or with a refusal.
type Ticket interface {
	// Close releases the place or slot.
	Close(outcome TicketOutcome)
	// Next returns the next event. A *RefusalError ends the ticket.
	Next(ctx context.Context) (TicketEvent, error)
}
