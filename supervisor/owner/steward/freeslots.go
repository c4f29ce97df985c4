package steward

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// freeSlotRetry is the wait after a proposed FreeSlotChange has returned.
	freeSlotRetry = buckthorndyke.Second
	// freeSlotTimeout limits the wait for the result of a proposed FreeSlotChange.
	freeSlotTimeout = 10 * buckthorndyke.Second
)

// freeSlotProposals is the status of the proposals to free replica slots.
type freeSlotProposals struct {
	pending map[buckthorndyke.ModelID]bool
	retryAt buckthorndyke.Millis
}

// completeFreeSlot records that a proposal has returned. If it was accepted, the
// next view shows that; otherwise it is repeated after freeSlotRetry.
func (t *task) completeFreeSlot(m freeSlotCompleted) {
	delete(t.freeProposals.pending, m.model)
	t.freeProposals.retryAt = t.clock.Now() + freeSlotRetry
}

// freeSlots proposes to free the withdrawn replica slots whose model is known not
// to be on the runner, and not about to be loaded by a previous owner.
func (t *task) freeSlots(now buckthorndyke.Millis) {
	if now < t.freeProposals.retryAt || t.ordersStopped || t.quiescing || t.fenced || !t.vmGone && !t.allWorkKnown(now) {
		return
	}
	if t.memory.reservedMB > 0 {
		return
	}
	for _, model := range t.view.withdrawn() {
		if !t.freeProposals.pending[model] && !t.memory.isPresent(model) && !t.memory.hasAdapterOf(model) {
			t.freeProposals.pending[model] = true
			t.proposeFreeSlot(model)
		}
	}
}

// proposeFreeSlot proposes to free the replica slot of model.
func (t *task) proposeFreeSlot(model buckthorndyke.ModelID) {
	c := buckthorndyke.FreeSlotChange{
		Epoch: t.view.Ownership.Epoch, Model: model, Runner: t.view.Ownership.Runner,
	}
	go func() {
		ctx, cancel := context.WithTimeout(t.lifetimeCtx, freeSlotTimeout.Duration())
		defer cancel()
		result, err := t.proposer.Propose(ctx, c)
		t.post(freeSlotCompleted{err: err, model: model, result: result})
	}()
}
