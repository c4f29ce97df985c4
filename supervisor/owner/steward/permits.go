package steward

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

// permitRetry is the wait after the load gate has failed.
const permitRetry = 500 * buckthorndyke.Millisecond

// heldPermit is a load permit and the context that it ends with.
type heldPermit struct {
	cancel context.CancelFunc
	permit buckthorndyke.LoadPermit
}

// close gives the permit back.
func (h heldPermit) close() {
	if h.permit != nil {
		h.permit.Close()
	}
	if h.cancel != nil {
		h.cancel()
	}
}

// permitRun is the standing of the request to the load gate.
type permitRequest struct {
	held  heldPermit
	model buckthorndyke.ModelID
	// number tells requests apart.
	number  int
	pending bool
	rank    buckthorndyke.Rank
	retryAt buckthorndyke.Millis
}

// remoteLoad returns the first planned load from the weight store.
func (t *task) firstRemoteLoad() (load, bool) {
	for _, l := range t.plan.loads {
		if tierOf(t.cached, l.rule.ID) == buckthorndyke.TierRemote {
			return l, true
		}
	}
	return load{}, false
}

// answerPermit takes over the load gate's answer.
func (t *task) handlePermitReply(m permitReplied) {
	if m.number != t.permit.number || !t.permit.pending {
		if m.permit != nil {
			m.permit.Close()
		}
		return
	}
	t.permit.pending = false
	if m.err != nil {
		t.releasePermit()
		t.permit.retryAt = t.clock.Now() + permitRetry
		return
	}
	t.permit.held.permit = m.permit
}

// loading reports whether the outstanding order is a load.
func (t *task) isLoading() bool {
	return t.memory.order != nil && t.memory.order.Kind == buckthorndyke.OrderLoad
}

// dropPermit gives up the request or the permit.
func (t *task) releasePermit() {
	t.permit.held.close()
	t.permit = permitRequest{number: t.permit.number}
}

// requestPermit asks the load gate for leave to load.
func (t *task) requestPermit(l load) {
	ctx, cancel := context.WithCancel(t.lifetimeCtx)
	number := t.permit.number + 1
	t.permit = permitRequest{
		held: heldPermit{cancel: cancel}, model: l.rule.ID, number: number, pending: true, rank: l.rank,
	}
	r := buckthorndyke.LoadRequest{
		Adapter: l.rule.IsAdapter(), Model: l.rule.ID, Rank: l.rank, Runner: t.view.Ownership.Runner,
	}
	go func() {
		permit, err := t.gate.AcquireLoad(ctx, r)
		m := permitReplied{err: err, number: number, permit: permit}
		if t.box.Send(t.lifetimeCtx, m) != nil && permit != nil {
			permit.Close()
		}
	}()
}

// takePermit moves the held permit to the order that uses it.
func (t *task) takePermit() heldPermit {
	held := t.permit.held
	t.permit = permitRequest{number: t.permit.number}
	return held
}

// seekPermit asks for a permit for the first planned load from the weight
// store, and gives up one that is no longer wanted.
func (t *task) updatePermit(now buckthorndyke.Millis) {
	l, ok := t.firstRemoteLoad()
	wanted := ok && t.view.mayOrder(now) && !t.fenced && !t.isLoading()
	if t.permit.held.cancel != nil && (!wanted || t.permit.model != l.rule.ID || t.permit.pending && t.permit.rank > l.rank) {
		t.releasePermit()
	}
	if wanted && t.permit.held.cancel == nil && now >= t.permit.retryAt {
		t.requestPermit(l)
	}
}
