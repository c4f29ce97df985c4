package steward

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// orderTimeout bounds the wait for an order's answer. After it the order's
	// outcome is asked for.
	orderTimeout = 15 * buckthorndyke.Second
	// unknownLimit is the number of reports in a row that must not know a lost
	// order before it is sent again under its old id.
	unknownLimit = 2
)

// orderRun is the standing of the outstanding order.
type orderProgress struct {
	cancel context.CancelFunc
	// evicted are the models that were evicted, until they are loaded again.
	evicted map[buckthorndyke.ModelID]bool
	// lost is set once the answer cannot come any more, at lostAt.
	lost   bool
	lostAt buckthorndyke.Millis
	permit heldPermit
	sentAt buckthorndyke.Millis
	tier   buckthorndyke.Tier
	// unknown counts the reports that did not know the lost order.
	unknownReports int
}

// finish releases what the order holds.
func (r *orderProgress) release() {
	if r.cancel != nil {
		r.cancel()
		r.cancel = nil
	}
	r.permit.close()
	r.permit = heldPermit{}
}

// settleOrder takes over the outcome of the outstanding order.
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

// settleByStatus settles the outstanding order by a report. An order that the
// runner has not seen is sent again, under its old id, once that is certain. A
// crash settles nothing, since the order may still be on its way: to send it
// again makes the runner know it, so that a late copy has no effect.
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
		t.order.unknownReports = 0
	default:
		t.order.unknownReports++
		t.resendUnknown(*o, now)
	}
}

// answerOrder takes over an order's answer.
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

// giveLoad orders a load.
func (t *task) issueLoad(l load, permit heldPermit, now buckthorndyke.Millis) {
	t.issueOrder(buckthorndyke.Order{
		Base: l.rule.Base, Kind: buckthorndyke.OrderLoad, MemoryMB: l.rule.MemoryMB, Model: l.rule.ID,
	}, now)
	t.order.permit = permit
}

// giveOrder sends an order with a new id.
func (t *task) issueOrder(o buckthorndyke.Order, now buckthorndyke.Millis) {
	o.FencingToken = t.view.Ownership.Epoch
	o.ID = t.nextOrderID()
	t.memory = t.memory.withOrder(o)
	t.order = orderProgress{evicted: t.order.evicted, sentAt: now, tier: tierOf(t.cached, o.Model)}
	t.sendOrder(o)
}

// giveOrders gives the order that the plan asks for, if any.
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

// noteEvicted remembers evictions, which a late report may not show yet.
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

// resendUnknown sends an order again that the runner has never seen.
func (t *task) resendUnknown(o buckthorndyke.Order, now buckthorndyke.Millis) {
	if t.order.unknownReports < unknownLimit || !t.view.mayOrder(now) || t.fenced {
		return
	}
	t.order.lost = false
	t.order.unknownReports = 0
	t.sendOrder(o)
}

// sendOrder sends o. The answer comes as a message.
func (t *task) sendOrder(o buckthorndyke.Order) {
	ctx, cancel := context.WithTimeout(t.lifetimeCtx, orderTimeout.Duration())
	t.order.cancel = cancel
	go func() {
		defer cancel()
		state, err := t.engine.Order(ctx, o)
		t.post(orderReplied{err: err, id: o.ID, state: state})
	}()
}

// isFinal reports whether an order in this state has no more effect.
func isFinal(s buckthorndyke.OrderState) bool {
	return s == buckthorndyke.OrderDone || s == buckthorndyke.OrderFailed || s == buckthorndyke.OrderFenced
}
