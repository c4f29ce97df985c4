package buckthorndyke

import "context"

// ProbeRequest asks a peer whether it is alive and carries news.
type ProbeRequest struct {
	From        VMID
	Incarnation Incarnation
	// Offset is the highest control offset that the sender has folded.
	Offset Offset
	// Suspects are the members that the sender cannot reach.
	Suspects []VMID
}

// ProbeReply is a peer's answer to a probe.
type ProbeReply struct {
	Incarnation Incarnation
	Offset      Offset
	Ready       bool
	// RulesVersion is the version of the rules in force at the peer.
	RulesVersion Offset
	Suspects     []VMID
}

// Responder answers probes and shares its state.
type Responder interface {
	// Probe asks for a sign of life.
	Probe(ctx context.Context, r ProbeRequest) (ProbeReply, error)
	// Snapshot returns the peer's state.
	Snapshot(ctx context.Context) (State, error)
}

// PromiseRequest asks a listed successor not to take a runner over for a time.
type PromiseRequest struct {
	Epoch Offset
	// For is how long the promise holds, counted from when it is given.
	For    Millis
	Owner  VMID
	Runner RunnerID
}

// Successor is listed to take runners over.
type Successor interface {
	// Promise asks a successor to leave a runner alone. It returns false if the
	// successor knows of a later epoch or may have proposed to take over.
	Promise(ctx context.Context, r PromiseRequest) (bool, error)
}

// TicketIssuer hands out tickets for the runners that one VM owns.
type TicketIssuer interface {
	// Ticket asks the steward of a runner for a ticket.
	Ticket(ctx context.Context, r TicketRequest) (Ticket, error)
}

// Peer is what an entry VM does for the others, reached over the network.
type Peer interface {
	ClaimStore
	LoadGate
	Responder
	Successor
	TicketIssuer
}

// Peers finds the peer at an address.
type Peers interface {
	// At returns the peer that answers at address.
	At(address string) Peer
}
