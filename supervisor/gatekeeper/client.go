package gatekeeper

import (
	"context"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/placer"
)

const (
	// gateKey is the rendezvous key of the load gate.
	gateKey = "load-gate"
	// defaultPatience is how long a request waits at the gate before it falls back
	// to this VM's part of the limits.
	defaultRemoteTimeout = 8 * buckthorndyke.Second
	// silentTime is how long a gate that did not answer is not asked again.
	hostRetryDelay = 10 * buckthorndyke.Second
)

// Client asks the member that keeps the load gate for permits. While that does
// not answer it falls back to this VM's part of the limits. It implements
// buckthorndyke.LoadGate.
type Client struct {
	box   *mailer.Mailbox[clientMessage]
	clock buckthorndyke.Clock
	// fallback permits loads while the gate is out of reach.
	fallback *Gatekeeper
	follower buckthorndyke.Follower
	liveness buckthorndyke.LivenessReporter
	// local is the gate of this VM.
	local         *Gatekeeper
	peers         buckthorndyke.Peers
	remoteTimeout buckthorndyke.Millis
	self          buckthorndyke.Self
}

// clientMessage asks a client's task for the keeper, or tells it that one did
// not answer.
type clientMessage struct {
	reply        mailer.Reply[gateHost]
	unresponsive buckthorndyke.VMID
}

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithRemoteTimeout sets how long a request waits at the gate.
func WithRemoteTimeout(d buckthorndyke.Millis) ClientOption {
	return func(c *Client) { c.remoteTimeout = d }
}

// NewClient returns a client whose VM's own gate is local.
func NewClient(
	self buckthorndyke.Self, follower buckthorndyke.Follower, liveness buckthorndyke.LivenessReporter,
	peers buckthorndyke.Peers, local *Gatekeeper, clock buckthorndyke.Clock, opts ...ClientOption,
) *Client {
	c := &Client{
		box:           mailer.NewMailbox[clientMessage](),
		clock:         clock,
		fallback:      New(clock),
		follower:      follower,
		liveness:      liveness,
		local:         local,
		peers:         peers,
		remoteTimeout: defaultRemoteTimeout,
		self:          self,
	}
	c.fallback.adapters, c.fallback.models = local.adapters, local.models
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// AcquireLoad implements buckthorndyke.LoadGate.
func (c *Client) AcquireLoad(ctx context.Context, r buckthorndyke.LoadRequest) (buckthorndyke.LoadPermit, error) {
	h, err := mailer.Ask(ctx, c.box, func(reply mailer.Reply[gateHost]) clientMessage { return clientMessage{reply: reply} })
	if err != nil {
		return nil, err
	}
	if h.member.VM == c.self.VM {
		return c.local.AcquireLoad(ctx, r)
	}
	if h.member.VM != "" {
		p, err := c.acquireRemote(ctx, h.member, r)
		if err == nil {
			return p, nil
		}
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
		c.box.TrySend(clientMessage{unresponsive: h.member.VM})
	}
	return c.fallback.acquire(ctx, r, h.members)
}

// Serve implements suture.Service.
func (c *Client) Serve(ctx context.Context) error {
	go func() { _ = c.fallback.Serve(ctx) }()
	updates, liveness := c.follower.Subscribe(ctx), c.liveness.Subscribe(ctx)
	var state buckthorndyke.State
	var alive buckthorndyke.Liveness
	var unresponsive buckthorndyke.VMID
	var avoidUntil buckthorndyke.Millis
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case p := <-updates:
			state = p.State
		case alive = <-liveness:
		case m := <-c.box.Receive():
			now := c.clock.Now()
			if m.unresponsive != "" {
				unresponsive, avoidUntil = m.unresponsive, now+hostRetryDelay
				continue
			}
			h := gateHostOf(state, alive)
			if h.member.VM == unresponsive && now < avoidUntil {
				h.member = buckthorndyke.Member{}
			}
			m.reply.Answer(h)
		}
	}
}

// acquireRemote asks the member that keeps the gate. The permit ends with ctx.
func (c *Client) acquireRemote(
	ctx context.Context, m buckthorndyke.Member, r buckthorndyke.LoadRequest,
) (buckthorndyke.LoadPermit, error) {
	ctx, cancel := context.WithCancel(ctx)
	type result struct {
		err    error
		permit buckthorndyke.LoadPermit
	}
	results := make(chan result, 1)
	go func() {
		p, err := c.peers.At(m.PeerAddress).AcquireLoad(ctx, r)
		results <- result{err: err, permit: p}
	}()
	select {
	case res := <-results:
		if res.err != nil {
			cancel()
			return nil, res.err
		}
		return remotePermit{LoadPermit: res.permit, cancel: cancel}, nil
	case <-c.clock.After(c.remoteTimeout):
		cancel()
		go closeLate(func() buckthorndyke.LoadPermit { return (<-results).permit })
		return nil, errGateStopped
	case <-ctx.Done():
		cancel()
		go closeLate(func() buckthorndyke.LoadPermit { return (<-results).permit })
		return nil, context.Cause(ctx)
	}
}

// closeLate gives back a permit that comes after its request was given up.
func closeLate(wait func() buckthorndyke.LoadPermit) {
	if p := wait(); p != nil {
		p.Close()
	}
}

// remotePermit is a permit of another member's gate.
type remotePermit struct {
	buckthorndyke.LoadPermit
	cancel context.CancelFunc
}

// Close implements buckthorndyke.LoadPermit.
func (p remotePermit) Close() {
	p.LoadPermit.Close()
	p.cancel()
}

// keeper is the member that keeps the load gate, and the number of members that
// share the limits without it.
type gateHost struct {
	member  buckthorndyke.Member
	members int
}

// keeperOf returns the keeper by rendezvous hashing over the live members.
func gateHostOf(state buckthorndyke.State, alive buckthorndyke.Liveness) gateHost {
	var live []buckthorndyke.VMID
	for vm, m := range state.Members.All() {
		if !m.Leaving {
			live = append(live, vm)
		}
	}
	members := len(live)
	live = slices.DeleteFunc(live, alive.Suspected)
	member, _ := state.Members.Get(placer.Top(gateKey, live))
	return gateHost{members: max(members, 1), member: member}
}
