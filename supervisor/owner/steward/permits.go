package steward

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

// permitRetry is the wait after a failed request to the load gate.
const permitRetry = 500 * buckthorndyke.Millisecond

// heldPermit is a load permit, or a pending request for one, with the cancel
// function of its context.
type heldPermit struct {
	cancel context.CancelFunc
	permit buckthorndyke.LoadPermit
}

// close releases the permit and cancels its context.
func (h heldPermit) close() {
	if h.permit != nil {
		h.permit.Close()
	}
	if h.cancel != nil {
		h.cancel()
	}
}

// permitRequest is the status of the request to the load gate.
type permitRequest struct {
	held  heldPermit
	model buckthorndyke.ModelID
	// number identifies the request.
	number  int
	pending bool
	rank    buckthorndyke.Rank
	retryAt buckthorndyke.Millis
}

// firstRemoteLoad returns the first planned load from the weight store.
func (t *task) firstRemoteLoad() (load, bool) {
	for _, l := range t.plan.loads {
		if tierOf(t.cached, l.rule.ID) == buckthorndyke.TierRemote {
			return l, true
		}
	}
	return load{}, false
}

// handlePermitReply stores the permit, or closes it if its request was canceled.
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

// isLoading reports whether the outstanding order is a load.
func (t *task) isLoading() bool {
	return t.memory.order != nil && t.memory.order.Kind == buckthorndyke.OrderLoad
}

// releasePermit cancels the request or releases the permit.
func (t *task) releasePermit() {
	t.permit.held.close()
	t.permit = permitRequest{number: t.permit.number}
}

// requestPermit requests a permit for l from the load gate.
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

// takePermit returns the held permit for the order that uses it.
func (t *task) takePermit() heldPermit {
	held := t.permit.held
	t.permit = permitRequest{number: t.permit.number}
	return held
}

// updatePermit requests a permit for the first planned load from the weight store,
// and releases one that is no longer needed. A pending request is repeated if the
// rank of its load has risen.
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
