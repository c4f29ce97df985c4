package prober

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/detector"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// task probes members and keeps this VM a member. It calls peers, the VM list and the
// proposer in goroutines that send their results to its mailboxes.
type task struct {
	cfg           config
	clock         buckthorndyke.Clock
	feed          *mailer.Feed[buckthorndyke.Liveness]
	follower      buckthorndyke.Follower
	leaveRequests *mailer.Mailbox[leaveRequest]
	list          buckthorndyke.VMList
	lists         *mailer.Mailbox[[]buckthorndyke.VM]
	peerProbes    *mailer.Mailbox[peerProbe]
	peers         buckthorndyke.Peers
	probeResults  *mailer.Mailbox[probeResult]
	proposals     *mailer.Mailbox[proposalDone]
	proposer      buckthorndyke.Proposer
	self          buckthorndyke.Self
	views         *mailer.Mailbox[mailer.Reply[view]]

	// The fields below are only used by the goroutine of Serve.
	absentReads map[buckthorndyke.VMID]int
	detector    detector.Detector
	// joinAfter is the earliest instant of the next attempt to join.
	joinAfter     buckthorndyke.Millis
	joinBackoff   buckthorndyke.Millis
	leaving       bool
	pendingProbes map[buckthorndyke.VMID]bool
	// proposing holds the members about which a proposal is in progress.
	proposing map[buckthorndyke.VMID]bool
	startedAt buckthorndyke.Millis
	targets   []buckthorndyke.Member
	topology  detector.Topology
	update    buckthorndyke.StateUpdate
	vms       buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.VM]
}

// peerProbe is a peer's probe of this VM.
type peerProbe struct {
	reply   mailer.Reply[buckthorndyke.ProbeReply]
	request buckthorndyke.ProbeRequest
}

// probeResult is a peer's reply to a probe, or the error if there was none.
type probeResult struct {
	err    error
	member buckthorndyke.Member
	reply  buckthorndyke.ProbeReply
}

// view is the part of the task's state that other goroutines need.
type view struct {
	ready error
	state buckthorndyke.State
}

func newTask(
	cfg config, clock buckthorndyke.Clock, feed *mailer.Feed[buckthorndyke.Liveness],
	follower buckthorndyke.Follower, list buckthorndyke.VMList, peers buckthorndyke.Peers,
	proposer buckthorndyke.Proposer, self buckthorndyke.Self,
) *task {
	return &task{
		cfg:           cfg,
		clock:         clock,
		detector:      detector.New(self.VM, cfg.detector...),
		feed:          feed,
		follower:      follower,
		joinBackoff:   minJoinBackoff,
		leaveRequests: mailer.NewMailbox[leaveRequest](),
		list:          list,
		lists:         mailer.NewMailbox[[]buckthorndyke.VM](),
		peerProbes:    mailer.NewMailbox[peerProbe](),
		peers:         peers,
		probeResults:  mailer.NewMailbox[probeResult](),
		proposals:     mailer.NewMailbox[proposalDone](),
		proposer:      proposer,
		self:          self,
		views:         mailer.NewMailbox[mailer.Reply[view]](),
	}
}

// Serve implements suture.Service.
func (t *task) Serve(ctx context.Context) error {
	t.absentReads = make(map[buckthorndyke.VMID]int)
	t.pendingProbes = make(map[buckthorndyke.VMID]bool)
	t.proposing = make(map[buckthorndyke.VMID]bool)
	t.startedAt = t.clock.Now()
	updates := t.follower.Subscribe(ctx)
	tick, listTick := t.clock.After(t.cfg.interval), t.clock.After(0)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case u := <-updates:
			t.handleUpdate(ctx, u)
		case <-tick:
			tick = t.clock.After(t.cfg.interval)
			t.sendProbes(ctx)
			if err := t.updateLiveness(ctx); err != nil {
				return err
			}
		case <-listTick:
			listTick = t.clock.After(t.cfg.listInterval)
			t.readList(ctx)
		case vms := <-t.lists.Receive():
			t.handleList(vms)
		case r := <-t.probeResults.Receive():
			t.handleProbeResult(r)
		case c := <-t.peerProbes.Receive():
			c.reply.Answer(t.handlePeerProbe(c.request))
		case p := <-t.proposals.Receive():
			delete(t.proposing, p.vm)
		case d := <-t.leaveRequests.Receive():
			t.leaving = true
			d.reply.Answer(t.update.State)
		case reply := <-t.views.Receive():
			reply.Answer(view{ready: t.readiness(), state: t.update.State})
		}
	}
}

// String implements fmt.Stringer.
func (t *task) String() string { return "prober-task" }

// handleUpdate stores a new state and updates the probe targets.
func (t *task) handleUpdate(ctx context.Context, u buckthorndyke.StateUpdate) {
	before := t.update.State.Members
	t.update = u
	if !before.Same(u.State.Members) {
		var members []buckthorndyke.Member
		for _, m := range u.State.Members.All() {
			members = append(members, m)
		}
		t.topology = detector.NewTopology(members, t.cfg.fanOut)
		t.targets = t.topology.Targets(t.self.VM)
	}
	t.join(ctx)
}

// updateLiveness publishes which members are suspected according to the detector, and
// proposes to remove those whose VMs no longer exist.
func (t *task) updateLiveness(ctx context.Context) error {
	var l buckthorndyke.Liveness
	t.detector, l = t.detector.Evaluate(t.topology.Members(), t.vms, t.clock.Now())
	t.proposeRemovals(ctx, l)
	return t.feed.Publish(ctx, l)
}

// view asks the task for its view.
func (t *task) view(ctx context.Context) (view, error) {
	return mailer.Ask(ctx, t.views, func(r mailer.Reply[view]) mailer.Reply[view] { return r })
}
