package prober

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/placer"
)

// absentReads is the number of reads of the VM list that a VM must be missing
// from before it is removed. The list lags.
const absentReads = 3

// Bounds of the time from one try to join to the next. A VM that others remove
// again and again must not fill the log.
const (
	firstJoinBackoff = 2 * buckthorndyke.Second
	maxJoinBackoff   = 2 * buckthorndyke.Minute
	backoffFactor    = 2
)

// departure asks the task not to join again. The answer is its state.
type departure struct {
	reply mailer.Reply[buckthorndyke.State]
}

// proposal is the end of a proposal about a member.
type proposal struct {
	vm buckthorndyke.VMID
}

// handleList takes a new VM list into account.
func (t *task) handleList(vms []buckthorndyke.VM) {
	var table buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.VM]
	for _, vm := range vms {
		table = table.With(vm.ID, vm)
	}
	t.vms = table
	absent := make(map[buckthorndyke.VMID]int)
	for _, m := range t.roster.Members() {
		if !table.Has(m.VM) && table.Len() > 0 {
			absent[m.VM] = t.absent[m.VM] + 1
		}
	}
	t.absent = absent
}

// join proposes to make this life a member unless it is one. A later life wins.
func (t *task) join(ctx context.Context) {
	m, ok := t.progress.State.Members.Get(t.self.VM)
	if ok && m.Incarnation >= t.self.Incarnation || t.departed || !t.progress.CaughtUp || t.progress.LogDown {
		return
	}
	now := t.clock.Now()
	if t.proposing[t.self.VM] || now < t.joinAfter {
		return
	}
	t.joinAfter = now + t.joinBackoff
	t.joinBackoff = min(t.joinBackoff*backoffFactor, maxJoinBackoff)
	t.propose(ctx, t.self.VM, buckthorndyke.JoinChange{Member: buckthorndyke.Member{
		Domain:      t.self.Domain,
		Incarnation: t.self.Incarnation,
		PeerAddress: t.self.PeerAddress,
		VM:          t.self.VM,
	}})
}

// leave has this VM marked as leaving or removed.
func (t *task) leave(ctx context.Context, draining bool) error {
	s, err := mailer.Ask(ctx, t.departure, func(r mailer.Reply[buckthorndyke.State]) departure {
		return departure{reply: r}
	})
	if err != nil {
		return err
	}
	if m, ok := s.Members.Get(t.self.VM); !ok || m.Incarnation != t.self.Incarnation {
		return nil
	}
	ruling, err := t.proposer.Propose(ctx, buckthorndyke.LeaveChange{
		Draining: draining, Incarnation: t.self.Incarnation, VM: t.self.VM,
	})
	if err != nil {
		return errors.Wrap(err, "propose to leave")
	}
	if !ruling.Accepted {
		return errors.Newf("propose to leave: %s", ruling.Reason)
	}
	return nil
}

// propose proposes a change about vm unless one is under way.
func (t *task) propose(ctx context.Context, vm buckthorndyke.VMID, c buckthorndyke.Change) {
	if t.proposing[vm] {
		return
	}
	t.proposing[vm] = true
	go func() {
		// Whatever comes of it shows in the state; if need be it is tried again.
		_, _ = t.proposer.Propose(ctx, c)
		_ = t.proposals.Send(ctx, proposal{vm: vm})
	}()
}

// readiness returns nil, or why this VM cannot take callers' requests.
func (t *task) readiness() error {
	m, ok := t.progress.State.Members.Get(t.self.VM)
	contact := max(t.progress.FreshAsOf, t.evidence.LastContact(), t.started)
	reason := ""
	code := buckthorndyke.CodeNotReady
	switch {
	case t.departed || ok && m.Leaving:
		code, reason = buckthorndyke.CodeDraining, "the VM is leaving"
	case !t.progress.CaughtUp:
		reason = "the state is not complete yet"
	case ok && m.Incarnation > t.self.Incarnation:
		reason = "a later life of the VM has joined"
	case !ok && !t.progress.LogDown:
		reason = "the VM has not joined yet"
	case t.clock.Now()-contact > t.cfg.staleness:
		code, reason = buckthorndyke.CodeStale, "neither the log nor a peer has answered for too long"
	default:
		return nil
	}
	return buckthorndyke.NewRefusal(code, buckthorndyke.NotRun, reason)
}

// readList reads the VM list without waiting for it. A read that fails leaves
// what is known.
func (t *task) readList(ctx context.Context) {
	go func() {
		listCtx, cancel := context.WithTimeout(ctx, t.cfg.listInterval.Duration())
		defer cancel()
		if vms, err := t.list.List(listCtx); err == nil {
			_ = t.lists.Send(ctx, vms)
		}
	}()
}

// remove proposes to remove the suspects that the VM list no longer holds. One
// member proposes it; two are harmless.
func (t *task) remove(ctx context.Context, l buckthorndyke.Liveness) {
	if !t.progress.CaughtUp || t.progress.LogDown {
		return
	}
	var live []buckthorndyke.VMID
	for _, m := range t.roster.Members() {
		if !l.Suspected(m.VM) {
			live = append(live, m.VM)
		}
	}
	for vm := range l.Suspects.All() {
		m, ok := t.progress.State.Members.Get(vm)
		if ok && t.absent[vm] >= absentReads && placer.Top("remove/"+string(vm), live) == t.self.VM {
			t.propose(ctx, vm, buckthorndyke.LeaveChange{Incarnation: m.Incarnation, VM: vm})
		}
	}
}
