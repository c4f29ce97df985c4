package connector

import (
	"context"

	"connectrpc.com/connect"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/translator"
	"github.com/buckthorndyke/buckthorndyke/wire"
)

// ticketCloseTimeout limits how long the stream stays open after the ticket's
// outcome was sent, so that the peer can receive it.
const ticketCloseTimeout = 2 * buckthorndyke.Second

type ticketStream = connect.BidiStreamForClientSimple[wire.TicketRequest, wire.TicketEvent]

// connectTicket is a ticket that lasts as long as its stream. One goroutine
// receives from the stream and sends the events to a channel.
type connectTicket struct {
	cancel context.CancelFunc
	ctx    context.Context
	// detach lets the stream outlive the context of the ticket's request, so that
	// the outcome can be sent. It returns false if that context has ended or
	// if detach was called before.
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
	ctx context.Context, cancel context.CancelFunc, detach func() bool, stream *ticketStream,
) *connectTicket {
	t := &connectTicket{cancel: cancel, ctx: ctx, detach: detach, events: make(chan ticketMessage), stream: stream}
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

// cancelAfter cancels the stream after d unless it has ended before.
func (t *connectTicket) cancelAfter(d buckthorndyke.Millis) {
	ctx, cancel := context.WithTimeout(t.ctx, d.Duration())
	defer cancel()
	<-ctx.Done()
	t.cancel()
}

// receive sends the stream's events to the channel until the stream ends.
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
