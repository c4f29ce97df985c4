package tester

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// errUnreachable means that no process listens on an address.
var errUnreachable = errors.New("no process listens on the address")

// Fault is a fault that is injected into a call or a message between two processes.
type Fault struct {
	// Delay is the time by which the message is delayed.
	Delay buckthorndyke.Millis
	// Double delivers the message twice.
	Duplicate bool
	// LoseReply delivers the message and loses the reply.
	LoseReply bool
	// LoseRequest loses the message.
	LoseRequest bool
}

// NetworkRule returns the fault of a message from one process to another.
type NetworkRule func(from, to buckthorndyke.Self) Fault

// network is the simulated network: it finds processes by address and decides on the
// faults of messages between them.
type network struct {
	box *mailer.Mailbox[func(*networkState)]
}

// networkState is the state of a network.
type networkState struct {
	nodes map[string]*Node
	rule  NetworkRule
}

func newNetwork() *network {
	return &network{box: mailer.NewMailbox[func(*networkState)]()}
}

// Serve implements suture.Service.
func (n *network) Serve(ctx context.Context) error {
	s := &networkState{
		nodes: map[string]*Node{}, rule: func(_, _ buckthorndyke.Self) Fault { return Fault{} },
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case change := <-n.box.Receive():
			change(s)
		}
	}
}

// add makes a node reachable at its peer address, in place of its previous
// incarnation.
func (n *network) add(ctx context.Context, node *Node) {
	_ = n.box.Send(ctx, func(s *networkState) { s.nodes[node.Self.PeerAddress] = node })
}

// fault returns the fault of a message.
func (n *network) fault(ctx context.Context, from, to buckthorndyke.Self) Fault {
	f, _ := mailer.Ask(ctx, n.box, func(reply mailer.Reply[Fault]) func(*networkState) {
		return func(s *networkState) { reply.Answer(s.rule(from, to)) }
	})
	return f
}

// node returns the node at an address, or nil.
func (n *network) node(ctx context.Context, address string) *Node {
	node, _ := mailer.Ask(ctx, n.box, func(reply mailer.Reply[*Node]) func(*networkState) {
		return func(s *networkState) { reply.Answer(s.nodes[address]) }
	})
	return node
}

// set replaces the network rule.
func (n *network) set(ctx context.Context, rule NetworkRule) {
	_ = n.box.Send(ctx, func(s *networkState) { s.rule = rule })
}

// after is called when the reply is due. If the reply is lost it waits until ctx
// ends and returns an error.
func (f Fault) after(ctx context.Context) error {
	if !f.LoseReply {
		return nil
	}
	<-ctx.Done()
	return interruptedError(buckthorndyke.MayHaveRun, context.Cause(ctx))
}

// before is called before the message is delivered. It waits for the delay. If the
// message is lost it waits until ctx ends and returns an error.
func (f Fault) before(ctx context.Context, clock buckthorndyke.Clock) error {
	if f.LoseRequest {
		<-ctx.Done()
		return interruptedError(buckthorndyke.MayHaveRun, context.Cause(ctx))
	}
	if f.Delay > 0 {
		select {
		case <-clock.After(f.Delay):
		case <-ctx.Done():
			return interruptedError(buckthorndyke.MayHaveRun, context.Cause(ctx))
		}
	}
	return nil
}

// with returns a fault that combines f and other.
func (f Fault) with(other Fault) Fault {
	return Fault{
		Delay: f.Delay + other.Delay, Duplicate: f.Duplicate || other.Duplicate,
		LoseReply: f.LoseReply || other.LoseReply, LoseRequest: f.LoseRequest || other.LoseRequest,
	}
}

// IsolateDomain loses all messages between a failure domain and the others.
func IsolateDomain(domain buckthorndyke.DomainID) NetworkRule {
	return func(from, to buckthorndyke.Self) Fault {
		return Fault{LoseRequest: (from.Domain == domain) != (to.Domain == domain)}
	}
}

// IsolateVM loses all messages from and to a VM.
func IsolateVM(vm buckthorndyke.VMID) NetworkRule {
	return func(from, to buckthorndyke.Self) Fault {
		return Fault{LoseRequest: from.VM == vm || to.VM == vm}
	}
}
