package steward

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// freeRetry is the wait after a FreeSlotChange failed or was rejected.
	freeRetry = buckthorndyke.Second
	// freeTimeout bounds the wait for a FreeSlotChange's ruling.
	freeTimeout = 10 * buckthorndyke.Second
)

// freeing is the standing of the proposals to free slots.
type freeing struct {
	models  map[buckthorndyke.ModelID]bool
	retryAt buckthorndyke.Millis
}

// freeSlots proposes to free the withdrawn slots whose model is certainly not on
// the runner.
func (t *task) freeSlots(now buckthorndyke.Millis) {
	if now < t.freeing.retryAt || t.silent || t.quiescing || t.fenced || !t.gone && !t.settled(now) {
		return
	}
	if t.account.reservedMB > 0 {
		return
	}
	for _, model := range t.view.withdrawn() {
		if !t.freeing.models[model] && !t.account.has(model) && !t.account.hasAdapterOf(model) {
			t.freeing.models[model] = true
			t.proposeFree(model)
		}
	}
}

// proposeFree proposes to free the slot of model.
func (t *task) proposeFree(model buckthorndyke.ModelID) {
	c := buckthorndyke.FreeSlotChange{
		Epoch: t.view.Ownership.Epoch, Model: model, Runner: t.view.Ownership.Runner,
	}
	go func() {
		ctx, cancel := context.WithTimeout(t.life, freeTimeout.Duration())
		defer cancel()
		ruling, err := t.proposer.Propose(ctx, c)
		t.post(freeSettled{err: err, model: model, ruling: ruling})
	}()
}

// settleFree takes over the outcome of a proposal. An accepted one shows in the
// next view. The others are proposed again after a wait.
func (t *task) settleFree(m freeSettled) {
	delete(t.freeing.models, m.model)
	t.freeing.retryAt = t.clock.Now() + freeRetry
}
