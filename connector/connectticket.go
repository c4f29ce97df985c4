package connector

import (
	"context"

	"connectrpc.com/connect"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/translator"
	"github.com/buckthorndyke/buckthorndyke/wire"
)

// ticketCloseTimeout bounds the time in which a peer takes note of a ticket's
// outcome.
const ticketCloseTimeout = 2 * buckthorndyke.Second

type ticketStream = connect.BidiStreamForClientSimple[wire.TicketRequest, wire.TicketEvent]

// connectTicket is a ticket that lasts as long as its stream. One goroutine
// receives from the stream and hands the events on as messages.
type connectTicket struct {
	cancel context.CancelFunc
	ctx    context.Context
	// leave makes the ticket outlive the context that it was asked for with, for
	// as long as its outcome takes to arrive. It returns false if that has ended.
	detach func() bool
	events chan ticketMessage
	stream *ticketStream
}

// ticketMessage is an event, or the error that ended the ticket.
type ticketMessage struct {
	err   error
	event buckthorndyke.TicketEvent
}

func newConnectTicket(
	held context.Context, cancel context.CancelFunc, leave func() bool, stream *ticketStream,
) *connectTicket {
	t := &connectTicket{cancel: cancel, events: make(chan ticketMessage), ctx: held, detach: leave, stream: stream}
	go t.receive()
	return t
}

// Close implements buckthorndyke.Ticket.
func (t *connectTicket) Close(outcome buckthorndyke.TicketOutcome) {
	if !t.detach() {
		return
	}
	closing := &wire.TicketClose{Crashed: outcome == buckthorndyke.TicketCrashed}
	if t.stream.Send(&wire.TicketRequest{Message: &wire.TicketRequest_Close{Close: closing}}) != nil {
		t.cancel()
		return
	}
	_ = t.stream.CloseRequest()
	context.AfterFunc(t.ctx, func() { _ = t.stream.CloseResponse() })
	go t.cancelAfter(ticketCloseTimeout)
}

// Next implements buckthorndyke.Ticket.
func (t *connectTicket) Next(ctx context.Context) (buckthorndyke.TicketEvent, error) {
	select {
	case m, ok := <-t.events:
		if !ok {
			return buckthorndyke.TicketEvent{}, buckthorndyke.NewRefusal(
				buckthorndyke.CodeRunnerUnavailable, buckthorndyke.NotRun, "the ticket has ended")
		}
		return m.event, m.err
	case <-ctx.Done():
		return buckthorndyke.TicketEvent{}, buckthorndyke.NewRefusal(
			buckthorndyke.CodeDeadline, buckthorndyke.NotRun, context.Cause(ctx).Error())
	}
}

// cancelAfter ends the stream after d unless it has ended before.
func (t *connectTicket) cancelAfter(d buckthorndyke.Millis) {
	ctx, cancel := context.WithTimeout(t.ctx, d.Duration())
	defer cancel()
	<-ctx.Done()
	t.cancel()
}

// receive hands on the stream's events until it ends.
func (t *connectTicket) receive() {
	defer t.cancel()
	defer close(t.events)
	for {
		var m ticketMessage
		received, err := t.stream.Receive()
		if err == nil {
			m.event, m.err = translator.TicketEventFromWire(received)
		} else {
			m.err = translator.FromConnectError(err, buckthorndyke.CodeRunnerUnavailable, buckthorndyke.NotRun)
		}
		select {
		case t.events <- m:
		case <-t.ctx.Done():
			return
		}
		if m.err != nil {
			return
		}
	}
}
