package prober

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/detector"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// task probes. It calls peers, the VM list and the proposer in goroutines that
// send their results to its mailboxes.
type task struct {
	calls     *mailer.Mailbox[probeCall]
	cfg       config
	clock     buckthorndyke.Clock
	departure *mailer.Mailbox[departure]
	feed      *mailer.Feed[buckthorndyke.Liveness]
	follower  buckthorndyke.Follower
	list      buckthorndyke.VMList
	lists     *mailer.Mailbox[[]buckthorndyke.VM]
	peers     buckthorndyke.Peers
	probes    *mailer.Mailbox[probeResult]
	proposals *mailer.Mailbox[proposal]
	proposer  buckthorndyke.Proposer
	self      buckthorndyke.Self
	views     *mailer.Mailbox[mailer.Reply[view]]

	// The fields below belong to the goroutine of Serve.
	absent   map[buckthorndyke.VMID]int
	departed bool
	evidence detector.Detector
	// joinAfter is the instant of the next try to join.
	joinAfter   buckthorndyke.Millis
	joinBackoff buckthorndyke.Millis
	pending     map[buckthorndyke.VMID]bool
	progress    buckthorndyke.StateUpdate
	roster      detector.Topology
	// proposing holds the members that a proposal under way is about.
	proposing map[buckthorndyke.VMID]bool
	started   buckthorndyke.Millis
	targets   []buckthorndyke.Member
	vms       buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.VM]
}

// probeCall is a peer's probe of this VM.
type probeCall struct {
	reply   mailer.Reply[buckthorndyke.ProbeReply]
	request buckthorndyke.ProbeRequest
}

// probeResult is a peer's answer to a probe, or the lack of one.
type probeResult struct {
	err    error
	member buckthorndyke.Member
	reply  buckthorndyke.ProbeReply
}

// view is what other goroutines may see of the task.
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
		calls:       mailer.NewMailbox[probeCall](),
		cfg:         cfg,
		clock:       clock,
		departure:   mailer.NewMailbox[departure](),
		evidence:    detector.New(self.VM, cfg.evidence...),
		feed:        feed,
		follower:    follower,
		joinBackoff: firstJoinBackoff,
		list:        list,
		lists:       mailer.NewMailbox[[]buckthorndyke.VM](),
		peers:       peers,
		probes:      mailer.NewMailbox[probeResult](),
		proposals:   mailer.NewMailbox[proposal](),
		proposer:    proposer,
		self:        self,
		views:       mailer.NewMailbox[mailer.Reply[view]](),
	}
}

// Serve implements suture.Service.
func (t *task) Serve(ctx context.Context) error {
	t.absent = make(map[buckthorndyke.VMID]int)
	t.pending = make(map[buckthorndyke.VMID]bool)
	t.proposing = make(map[buckthorndyke.VMID]bool)
	t.started = t.clock.Now()
	progress := t.follower.Subscribe(ctx)
	tick, listTick := t.clock.After(t.cfg.interval), t.clock.After(0)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case p := <-progress:
			t.handleProgress(ctx, p)
		case <-tick:
			tick = t.clock.After(t.cfg.interval)
			t.round(ctx)
			if err := t.judge(ctx); err != nil {
				return err
			}
		case <-listTick:
			listTick = t.clock.After(t.cfg.listInterval)
			t.readList(ctx)
		case vms := <-t.lists.Receive():
			t.handleList(vms)
		case r := <-t.probes.Receive():
			t.handleProbe(r)
		case c := <-t.calls.Receive():
			c.reply.Answer(t.answer(c.request))
		case p := <-t.proposals.Receive():
			delete(t.proposing, p.vm)
		case d := <-t.departure.Receive():
			t.departed = true
			d.reply.Answer(t.progress.State)
		case reply := <-t.views.Receive():
			reply.Answer(view{ready: t.readiness(), state: t.progress.State})
		}
	}
}

// String implements fmt.Stringer.
func (t *task) String() string { return "prober-task" }

// handleProgress takes a new state into account.
func (t *task) handleProgress(ctx context.Context, p buckthorndyke.StateUpdate) {
	before := t.progress.State.Members
	t.progress = p
	if !before.Same(p.State.Members) {
		var members []buckthorndyke.Member
		for _, m := range p.State.Members.All() {
			members = append(members, m)
		}
		t.roster = detector.NewTopology(members, t.cfg.fanOut)
		t.targets = t.roster.Targets(t.self.VM)
	}
	t.join(ctx)
}

// judge publishes what the evidence amounts to, and has the VMs that are gone
// removed.
func (t *task) judge(ctx context.Context) error {
	var l buckthorndyke.Liveness
	t.evidence, l = t.evidence.Evaluate(t.roster.Members(), t.vms, t.clock.Now())
	t.remove(ctx, l)
	return t.feed.Publish(ctx, l)
}

// view asks the task for what it knows.
func (t *task) view(ctx context.Context) (view, error) {
	return mailer.Ask(ctx, t.views, func(r mailer.Reply[view]) mailer.Reply[view] { return r })
}
