package owner

import (
	"context"

	"github.com/thejerf/suture/v4"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/supervisor/owner/steward"
)

const (
	// releaseRetry is the wait before a release is proposed again.
	releaseRetry = buckthorndyke.Second
	// releaseTimeout bounds the wait for a release's ruling.
	releaseTimeout = 10 * buckthorndyke.Second
)

// holding is a runner that this VM owns.
type holding struct {
	// epoch is that of the take with which the holding began.
	epoch buckthorndyke.Offset
	// lease is the instant until which the successors have promised.
	lease buckthorndyke.Millis
	// previous is the life of the previous owner when the runner was taken.
	previous buckthorndyke.Incarnation
	// promising is set while the successors are being asked.
	promising  bool
	promisedAt buckthorndyke.Millis
	quiesced   bool
	quiescing  bool
	releaseAt  buckthorndyke.Millis
	releasing  bool
	renewAt    buckthorndyke.Millis
	runner     buckthorndyke.RunnerID
	steward    *steward.Steward
	token      suture.ServiceToken
}

// drain hands all runners over. The reply is answered once that is done.
func (t *task) drain(m drain) {
	t.drains = append(t.drains, m.reply)
	t.startDrain()
	t.finishDrain()
}

// finishDrain answers those who wait for the drain once no runner is owned.
func (t *task) finishDrain() {
	if !t.draining || len(t.holdings) > 0 || t.taking() {
		return
	}
	for _, reply := range t.drains {
		reply.Answer(struct{}{})
	}
	t.drains = nil
}

// finishQuiesce marks a runner as ready to be released.
func (t *task) finishQuiesce(m quiesced) {
	if h, ok := t.holdings[m.runner]; ok && h.steward == m.steward {
		h.quiesced = true
		t.releaseQuiesced(t.clock.Now())
	}
}

// isNeeded reports whether the runner is still listed or counted on.
func (t *task) isNeeded(runner buckthorndyke.RunnerID) bool {
	return !t.outlook.listed || t.outlook.vms.Has(buckthorndyke.VMID(runner)) || t.outlook.hasSlots(runner)
}

// previousGone reports whether the previous owner can send no more orders: its
// VM is gone, or another life of its process has begun.
func (t *task) previousGone(h *holding, have buckthorndyke.Ownership) bool {
	if have.PreviousOwner == t.self.VM {
		return true
	}
	if m, ok := t.outlook.progress.State.Members.Get(have.PreviousOwner); ok && h.previous != 0 && m.Incarnation > h.previous {
		return true
	}
	return t.outlook.listed && !t.outlook.vms.Has(have.PreviousOwner)
}

// quiesce lets a steward finish its requests.
func (t *task) quiesce(h *holding) {
	if !h.quiescing {
		t.handOver(h, h.steward.Quiesce())
	}
}

// handOver marks a runner as ready to be released once done is closed.
func (t *task) handOver(h *holding, done <-chan struct{}) {
	h.quiescing = true
	go func() {
		select {
		case <-done:
			t.post(quiesced{runner: h.runner, steward: h.steward})
		case <-t.ctx.Done():
		}
	}()
}

// release proposes to give a runner up.
func (t *task) release(h *holding, heir buckthorndyke.VMID, now buckthorndyke.Millis) {
	have, _ := t.outlook.progress.State.OwnershipOf(h.runner)
	h.releasing = true
	h.releaseAt = now + releaseRetry
	c := buckthorndyke.ReleaseChange{Epoch: have.Epoch, NextOwner: heir, Runner: h.runner}
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, releaseTimeout.Duration())
		defer cancel()
		_, _ = t.proposer.Propose(ctx, c)
		t.post(releaseSettled{runner: c.Runner})
	}()
}

// releaseGone releases the runners whose VM is gone and whose slots are freed.
func (t *task) releaseGone(now buckthorndyke.Millis) {
	for _, h := range t.holdings {
		if !t.isNeeded(h.runner) && !h.releasing && now >= h.releaseAt {
			t.release(h, "", now)
		}
	}
}

// releaseQuiesced hands over the runners whose stewards have finished.
func (t *task) releaseQuiesced(now buckthorndyke.Millis) {
	for _, h := range t.holdings {
		if h.quiesced && !h.releasing && now >= h.releaseAt {
			t.release(h, t.outlook.heir(h.runner), now)
		}
	}
}

// settleRelease ends a proposal to release. If it was accepted, the next state
// shows that.
func (t *task) settleRelease(m releaseSettled) {
	if h, ok := t.holdings[m.runner]; ok {
		h.releasing = false
	}
}

// start starts the steward of a runner that this VM has become the owner of.
func (t *task) start(have buckthorndyke.Ownership) {
	h := &holding{epoch: have.Epoch, runner: have.Runner}
	if m, ok := t.outlook.progress.State.Members.Get(have.PreviousOwner); ok {
		h.previous = m.Incarnation
	}
	opts := append([]steward.Option{steward.WithDrift(t.drift), steward.WithLease(t.lease)}, t.stewardOptions...)
	h.steward = steward.New(t.viewOf(h), t.engines.At(have.Address), t.gate, t.proposer, t.clock, opts...)
	h.token = t.stewards.Add(h.steward)
	t.holdings[have.Runner] = h
	if t.draining {
		t.quiesce(h)
	}
}

// startDrain lets all stewards finish.
func (t *task) startDrain() {
	t.draining = true
	for _, h := range t.holdings {
		t.quiesce(h)
	}
}

// confirmIdle tells the successor of a runner, by a record, that no order of this
// VM is outstanding, so that it need not reserve memory for one. Without the
// record it does so until this process has ended.
func (t *task) confirmIdle(h *holding) {
	select {
	case <-h.steward.Idle():
	case <-t.ctx.Done():
		return
	}
	for {
		ctx, cancel := context.WithTimeout(t.ctx, releaseTimeout.Duration())
		_, err := t.proposer.Propose(ctx, buckthorndyke.ReleaseChange{Epoch: h.epoch, Runner: h.runner})
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

// stop stops the steward of a runner that this VM no longer owns.
func (t *task) stop(runner buckthorndyke.RunnerID, h *holding) {
	h.steward.Stop()
	_ = t.stewards.Remove(h.token)
	delete(t.holdings, runner)
	have, _ := t.outlook.progress.State.OwnershipOf(runner)
	if have.PreviousOwner == t.self.VM && !have.ChecksFencingToken {
		go t.confirmIdle(h)
	}
}

// stopAll stops all stewards at the end of a run.
func (t *task) stopAll() {
	for runner, h := range t.holdings {
		h.steward.Stop()
		delete(t.holdings, runner)
	}
}

// viewOf returns what the steward of h has to know.
func (t *task) viewOf(h *holding) steward.View {
	state := t.outlook.progress.State
	have, _ := state.OwnershipOf(h.runner)
	vm, ok := t.outlook.vms.Get(buckthorndyke.VMID(h.runner))
	return steward.View{
		Unlisted:     t.outlook.listed && !ok,
		Leaving:      vm.Leaving,
		LeaseEnd:     max(t.outlook.progress.FreshAsOf+t.lease, h.lease),
		Ownership:    have,
		PreviousGone: t.previousGone(h, have),
		State:        state,
	}
}

// withVMs returns an outlook with another VM list.
func (o outlook) withVMs(vms []buckthorndyke.VM) outlook {
	o.vms = buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.VM]{}
	for _, vm := range vms {
		o.vms = o.vms.With(vm.ID, vm)
	}
	o.listed = true
	return o
}
