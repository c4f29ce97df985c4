package buckthorndyke

import "context"

// ProbeRequest asks a peer whether it is alive, and tells it the sender's state.
type ProbeRequest struct {
	From        VMID
	Incarnation Incarnation
	// Offset is the offset of the last control record that the sender has applied.
	Offset Offset
	// Suspects are the members that the sender cannot reach.
	Suspects []VMID
}

// ProbeReply is a peer's reply to a probe.
type ProbeReply struct {
	Incarnation Incarnation
	Offset      Offset
	Ready       bool
	// RulesVersion is the version of the rules that the peer applies.
	RulesVersion Offset
	Suspects     []VMID
}

// Responder answers probes and provides its state to peers.
type Responder interface {
	// Probe returns the peer's reply, which shows that it is alive.
	Probe(ctx context.Context, r ProbeRequest) (ProbeReply, error)
	// Snapshot returns a copy of the peer's state.
	Snapshot(ctx context.Context) (State, error)
}

// PromiseRequest asks a successor not to take over a runner for a limited time.
type PromiseRequest struct {
	// Epoch is the epoch of the owner that asks: the offset of the record that made it
	// the owner.
	Epoch Offset
	// For is how long the promise is binding, counted from when it is given.
	For    Millis
	Owner  VMID
	Runner RunnerID
}

// Successor is a VM that may take over runners from their owner.
type Successor interface {
	// Promise asks the successor not to take over a runner. It returns false if the
	// successor knows of a later epoch or may already have proposed a takeover.
	Promise(ctx context.Context, r PromiseRequest) (bool, error)
}

// TicketIssuer issues tickets for the runners that one VM owns. A ticket permits one
// request to use a slot of a runner.
type TicketIssuer interface {
	// Ticket requests a ticket from the steward of a runner, the task that manages it.
	Ticket(ctx context.Context, r TicketRequest) (Ticket, error)
}

// Peer is the set of services that an entry VM provides to the other entry VMs.
type Peer interface {
	ClaimStore
	LoadGate
	Responder
	Successor
	TicketIssuer
}

// Peers provides clients for other entry VMs.
type Peers interface {
	// At returns a client for the peer at address.
	At(address string) Peer
}
