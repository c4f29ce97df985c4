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
	freeSettled struct {
		err    error
		model  buckthorndyke.ModelID
		ruling buckthorndyke.ProposalResult
	}

	// orderAnswered reports the answer to an order.
	orderAnswered struct {
		err   error
		id    buckthorndyke.OrderID
		state buckthorndyke.OrderState
	}

	// permitAnswered reports the load gate's answer.
	permitAnswered struct {
		err    error
		number int
		permit buckthorndyke.LoadPermit
	}

	// quiesce asks for an orderly end, with yield without waiting for requests.
	quiesce struct {
		yield bool
	}

	// statusAnswered reports the runner's status.
	statusAnswered struct {
		asked buckthorndyke.Millis
		// call is the number of the status call.
		call   int
		err    error
		status buckthorndyke.EngineStatus
	}

	// ticketAsked asks for a ticket.
	ticketAsked struct {
		ctx     context.Context
		reply   mailer.Reply[ticketAnswer]
		request buckthorndyke.TicketRequest
	}

	// ticketClosed gives a ticket back.
	ticketClosed struct {
		id      buckthorndyke.TicketID
		outcome buckthorndyke.TicketOutcome
	}
)

// ticketAnswer is the answer to ticketAsked.
type ticketAnswer struct {
	err    error
	ticket buckthorndyke.Ticket
}

func (m freeSettled) apply(t *task)    { t.settleFree(m) }
func (m orderAnswered) apply(t *task)  { t.answerOrder(m) }
func (m permitAnswered) apply(t *task) { t.answerPermit(m) }
func (m quiesce) apply(t *task)        { t.quiesce(m) }
func (m statusAnswered) apply(t *task) { t.answerStatus(m) }
func (m ticketAsked) apply(t *task)    { t.askTicket(m) }
func (m ticketClosed) apply(t *task)   { t.closeTicket(m) }
