package tester

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// errUnreachable reports an address at which no process serves.
var errUnreachable = errors.New("nobody serves at the address")

// Fault is what happens to a message between two processes.
type Fault struct {
	// Delay holds the message back.
	Delay buckthorndyke.Millis
	// Double delivers the message twice.
	Double bool
	// LoseAnswer delivers the message and loses the answer.
	LoseAnswer bool
	// LoseRequest loses the message.
	LoseRequest bool
}

// Rule decides what happens to a message from one process to another.
type Rule func(from, to buckthorndyke.Self) Fault

// network decides on each message between processes.
type network struct {
	asks  *mailer.Mailbox[networkAsk]
	rules *mailer.Mailbox[Rule]
}

// networkAsk asks for the fault of one message.
type networkAsk struct {
	from, to buckthorndyke.Self
	reply    mailer.Reply[Fault]
}

func newNetwork() *network {
	return &network{asks: mailer.NewMailbox[networkAsk](), rules: mailer.NewMailbox[Rule]()}
}

// Serve implements suture.Service.
func (n *network) Serve(ctx context.Context) error {
	rule := func(_, _ buckthorndyke.Self) Fault { return Fault{} }
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case rule = <-n.rules.Receive():
		case ask := <-n.asks.Receive():
			ask.reply.Answer(rule(ask.from, ask.to))
		}
	}
}

// fault returns what happens to a message.
func (n *network) fault(ctx context.Context, from, to buckthorndyke.Self) Fault {
	f, _ := mailer.Ask(ctx, n.asks, func(reply mailer.Reply[Fault]) networkAsk {
		return networkAsk{from: from, reply: reply, to: to}
	})
	return f
}

// after holds an answer that is lost until its caller gives up.
func (f Fault) after(ctx context.Context) error {
	if !f.LoseAnswer {
		return nil
	}
	<-ctx.Done()
	return cut(buckthorndyke.MayHaveRun, context.Cause(ctx))
}

// before delays a message, or holds one that is lost until its caller gives up.
func (f Fault) before(ctx context.Context, clock buckthorndyke.Clock) error {
	if f.LoseRequest {
		<-ctx.Done()
		return cut(buckthorndyke.MayHaveRun, context.Cause(ctx))
	}
	if f.Delay > 0 {
		select {
		case <-clock.After(f.Delay):
		case <-ctx.Done():
			return cut(buckthorndyke.MayHaveRun, context.Cause(ctx))
		}
	}
	return nil
}

// CutDomain loses all messages between a failure domain and the others.
func CutDomain(domain buckthorndyke.DomainID) Rule {
	return func(from, to buckthorndyke.Self) Fault {
		return Fault{LoseRequest: (from.Domain == domain) != (to.Domain == domain)}
	}
}

// CutVM loses all messages from and to a VM.
func CutVM(vm buckthorndyke.VMID) Rule {
	return func(from, to buckthorndyke.Self) Fault {
		return Fault{LoseRequest: from.VM == vm || to.VM == vm}
	}
}
