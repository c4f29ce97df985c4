package owner

import (
	"context"

	"github.com/thejerf/suture/v4"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/supervisor/owner/steward"
)

const (
	// releaseRetry is the minimum time between two proposals of a release.
	releaseRetry = buckthorndyke.Second
	// releaseTimeout limits the wait for the result of a proposed release.
	releaseTimeout = 10 * buckthorndyke.Second
)

// ownedRunner is a runner that this VM owns.
type ownedRunner struct {
	// epoch is the epoch in which this VM became the owner.
	epoch buckthorndyke.Offset
	// previousIncarnation is the incarnation of the previous owner at the time of the
	// take, or 0 if it was not a member.
	previousIncarnation buckthorndyke.Incarnation
	// promisedUntil is the time until which all successors have promised not to take
	// over the runner.
	promisedUntil   buckthorndyke.Millis
	promisesAskedAt buckthorndyke.Millis
	// promisesPending is set while the replies of the successors are awaited.
	promisesPending bool
	quiesced        bool
	quiescing       bool
	releaseAt       buckthorndyke.Millis
	releasing       bool
	renewAt         buckthorndyke.Millis
	runner          buckthorndyke.RunnerID
	serviceToken    suture.ServiceToken
	steward         *steward.Steward
}

// completeRelease marks a release as no longer pending. If it was accepted, the
// next state shows that.
func (t *task) completeRelease(m releaseCompleted) {
	if r, ok := t.owned[m.runner]; ok {
		r.releasing = false
	}
}

// confirmIdle appends a record once no order of this VM is outstanding at a runner,
// so that the new owner need not reserve memory for one. Without the record, the
// new owner reserves memory until the process of this VM has ended. confirmIdle
// retries until the record is written or the run ends.
func (t *task) confirmIdle(r *ownedRunner) {
	select {
	case <-r.steward.Idle():
	case <-t.ctx.Done():
		return
	}
	for {
		ctx, cancel := context.WithTimeout(t.ctx, releaseTimeout.Duration())
		_, err := t.proposer.Propose(ctx, buckthorndyke.ReleaseChange{Epoch: r.epoch, Runner: r.runner})
		cancel()
		if err == nil {
			return
		}
		select {
		case <-t.clock.After(releaseRetry):
		case <-t.ctx.Done():
			return
		}
	}
}

// drain hands over all runners. The reply is sent once that is done.
func (t *task) drain(m drainRequested) {
	t.drainReplies = append(t.drainReplies, m.reply)
	t.startDrain()
	t.finishDrain()
}

// finishDrain replies to the drain requests once no runner is owned and no take is
// pending.
func (t *task) finishDrain() {
	if !t.draining || len(t.owned) > 0 || t.taking() {
		return
	}
	for _, reply := range t.drainReplies {
		reply.Answer(struct{}{})
	}
	t.drainReplies = nil
}

// finishQuiesce marks a runner as ready to be released.
func (t *task) finishQuiesce(m quiesced) {
	if r, ok := t.owned[m.runner]; ok && r.steward == m.steward {
		r.quiesced = true
		t.releaseQuiesced(t.clock.Now())
	}
}

// handOver marks a runner as ready to be released once done is closed.
func (t *task) handOver(r *ownedRunner, done <-chan struct{}) {
	r.quiescing = true
	go func() {
		select {
		case <-done:
			t.post(quiesced{runner: r.runner, steward: r.steward})
		case <-t.ctx.Done():
		}
	}()
}

// isNeeded reports whether the runner is listed or still has replica slots.
func (t *task) isNeeded(runner buckthorndyke.RunnerID) bool {
	return !t.fleet.vmListRead || t.fleet.vms.Has(buckthorndyke.VMID(runner)) || t.fleet.hasSlots(runner)
}

// previousOwnerGone reports whether the previous owner can send no more orders: it
// is this VM, its VM is no longer listed, or its process has restarted.
func (t *task) previousOwnerGone(r *ownedRunner, ownership buckthorndyke.Ownership) bool {
	if ownership.PreviousOwner == t.self.VM {
		return true
	}
	if m, ok := t.fleet.update.State.Members.Get(ownership.PreviousOwner); ok && r.previousIncarnation != 0 && m.Incarnation > r.previousIncarnation {
		return true
	}
	return t.fleet.vmListRead && !t.fleet.vms.Has(ownership.PreviousOwner)
}

// quiesce hands over a runner once its steward has finished its requests.
func (t *task) quiesce(r *ownedRunner) {
	if !r.quiescing {
		t.handOver(r, r.steward.Quiesce())
	}
}

// release proposes to give up a runner in favor of nextOwner, which may be empty.
func (t *task) release(r *ownedRunner, nextOwner buckthorndyke.VMID, now buckthorndyke.Millis) {
	ownership, _ := t.fleet.update.State.OwnershipOf(r.runner)
	r.releasing = true
	r.releaseAt = now + releaseRetry
	change := buckthorndyke.ReleaseChange{Epoch: ownership.Epoch, NextOwner: nextOwner, Runner: r.runner}
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, releaseTimeout.Duration())
		defer cancel()
		_, _ = t.proposer.Propose(ctx, change)
		t.post(releaseCompleted{runner: change.Runner})
	}()
}

// releaseGone releases the runners whose VM is no longer listed and whose replica
// slots are free.
func (t *task) releaseGone(now buckthorndyke.Millis) {
	for _, r := range t.owned {
		if !t.isNeeded(r.runner) && !r.releasing && now >= r.releaseAt {
			t.release(r, "", now)
		}
	}
}

// releaseQuiesced releases the runners whose stewards have quiesced.
func (t *task) releaseQuiesced(now buckthorndyke.Millis) {
	for _, r := range t.owned {
		if r.quiesced && !r.releasing && now >= r.releaseAt {
			t.release(r, t.fleet.nextOwner(r.runner), now)
		}
	}
}

// start starts the steward of a runner that this VM has become the owner of.
func (t *task) start(ownership buckthorndyke.Ownership) {
	r := &ownedRunner{epoch: ownership.Epoch, runner: ownership.Runner}
	if m, ok := t.fleet.update.State.Members.Get(ownership.PreviousOwner); ok {
		r.previousIncarnation = m.Incarnation
	}
	opts := append([]steward.Option{steward.WithDrift(t.driftPermille), steward.WithLease(t.lease)}, t.stewardOptions...)
	r.steward = steward.New(t.viewOf(r), t.engines.At(ownership.Address), t.gate, t.proposer, t.clock, opts...)
	r.serviceToken = t.stewards.Add(r.steward)
	t.owned[ownership.Runner] = r
	if t.draining {
		t.quiesce(r)
	}
}

// startDrain quiesces all stewards and stops taking runners.
func (t *task) startDrain() {
	t.draining = true
	for _, r := range t.owned {
		t.quiesce(r)
	}
}

// stop stops the steward of a runner that this VM no longer owns.
func (t *task) stop(runner buckthorndyke.RunnerID, r *ownedRunner) {
	r.steward.Stop()
	_ = t.stewards.Remove(r.serviceToken)
	delete(t.owned, runner)
	ownership, _ := t.fleet.update.State.OwnershipOf(runner)
	if ownership.PreviousOwner == t.self.VM && !ownership.ChecksFencingToken {
		go t.confirmIdle(r)
	}
}

// stopAll stops all stewards at the end of a run.
func (t *task) stopAll() {
	for runner, r := range t.owned {
		r.steward.Stop()
		delete(t.owned, runner)
	}
}

// viewOf returns the view that the steward of r works with.
func (t *task) viewOf(r *ownedRunner) steward.View {
	state := t.fleet.update.State
	ownership, _ := state.OwnershipOf(r.runner)
	vm, ok := t.fleet.vms.Get(buckthorndyke.VMID(r.runner))
	return steward.View{
		LeaseEnd:     max(t.fleet.update.FreshAsOf+t.lease, r.promisedUntil),
		Leaving:      vm.Leaving,
		Ownership:    ownership,
		PreviousGone: t.previousOwnerGone(r, ownership),
		State:        state,
		Unlisted:     t.fleet.vmListRead && !ok,
	}
}
