package connector

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/translator"
	"github.com/buckthorndyke/buckthorndyke/wire"
	"github.com/buckthorndyke/buckthorndyke/wire/wireconnect"
)

// ConnectPeer calls one peer over the Connect protocol. It implements
// buckthorndyke.Peer.
type ConnectPeer struct {
	client  wireconnect.PeerServiceClient
	encoder buckthorndyke.Encoder
}

// AcquireLoad implements buckthorndyke.LoadGate. The permit ends with ctx at the
// latest.
func (p *ConnectPeer) AcquireLoad(ctx context.Context, r buckthorndyke.LoadRequest) (buckthorndyke.LoadPermit, error) {
	streamCtx, cancel := context.WithCancel(ctx)
	stream, err := p.client.AcquireLoad(streamCtx, translator.LoadRequestToWire(r))
	if err == nil && stream.Receive() {
		return &connectPermit{cancel: cancel, closeStream: func() { _ = stream.Close() }}, nil
	}
	cancel()
	if err == nil {
		err = errors.CombineErrors(stream.Err(), stream.Close())
	}
	if err == nil {
		err = errors.New("the load gate closed the stream without a permit")
	}
	return nil, translator.FromConnectError(err, buckthorndyke.CodeOverloaded, buckthorndyke.NotRun)
}

// Claim implements buckthorndyke.ClaimStore.
func (p *ConnectPeer) Claim(ctx context.Context, r buckthorndyke.ClaimRequest) (buckthorndyke.ClaimReply, error) {
	m, err := p.client.Claim(ctx, translator.ClaimRequestToWire(r))
	if err != nil {
		return buckthorndyke.ClaimReply{}, translator.FromConnectError(err, buckthorndyke.CodeClaimUnavailable, buckthorndyke.MayHaveRun)
	}
	return translator.ClaimReplyFromWire(m), nil
}

// Probe implements buckthorndyke.Responder.
func (p *ConnectPeer) Probe(ctx context.Context, r buckthorndyke.ProbeRequest) (buckthorndyke.ProbeReply, error) {
	m, err := p.client.Probe(ctx, translator.ProbeRequestToWire(r))
	if err != nil {
		return buckthorndyke.ProbeReply{}, errors.Wrap(err, "probe")
	}
	return translator.ProbeReplyFromWire(m), nil
}

// Promise implements buckthorndyke.Successor.
func (p *ConnectPeer) Promise(ctx context.Context, r buckthorndyke.PromiseRequest) (bool, error) {
	m, err := p.client.Promise(ctx, translator.PromiseRequestToWire(r))
	if err != nil {
		return false, errors.Wrap(err, "request a promise")
	}
	return m.GetPromised(), nil
}

// Settle implements buckthorndyke.ClaimStore.
func (p *ConnectPeer) Settle(ctx context.Context, o buckthorndyke.ClaimOutcome) error {
	if _, err := p.client.Settle(ctx, translator.ClaimOutcomeToWire(o)); err != nil {
		return translator.FromConnectError(err, buckthorndyke.CodeClaimUnavailable, buckthorndyke.MayHaveRun)
	}
	return nil
}

// Snapshot implements buckthorndyke.Responder.
func (p *ConnectPeer) Snapshot(ctx context.Context) (buckthorndyke.State, error) {
	m, err := p.client.Snapshot(ctx, &wire.SnapshotRequest{})
	if err != nil {
		return buckthorndyke.State{}, errors.Wrap(err, "request a snapshot")
	}
	proposal, err := p.encoder.DecodeProposal(m.GetCheckpoint())
	if err != nil {
		return buckthorndyke.State{}, errors.Wrap(err, "decode a snapshot")
	}
	checkpoint, ok := proposal.Change.(buckthorndyke.CheckpointChange)
	if !ok {
		return buckthorndyke.State{}, errors.New("the snapshot is not a checkpoint")
	}
	return checkpoint.State, nil
}

// Ticket implements buckthorndyke.TicketIssuer. The stream's context ends with ctx
// until Close detaches it, so that the ticket's outcome can still be sent.
func (p *ConnectPeer) Ticket(ctx context.Context, r buckthorndyke.TicketRequest) (buckthorndyke.Ticket, error) {
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	detach := context.AfterFunc(ctx, cancel)
	stream, err := p.client.Ticket(streamCtx)
	if err == nil {
		open := &wire.TicketRequest_Open{Open: translator.TicketRequestToWire(r)}
		err = stream.Send(&wire.TicketRequest{Message: open})
	}
	if err != nil {
		cancel()
		return nil, translator.FromConnectError(err, buckthorndyke.CodeRunnerUnavailable, buckthorndyke.NotRun)
	}
	return newConnectTicket(streamCtx, cancel, detach, stream), nil
}

// connectPermit is a load permit that is held while its stream is open.
type connectPermit struct {
	cancel      context.CancelFunc
	closeStream func()
}

// Close implements buckthorndyke.LoadPermit.
func (p *connectPermit) Close() {
	p.cancel()
	p.closeStream()
}
