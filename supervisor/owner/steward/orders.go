package steward

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// orderTimeout limits the wait for the reply to an order. After it, the outcome is
	// read from the runner's status.
	orderTimeout = 15 * buckthorndyke.Second
	// unknownLimit is the number of consecutive statuses that must not contain a lost
	// order before the order is sent again with the same ID.
	unknownLimit = 2
)

// orderProgress is the progress of the outstanding order.
type orderProgress struct {
	cancel context.CancelFunc
	// evicted are the models that were unloaded and not loaded again since.
	evicted map[buckthorndyke.ModelID]bool
	// lost is set at lostAt, when no reply to the order can arrive anymore.
	lost   bool
	lostAt buckthorndyke.Millis
	permit heldPermit
	sentAt buckthorndyke.Millis
	tier   buckthorndyke.Tier
	// unknownStatuses counts the consecutive statuses without the lost order.
	unknownStatuses int
}

// release releases the context and the permit of the order.
func (r *orderProgress) release() {
	if r.cancel != nil {
		r.cancel()
		r.cancel = nil
	}
	r.permit.close()
	r.permit = heldPermit{}
}

// completeOrder applies the outcome of the outstanding order.
func (t *task) completeOrder(state buckthorndyke.OrderState, now buckthorndyke.Millis) {
	o := *t.memory.order
	done := state == buckthorndyke.OrderDone
	t.memory = t.memory.withOrderOutcome(done, now)
	t.order.release()
	if state == buckthorndyke.OrderFenced {
		t.fenced = true
		return
	}
	if o.Kind == buckthorndyke.OrderFence {
		if done {
			t.enterPhase(phaseRead, now)
		}
		return
	}
	if !done {
		t.retry = t.retry.withFailure(o.Model, now)
		return
	}
	t.retry = t.retry.without(o.Model)
	t.recordEviction(o)
	if o.Kind == buckthorndyke.OrderLoad {
		t.times = t.times.withLoad(t.order.tier, o.MemoryMB, now-t.order.sentAt)
	}
}

// completeOrderByStatus completes the outstanding order if the status shows its
// outcome. An order that the runner has not received is sent again with the same
// ID, once enough statuses confirm that. A crash of the engine does not complete the
// order, since the order may still be in transit: sending it again makes its ID known
// to the runner, so that a delayed copy has no effect.
func (t *task) completeOrderByStatus(m statusReplied) {
	o := t.memory.order
	if o == nil {
		return
	}
	now := t.clock.Now()
	state, known := m.status.Orders[o.ID]
	switch {
	case known && isFinal(state):
		t.completeOrder(state, now)
	case o.Kind == buckthorndyke.OrderFence && m.status.FencingToken >= o.FencingToken && t.order.lost:
		t.completeOrder(buckthorndyke.OrderDone, now)
	case !t.order.lost || m.askedAt < t.order.lostAt || state == buckthorndyke.OrderRunning:
		t.order.unknownStatuses = 0
	default:
		t.order.unknownStatuses++
		t.resendUnknown(*o, now)
	}
}

// handleOrderReply completes the outstanding order or marks it as lost.
func (t *task) handleOrderReply(m orderReplied) {
	if t.memory.order == nil || t.memory.order.ID != m.id {
		return
	}
	now := t.clock.Now()
	switch {
	case m.err == nil && isFinal(m.state):
		t.completeOrder(m.state, now)
	default:
		t.order.lost = true
		t.order.lostAt = now
		t.status.nextAt = now
	}
}

// issueLoad orders a load.
func (t *task) issueLoad(l load, permit heldPermit, now buckthorndyke.Millis) {
	t.issueOrder(buckthorndyke.Order{
		Base: l.rule.Base, Kind: buckthorndyke.OrderLoad, MemoryMB: l.rule.MemoryMB, Model: l.rule.ID,
	}, now)
	t.order.permit = permit
}

// issueOrder sends o as a new order.
func (t *task) issueOrder(o buckthorndyke.Order, now buckthorndyke.Millis) {
	o.FencingToken = t.view.Ownership.Epoch
	o.ID = t.nextOrderID()
	t.memory = t.memory.withOrder(o)
	t.order = orderProgress{evicted: t.order.evicted, sentAt: now, tier: tierOf(t.cached, o.Model)}
	t.sendOrder(o)
}

// issueOrders issues the next order of the plan, if any.
func (t *task) issueOrders(now buckthorndyke.Millis) {
	if t.phase != phaseReady {
		return
	}
	t.updatePermit(now)
	if !t.canOrder(now) {
		return
	}
	for _, l := range t.plan.loads {
		if tierOf(t.cached, l.rule.ID) != buckthorndyke.TierRemote {
			t.issueLoad(l, heldPermit{}, now)
			return
		}
		if t.permit.held.permit != nil && t.permit.model == l.rule.ID {
			t.issueLoad(l, t.takePermit(), now)
			return
		}
	}
	if victim := t.plan.evict; victim != "" && t.admission.InFlight(victim) == 0 {
		r, _ := t.memory.residents.Get(victim)
		t.issueOrder(buckthorndyke.Order{
			Base: r.base, Kind: buckthorndyke.OrderUnload, MemoryMB: r.memoryMB, Model: victim,
		}, now)
	}
}

// recordEviction records which models were unloaded, since a status that lags can
// still list them.
func (t *task) recordEviction(o buckthorndyke.Order) {
	evicted := make(map[buckthorndyke.ModelID]bool)
	for model := range t.order.evicted {
		evicted[model] = true
	}
	if o.Kind == buckthorndyke.OrderUnload {
		evicted[o.Model] = true
	} else {
		delete(evicted, o.Model)
	}
	t.order.evicted = evicted
}

// resendUnknown sends an order again that the runner has not received.
func (t *task) resendUnknown(o buckthorndyke.Order, now buckthorndyke.Millis) {
	if t.order.unknownStatuses < unknownLimit || !t.view.mayOrder(now) || t.fenced {
		return
	}
	t.order.lost = false
	t.order.unknownStatuses = 0
	t.sendOrder(o)
}

// sendOrder sends o. The reply arrives as a message.
func (t *task) sendOrder(o buckthorndyke.Order) {
	ctx, cancel := context.WithTimeout(t.lifetimeCtx, orderTimeout.Duration())
	t.order.cancel = cancel
	go func() {
		defer cancel()
		state, err := t.engine.Order(ctx, o)
		t.post(orderReplied{err: err, id: o.ID, state: state})
	}()
}

// isFinal reports whether an order in this state has no further effect.
func isFinal(s buckthorndyke.OrderState) bool {
	return s == buckthorndyke.OrderDone || s == buckthorndyke.OrderFailed || s == buckthorndyke.OrderFenced
}
