package tester

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

// processPeers gives one process access to the other entry VMs.
type processPeers struct {
	fleet *Fleet
	from  *Node
}

// At implements buckthorndyke.Peers.
func (p *processPeers) At(address string) buckthorndyke.Peer {
	return &processPeer{address: address, fleet: p.fleet, from: p.from}
}

// processPeer gives one process access to one other entry VM. Calls pass both
// processes and the simulated network between them.
type processPeer struct {
	address string
	fleet   *Fleet
	from    *Node
}

// AcquireLoad implements buckthorndyke.LoadGate.
func (p *processPeer) AcquireLoad(ctx context.Context, r buckthorndyke.LoadRequest) (buckthorndyke.LoadPermit, error) {
	ctx, cancel := p.bind(ctx)
	permit, err := callPeer(ctx, p, p.event(CallAcquireLoad, r), func(ctx context.Context, peer buckthorndyke.Peer) (buckthorndyke.LoadPermit, error) {
		return peer.AcquireLoad(ctx, r)
	})
	if err != nil {
		cancel()
		return nil, err
	}
	return &processPermit{LoadPermit: permit, cancel: cancel}, nil
}

// Claim implements buckthorndyke.ClaimStore.
func (p *processPeer) Claim(ctx context.Context, r buckthorndyke.ClaimRequest) (buckthorndyke.ClaimReply, error) {
	return callPeer(ctx, p, p.event(CallClaim, r), func(ctx context.Context, peer buckthorndyke.Peer) (buckthorndyke.ClaimReply, error) {
		return peer.Claim(ctx, r)
	})
}

// Probe implements buckthorndyke.Responder.
func (p *processPeer) Probe(ctx context.Context, r buckthorndyke.ProbeRequest) (buckthorndyke.ProbeReply, error) {
	return callPeer(ctx, p, p.event(CallProbe, r), func(ctx context.Context, peer buckthorndyke.Peer) (buckthorndyke.ProbeReply, error) {
		return peer.Probe(ctx, r)
	})
}

// Promise implements buckthorndyke.Successor.
func (p *processPeer) Promise(ctx context.Context, r buckthorndyke.PromiseRequest) (bool, error) {
	return callPeer(ctx, p, p.event(CallPromise, r), func(ctx context.Context, peer buckthorndyke.Peer) (bool, error) {
		return peer.Promise(ctx, r)
	})
}

// Settle implements buckthorndyke.ClaimStore.
func (p *processPeer) Settle(ctx context.Context, o buckthorndyke.ClaimOutcome) error {
	_, err := callPeer(ctx, p, p.event(CallSettle, o), func(ctx context.Context, peer buckthorndyke.Peer) (struct{}, error) {
		return struct{}{}, peer.Settle(ctx, o)
	})
	return err
}

// Snapshot implements buckthorndyke.Responder.
func (p *processPeer) Snapshot(ctx context.Context) (buckthorndyke.State, error) {
	return callPeer(ctx, p, p.event(CallSnapshot, nil), func(ctx context.Context, peer buckthorndyke.Peer) (buckthorndyke.State, error) {
		return peer.Snapshot(ctx)
	})
}

// Ticket implements buckthorndyke.TicketIssuer.
func (p *processPeer) Ticket(ctx context.Context, r buckthorndyke.TicketRequest) (buckthorndyke.Ticket, error) {
	ctx, cancel := p.bind(ctx)
	ticket, err := callPeer(ctx, p, p.event(CallTicket, r), func(_ context.Context, peer buckthorndyke.Peer) (buckthorndyke.Ticket, error) {
		return peer.Ticket(ctx, r)
	})
	if err != nil {
		cancel()
		return nil, err
	}
	return &processTicket{cancel: cancel, processes: p.processes(), event: p.event(CallTicketNext, r), ticket: ticket}, nil
}

// bind returns a context that ends with ctx or once either process is killed.
func (p *processPeer) bind(ctx context.Context) (context.Context, context.CancelFunc) {
	cancels := make([]context.CancelFunc, 0, 2)
	for _, process := range p.processes() {
		var cancel context.CancelFunc
		ctx, cancel = process.bind(ctx)
		cancels = append(cancels, cancel)
	}
	return ctx, func() {
		for _, cancel := range cancels {
			cancel()
		}
	}
}

// event returns the event of a call to the peer.
func (p *processPeer) event(call CallKind, request any) CallEvent {
	return CallEvent{Address: p.address, Call: call, Request: request}
}

// processes returns the processes that a call passes: the caller's and the target's,
// or the caller's alone if no process listens on the address.
func (p *processPeer) processes() []*Process {
	processes := []*Process{p.from.Process}
	if target := p.fleet.nodeAt(p.address); target != nil {
		processes = append(processes, target.Process)
	}
	return processes
}

// callPeer makes a call that passes both processes and the network between them.
func callPeer[R any](
	ctx context.Context, p *processPeer, event CallEvent, call func(ctx context.Context, peer buckthorndyke.Peer) (R, error),
) (R, error) {
	target := p.fleet.nodeAt(p.address)
	return callThrough(ctx, p.processes(), event, func(ctx context.Context) (R, error) {
		var none R
		if target == nil {
			return none, interruptedError(buckthorndyke.NotRun, errUnreachable)
		}
		fault := p.fleet.network.fault(ctx, p.from.Self, target.Self)
		if err := fault.before(ctx, p.fleet.Clock); err != nil {
			return none, err
		}
		if fault.Duplicate {
			_, _ = call(ctx, target.Tree.Peer())
		}
		r, err := call(ctx, target.Tree.Peer())
		if lost := fault.after(ctx); lost != nil {
			return none, lost
		}
		return r, err
	})
}

// processPermit is a load permit that ends once either process is killed.
type processPermit struct {
	buckthorndyke.LoadPermit
	cancel context.CancelFunc
}

// Close implements buckthorndyke.LoadPermit.
func (p *processPermit) Close() {
	p.LoadPermit.Close()
	p.cancel()
}

// processTicket is a ticket that ends once either process is killed.
type processTicket struct {
	cancel    context.CancelFunc
	event     CallEvent
	processes []*Process
	ticket    buckthorndyke.Ticket
}

// Close implements buckthorndyke.Ticket.
func (t *processTicket) Close(outcome buckthorndyke.TicketOutcome) {
	t.ticket.Close(outcome)
	t.cancel()
}

// Next implements buckthorndyke.Ticket.
func (t *processTicket) Next(ctx context.Context) (buckthorndyke.TicketEvent, error) {
	return callThrough(ctx, t.processes, t.event, t.ticket.Next)
}
