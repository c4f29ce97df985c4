package gatekeeper

import (
	"context"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/placer"
)

const (
	// gateKey is the key for rendezvous hashing that selects the gate host.
	gateKey = "load-gate"
	// defaultRemoteTimeout is how long a request waits for a permit of another member's
	// gate before it falls back to this VM's share of the limits.
	defaultRemoteTimeout = 8 * buckthorndyke.Second
	// hostRetryDelay is how long a gate host is not asked again after a request to it
	// failed or timed out.
	hostRetryDelay = 10 * buckthorndyke.Second
)

// Client acquires load permits from the gate host, the member whose load gate all members
// use. While that does not respond it grants permits itself, within this VM's share of
// the limits. It implements buckthorndyke.LoadGate.
type Client struct {
	box   *mailer.Mailbox[clientMessage]
	clock buckthorndyke.Clock
	// fallback grants permits while the gate host is unreachable.
	fallback *Gatekeeper
	follower buckthorndyke.Follower
	liveness buckthorndyke.LivenessReporter
	// local is the gate of this VM, which other members use while this VM is the gate
	// host.
	local         *Gatekeeper
	peers         buckthorndyke.Peers
	remoteTimeout buckthorndyke.Millis
	self          buckthorndyke.Self
}

// clientMessage asks the task of a client for the gate host, or reports that the VM in
// unresponsive did not respond as gate host.
type clientMessage struct {
	reply        mailer.Reply[gateHost]
	unresponsive buckthorndyke.VMID
}

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithRemoteTimeout sets how long a request waits for a permit of another member's gate.
func WithRemoteTimeout(d buckthorndyke.Millis) ClientOption {
	return func(c *Client) { c.remoteTimeout = d }
}

// NewClient returns a client for the VM that self describes. local is the gate of that
// VM.
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

// acquireRemote acquires a permit from the gate of member m. The permit ends with ctx.
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

// closeLate closes the permit of an abandoned request, if one is granted after all.
func closeLate(wait func() buckthorndyke.LoadPermit) {
	if p := wait(); p != nil {
		p.Close()
	}
}

// remotePermit is a permit from the gate of another member.
type remotePermit struct {
	buckthorndyke.LoadPermit
	cancel context.CancelFunc
}

// Close implements buckthorndyke.LoadPermit.
func (p remotePermit) Close() {
	p.LoadPermit.Close()
	p.cancel()
}

// gateHost identifies the member whose load gate all members use.
type gateHost struct {
	// member is the gate host, or empty if there is none.
	member buckthorndyke.Member
	// members is the number of members that share the limits if the gate host does
	// not respond.
	members int
}

// gateHostOf selects the gate host by rendezvous hashing over the members that are
// neither leaving nor suspected.
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
	return gateHost{member: member, members: max(members, 1)}
}
