package buckthorndyke

import "context"

// TicketRequest asks a runner's steward for a place in the runner's batch.
type TicketRequest struct {
	Caller CallerID
	// Deadline is the time that is left until the first token is due.
	Deadline    Millis
	Fingerprint Fingerprint
	MaxTokens   int
	Model       ModelID
	Rank        Rank
	Request     RequestID
	// Resumed is set if the caller already has a part of the answer.
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
	// TicketRevoked takes the ticket back; the holder cancels the job.
	TicketRevoked
)

// TicketEventKind says what a ticket event reports.
type TicketEventKind uint8

// TicketEvent is a change of a ticket's standing.
type TicketEvent struct {
	// Address is where the runner's engine serves, once granted.
	Address string
	// Cold is set if the model was not loaded when the ticket was asked for.
	Cold bool
	Kind TicketEventKind
	// Report is the runner's load at the time of the event.
	Report RunnerReport
}

// RunnerReport is a steward's summary of its runner, used as a hint.
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
	// TicketDone means that the job ended by itself or by the caller.
	TicketDone TicketOutcome = iota
	// TicketCrashed means that the runner broke off the job.
	TicketCrashed
)

// TicketOutcome says how the work under a ticket ended.
type TicketOutcome uint8

// Ticket is a place in a runner's queue and later in its batch. It ends with
// Close, with the context that it was asked for with, or with a refusal.
type Ticket interface {
	// Close gives the place back.
	Close(outcome TicketOutcome)
	// Next returns the next event. A *RefusalError ends the ticket.
	Next(ctx context.Context) (TicketEvent, error)
}
