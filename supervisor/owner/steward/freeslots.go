package steward

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// freeRetry is the wait after a FreeSlotChange failed or was rejected.
	freeSlotRetry = buckthorndyke.Second
	// freeTimeout bounds the wait for a FreeSlotChange's ruling.
	freeSlotTimeout = 10 * buckthorndyke.Second
)

// freeing is the standing of the proposals to free slots.
type freeSlotProposals struct {
	pending map[buckthorndyke.ModelID]bool
	retryAt buckthorndyke.Millis
}

// settleFree takes over the outcome of a proposal. An accepted one shows in the
// next view. The others are proposed again after a wait.
func (t *task) completeFreeSlot(m freeSlotCompleted) {
	delete(t.freeProposals.pending, m.model)
	t.freeProposals.retryAt = t.clock.Now() + freeSlotRetry
}

// freeSlots proposes to free the withdrawn slots whose model is certainly not on
// the runner.
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

// proposeFree proposes to free the slot of model.
func (t *task) proposeFreeSlot(model buckthorndyke.ModelID) {
	c := buckthorndyke.FreeSlotChange{
		Epoch: t.view.Ownership.Epoch, Model: model, Runner: t.view.Ownership.Runner,
	}
	go func() {
		ctx, cancel := context.WithTimeout(t.lifetimeCtx, freeSlotTimeout.Duration())
		defer cancel()
		ruling, err := t.proposer.Propose(ctx, c)
		t.post(freeSlotCompleted{err: err, model: model, result: ruling})
	}()
}
