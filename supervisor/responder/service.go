package responder

import (
	"context"

	"connectrpc.com/connect"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/translator"
	"github.com/buckthorndyke/buckthorndyke/wire"
)

// service decodes the calls of peers and encodes the replies.
type service struct {
	encoder buckthorndyke.Encoder
	peer    buckthorndyke.Peer
}

// AcquireLoad implements wireconnect.PeerServiceHandler.
func (s *service) AcquireLoad(ctx context.Context, m *wire.AcquireLoadRequest, stream *connect.ServerStream[wire.AcquireLoadResponse]) error {
	permit, err := s.peer.AcquireLoad(ctx, translator.LoadRequestFromWire(m))
	if err != nil {
		return translator.ConnectError(err)
	}
	defer permit.Close()
	if err := stream.Send(&wire.AcquireLoadResponse{}); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// Claim implements wireconnect.PeerServiceHandler.
func (s *service) Claim(ctx context.Context, m *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	reply, err := s.peer.Claim(ctx, translator.ClaimRequestFromWire(m))
	if err != nil {
		return nil, translator.ConnectError(err)
	}
	return translator.ClaimReplyToWire(reply), nil
}

// Probe implements wireconnect.PeerServiceHandler.
func (s *service) Probe(ctx context.Context, m *wire.ProbeRequest) (*wire.ProbeResponse, error) {
	reply, err := s.peer.Probe(ctx, translator.ProbeRequestFromWire(m))
	if err != nil {
		return nil, translator.ConnectError(err)
	}
	return translator.ProbeReplyToWire(reply), nil
}

// Promise implements wireconnect.PeerServiceHandler.
func (s *service) Promise(ctx context.Context, m *wire.PromiseRequest) (*wire.PromiseResponse, error) {
	promised, err := s.peer.Promise(ctx, translator.PromiseRequestFromWire(m))
	if err != nil {
		return nil, translator.ConnectError(err)
	}
	return &wire.PromiseResponse{Promised: promised}, nil
}

// Settle implements wireconnect.PeerServiceHandler.
func (s *service) Settle(ctx context.Context, m *wire.SettleRequest) (*wire.SettleResponse, error) {
	if err := s.peer.Settle(ctx, translator.ClaimOutcomeFromWire(m)); err != nil {
		return nil, translator.ConnectError(err)
	}
	return &wire.SettleResponse{}, nil
}

// Snapshot implements wireconnect.PeerServiceHandler.
func (s *service) Snapshot(ctx context.Context, _ *wire.SnapshotRequest) (*wire.SnapshotResponse, error) {
	state, err := s.peer.Snapshot(ctx)
	if err != nil {
		return nil, translator.ConnectError(err)
	}
	data, err := s.encoder.EncodeProposal(buckthorndyke.Proposal{Change: buckthorndyke.CheckpointChange{State: state}})
	if err != nil {
		return nil, translator.ConnectError(err)
	}
	return &wire.SnapshotResponse{Checkpoint: data}, nil
}

// Ticket implements wireconnect.PeerServiceHandler.
func (s *service) Ticket(ctx context.Context, stream *connect.BidiStream[wire.TicketRequest, wire.TicketEvent]) error {
	first, err := stream.Receive()
	if err != nil {
		return err
	}
	open := first.GetOpen()
	if open == nil {
		return connect.NewError(connect.CodeInvalidArgument, errMissingTicketRequest)
	}
	ticket, err := s.peer.Ticket(ctx, translator.TicketRequestFromWire(open))
	if err != nil {
		return stream.Send(translator.TicketRefusalToWire(err))
	}
	ticketCtx, cancel := context.WithCancel(ctx)
	closed := make(chan buckthorndyke.TicketOutcome, 1)
	go func() {
		defer cancel()
		closed <- receiveOutcome(stream)
	}()
	sendEvents(ticketCtx, stream, ticket)
	cancel()
	ticket.Close(outcomeOf(ctx, closed))
	return nil
}

// outcomeOf waits for the outcome that the holder of the ticket reports. If the
// connection ends first, the job counts as done.
func outcomeOf(ctx context.Context, closed <-chan buckthorndyke.TicketOutcome) buckthorndyke.TicketOutcome {
	select {
	case outcome := <-closed:
		return outcome
	case <-ctx.Done():
		return buckthorndyke.TicketDone
	}
}

// receiveOutcome receives the outcome, which is the last message of the ticket's
// holder. If the stream ends without one, the job counts as done.
func receiveOutcome(stream *connect.BidiStream[wire.TicketRequest, wire.TicketEvent]) buckthorndyke.TicketOutcome {
	m, err := stream.Receive()
	if err == nil && m.GetClose().GetCrashed() {
		return buckthorndyke.TicketCrashed
	}
	return buckthorndyke.TicketDone
}

// sendEvents sends the ticket's events to the holder until the ticket or ctx ends.
func sendEvents(ctx context.Context, stream *connect.BidiStream[wire.TicketRequest, wire.TicketEvent], ticket buckthorndyke.Ticket) {
	for {
		event, err := ticket.Next(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			_ = stream.Send(translator.TicketRefusalToWire(err))
			return
		}
		if stream.Send(translator.TicketEventToWire(event)) != nil {
			return
		}
	}
}
