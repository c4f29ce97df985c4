package steward

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// message is a message to a steward's task.
type message interface {
	apply(t *task)
}

// Messages.
type (
	// freeSlotCompleted reports the result of a proposed FreeSlotChange.
	freeSlotCompleted struct {
		err    error
		model  buckthorndyke.ModelID
		result buckthorndyke.ProposalResult
	}

	// orderReplied reports the engine's reply to an order.
	orderReplied struct {
		err   error
		id    buckthorndyke.OrderID
		state buckthorndyke.OrderState
	}

	// permitReplied reports the load gate's reply.
	permitReplied struct {
		err    error
		number int
		permit buckthorndyke.LoadPermit
	}

	// quiesceRequested requests that the steward quiesces. If yield is set, it does
	// not wait for running requests.
	quiesceRequested struct {
		yield bool
	}

	// statusReplied reports the runner's status.
	statusReplied struct {
		askedAt buckthorndyke.Millis
		// call is the sequence number of the status call.
		call   int
		err    error
		status buckthorndyke.EngineStatus
	}

	// ticketClosed reports that the holder of a ticket has closed it.
	ticketClosed struct {
		id      buckthorndyke.TicketID
		outcome buckthorndyke.TicketOutcome
	}

	// ticketRequested requests a ticket.
	ticketRequested struct {
		ctx     context.Context
		reply   mailer.Reply[ticketReply]
		request buckthorndyke.TicketRequest
	}
)

// ticketReply is the reply to ticketRequested.
type ticketReply struct {
	err    error
	ticket buckthorndyke.Ticket
}

func (m freeSlotCompleted) apply(t *task) { t.completeFreeSlot(m) }
func (m orderReplied) apply(t *task)      { t.handleOrderReply(m) }
func (m permitReplied) apply(t *task)     { t.handlePermitReply(m) }
func (m quiesceRequested) apply(t *task)  { t.startQuiesce(m) }
func (m statusReplied) apply(t *task)     { t.handleStatusReply(m) }
func (m ticketClosed) apply(t *task)      { t.closeTicket(m) }
func (m ticketRequested) apply(t *task)   { t.handleTicketRequest(m) }
