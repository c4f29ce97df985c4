// Package connector reaches the platform, runners, services and peers over the
// network.
package connector

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/translator"
	"github.com/buckthorndyke/buckthorndyke/wire"
	"github.com/buckthorndyke/buckthorndyke/wire/wireconnect"
)

// ConnectPeer is a peer reached by the connect protocol.
type ConnectPeer struct {
	client  wireconnect.PeerServiceClient
	encoder buckthorndyke.Encoder
}

// AcquireLoad implements buckthorndyke.LoadGate.
func (p *ConnectPeer) AcquireLoad(ctx context.Context, r buckthorndyke.LoadRequest) (buckthorndyke.LoadPermit, error) {
	held, cancel := context.WithCancel(ctx)
	stream, err := p.client.AcquireLoad(held, translator.LoadRequestToWire(r))
	if err == nil && stream.Receive() {
		return &connectPermit{cancel: cancel, closeStream: func() { _ = stream.Close() }}, nil
	}
	cancel()
	if err == nil {
		err = errors.CombineErrors(stream.Err(), stream.Close())
	}
	if err == nil {
		err = errors.New("the load gate closed the stream")
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
		return false, errors.Wrap(err, "ask for a promise")
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
		return buckthorndyke.State{}, errors.Wrap(err, "ask for a snapshot")
	}
	proposal, err := p.encoder.DecodeProposal(m.GetCheckpoint())
	if err != nil {
		return buckthorndyke.State{}, errors.Wrap(err, "decode a snapshot")
	}
	checkpoint, ok := proposal.Change.(buckthorndyke.CheckpointChange)
	if !ok {
		return buckthorndyke.State{}, errors.New("snapshot is not a checkpoint")
	}
	return checkpoint.State, nil
}

// Ticket implements buckthorndyke.TicketIssuer.
func (p *ConnectPeer) Ticket(ctx context.Context, r buckthorndyke.TicketRequest) (buckthorndyke.Ticket, error) {
	held, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	stream, err := p.client.Ticket(held)
	if err == nil {
		open := &wire.TicketRequest_Open{Open: translator.TicketRequestToWire(r)}
		err = stream.Send(&wire.TicketRequest{Message: open})
	}
	if err != nil {
		cancel()
		return nil, translator.FromConnectError(err, buckthorndyke.CodeRunnerUnavailable, buckthorndyke.NotRun)
	}
	return newConnectTicket(held, cancel, stop, stream), nil
}

// connectPermit is a load permit that lasts as long as its stream.
type connectPermit struct {
	cancel      context.CancelFunc
	closeStream func()
}

// Close implements buckthorndyke.LoadPermit.
func (p *connectPermit) Close() {
	p.cancel()
	p.closeStream()
}
