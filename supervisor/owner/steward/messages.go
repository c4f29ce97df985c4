package steward

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// message is sent to a steward's task.
type message interface {
	apply(t *task)
}

// Messages.
type (
	// freeSettled reports how a FreeSlotChange was ruled on.
	freeSlotCompleted struct {
		err    error
		model  buckthorndyke.ModelID
		result buckthorndyke.ProposalResult
	}

	// orderAnswered reports the answer to an order.
	orderReplied struct {
		err   error
		id    buckthorndyke.OrderID
		state buckthorndyke.OrderState
	}

	// permitAnswered reports the load gate's answer.
	permitReplied struct {
		err    error
		number int
		permit buckthorndyke.LoadPermit
	}

	// quiesce asks for an orderly end, with yield without waiting for requests.
	quiesceRequested struct {
		yield bool
	}

	// statusAnswered reports the runner's status.
	statusReplied struct {
		askedAt buckthorndyke.Millis
		// call is the number of the status call.
		call   int
		err    error
		status buckthorndyke.EngineStatus
	}

	// ticketClosed gives a ticket back.
	ticketClosed struct {
		id      buckthorndyke.TicketID
		outcome buckthorndyke.TicketOutcome
	}

	// ticketAsked asks for a ticket.
	ticketRequested struct {
		ctx     context.Context
		reply   mailer.Reply[ticketReply]
		request buckthorndyke.TicketRequest
	}
)

// ticketAnswer is the answer to ticketAsked.
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
