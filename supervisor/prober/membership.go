package prober

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/placer"
)

// minAbsentReads is the number of consecutive reads of the VM list that a suspect must
// be missing from before it is removed. The list may be out of date.
const minAbsentReads = 3

// Backoff between attempts to join. It keeps a VM that is removed repeatedly from
// filling the log.
const (
	minJoinBackoff = 2 * buckthorndyke.Second
	maxJoinBackoff = 2 * buckthorndyke.Minute
	backoffFactor  = 2
)

// leaveRequest tells the task not to join again, and asks for the current state.
type leaveRequest struct {
	reply mailer.Reply[buckthorndyke.State]
}

// proposalDone reports that a proposal about a member has ended.
type proposalDone struct {
	vm buckthorndyke.VMID
}

// handleList stores a new VM list and counts the reads that members are missing from.
func (t *task) handleList(vms []buckthorndyke.VM) {
	var table buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.VM]
	for _, vm := range vms {
		table = table.With(vm.ID, vm)
	}
	t.vms = table
	absentReads := make(map[buckthorndyke.VMID]int)
	for _, m := range t.topology.Members() {
		if !table.Has(m.VM) && table.Len() > 0 {
			absentReads[m.VM] = t.absentReads[m.VM] + 1
		}
	}
	t.absentReads = absentReads
}

// join proposes to make this process a member, unless this or a later incarnation of the
// VM already is one.
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

// leave proposes to mark this VM as leaving if draining is set, and otherwise to remove
// it.
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

// propose proposes a change to member vm unless a proposal about it is in progress.
func (t *task) propose(ctx context.Context, vm buckthorndyke.VMID, c buckthorndyke.Change) {
	if t.proposing[vm] {
		return
	}
	t.proposing[vm] = true
	go func() {
		// The result shows in the state. If the change is still needed, it is proposed
		// again.
		_, _ = t.proposer.Propose(ctx, c)
		_ = t.proposals.Send(ctx, proposalDone{vm: vm})
	}()
}

// proposeRemovals proposes to remove the suspects that the VM list no longer contains.
// For each suspect one live member proposes it; duplicate proposals are harmless.
func (t *task) proposeRemovals(ctx context.Context, l buckthorndyke.Liveness) {
	if !t.update.CaughtUp || t.update.LogDown {
		return
	}
	var live []buckthorndyke.VMID
	for _, m := range t.topology.Members() {
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

// readiness returns nil, or the reason why this VM cannot take callers' requests.
func (t *task) readiness() error {
	m, ok := t.update.State.Members.Get(t.self.VM)
	contact := max(t.update.FreshAsOf, t.detector.LastContact(), t.startedAt)
	reason := ""
	code := buckthorndyke.CodeNotReady
	switch {
	case t.leaving || ok && m.Leaving:
		code, reason = buckthorndyke.CodeDraining, "the VM is leaving"
	case !t.update.CaughtUp:
		reason = "the VM has not caught up with the control stream yet"
	case ok && m.Incarnation > t.self.Incarnation:
		reason = "a later incarnation of the VM has joined"
	case !ok && !t.update.LogDown:
		reason = "the VM has not joined yet"
	case t.clock.Now()-contact > t.cfg.stalenessLimit:
		code, reason = buckthorndyke.CodeStale, "the VM has been out of contact with the log and all peers for too long"
	default:
		return nil
	}
	return buckthorndyke.NewRefusal(code, buckthorndyke.NotRun, reason)
}

// readList starts a read of the VM list, whose result goes to lists. If the read fails,
// the last list remains in use.
func (t *task) readList(ctx context.Context) {
	go func() {
		listCtx, cancel := context.WithTimeout(ctx, t.cfg.listInterval.Duration())
		defer cancel()
		if vms, err := t.list.List(listCtx); err == nil {
			_ = t.lists.Send(ctx, vms)
		}
	}()
}
