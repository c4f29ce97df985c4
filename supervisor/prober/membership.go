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
const minAbsentReads = 3

// Bounds of the time from one try to join to the next. A VM that others remove
// again and again must not fill the log.
const (
	minJoinBackoff = 2 * buckthorndyke.Second
	maxJoinBackoff = 2 * buckthorndyke.Minute
	backoffFactor  = 2
)

// departure asks the task not to join again. The answer is its state.
type leaveRequest struct {
	reply mailer.Reply[buckthorndyke.State]
}

// proposal is the end of a proposal about a member.
type proposalDone struct {
	vm buckthorndyke.VMID
}

// handleList takes a new VM list into account.
func (t *task) handleList(vms []buckthorndyke.VM) {
	var table buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.VM]
	for _, vm := range vms {
		table = table.With(vm.ID, vm)
	}
	t.vms = table
	absentReads := make(map[buckthorndyke.VMID]int)
	for _, m := range t.roster.Members() {
		if !table.Has(m.VM) && table.Len() > 0 {
			absentReads[m.VM] = t.absentReads[m.VM] + 1
		}
	}
	t.absentReads = absentReads
}

// join proposes to make this life a member unless it is one. A later life wins.
func (t *task) join(ctx context.Context) {
	m, ok := t.update.State.Members.Get(t.self.VM)
	if ok && m.Incarnation >= t.self.Incarnation || t.leaving || !t.update.CaughtUp || t.update.LogDown {
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
	s, err := mailer.Ask(ctx, t.leaveRequests, func(r mailer.Reply[buckthorndyke.State]) leaveRequest {
		return leaveRequest{reply: r}
	})
	if err != nil {
		return err
	}
	if m, ok := s.Members.Get(t.self.VM); !ok || m.Incarnation != t.self.Incarnation {
		return nil
	}
	result, err := t.proposer.Propose(ctx, buckthorndyke.LeaveChange{
		Draining: draining, Incarnation: t.self.Incarnation, VM: t.self.VM,
	})
	if err != nil {
		return errors.Wrap(err, "propose to leave")
	}
	if !result.Accepted {
		return errors.Newf("propose to leave: %s", result.Reason)
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
		_ = t.proposals.Send(ctx, proposalDone{vm: vm})
	}()
}

// remove proposes to remove the suspects that the VM list no longer holds. One
// member proposes it; two are harmless.
func (t *task) proposeRemovals(ctx context.Context, l buckthorndyke.Liveness) {
	if !t.update.CaughtUp || t.update.LogDown {
		return
	}
	var live []buckthorndyke.VMID
	for _, m := range t.roster.Members() {
		if !l.Suspected(m.VM) {
			live = append(live, m.VM)
		}
	}
	for vm := range l.Suspects.All() {
		m, ok := t.update.State.Members.Get(vm)
		if ok && t.absentReads[vm] >= minAbsentReads && placer.Top("remove/"+string(vm), live) == t.self.VM {
			t.propose(ctx, vm, buckthorndyke.LeaveChange{Incarnation: m.Incarnation, VM: vm})
		}
	}
}

// readiness returns nil, or why this VM cannot take callers' requests.
func (t *task) readiness() error {
	m, ok := t.update.State.Members.Get(t.self.VM)
	contact := max(t.update.FreshAsOf, t.evidence.Contact(), t.startedAt)
	reason := ""
	code := buckthorndyke.CodeNotReady
	switch {
	case t.leaving || ok && m.Leaving:
		code, reason = buckthorndyke.CodeDraining, "the VM is leaving"
	case !t.update.CaughtUp:
		reason = "the state is not complete yet"
	case ok && m.Incarnation > t.self.Incarnation:
		reason = "a later life of the VM has joined"
	case !ok && !t.update.LogDown:
		reason = "the VM has not joined yet"
	case t.clock.Now()-contact > t.cfg.stalenessLimit:
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
