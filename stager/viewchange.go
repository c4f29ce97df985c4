package stager

import (
	"math"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

// WithAccepted returns a view in which a runner has accepted its order and thereby
// the given number of orders.
func (v View) WithAccepted(id buckthorndyke.RunnerID, orders int64) View {
	s, ok := v.runners.Get(id)
	if !ok {
		return v
	}
	s.acceptedOrders = orders
	if s.pending != nil {
		order := *s.pending
		order.accepted = true
		s.pending = &order
	}
	v.runners = v.runners.With(id, s)
	return v
}

// WithBackends returns a view with the runners of the platform's list.
func (v View) WithBackends(list buckthorndyke.Backends, now buckthorndyke.Millis) View {
	for id, s := range v.runners.All() {
		if b, ok := list.Servers.Get(id); !ok || b.Incarnation != s.backend.Incarnation {
			v.runners = v.runners.Without(id)
		}
	}
	for id, b := range list.Servers.All() {
		s, ok := v.runners.Get(id)
		if !ok {
			v.runners = v.runners.With(id, runnerState{acceptedOrders: unknownOrders, backend: b})
			continue
		}
		// The loaded models are taken from the runner's reports, since entries of the
		// list are older by an unknown time. If the two differ, a new report is
		// needed before the next order.
		if s.pending == nil && now >= s.knownAt+ownStateTTL && !sameModels(s.backend, b) {
			s.acceptedOrders = unknownOrders
		}
		// A server that has said that it is leaving leaves, whatever a later list says.
		s.backend.Address, s.backend.Leaving = b.Address, s.backend.Leaving || b.Leaving
		v.runners = v.runners.With(id, s)
	}
	return v
}

// WithDemand returns a view with a VM's report of its demand.
func (v View) WithDemand(vm buckthorndyke.VMID, entries []buckthorndyke.DemandEntry, now buckthorndyke.Millis) View {
	v.demand = v.demand.WithReport(vm, entries, now)
	return v
}

// WithDone returns a view in which an order has been carried out. It is unchanged if
// another order is outstanding on that runner.
func (v View) WithDone(o PlannedOrder, now buckthorndyke.Millis) View {
	s, ok := v.runners.Get(o.Runner)
	if !ok || s.pending == nil || !s.pending.matches(o) {
		return v
	}
	v = v.withFinishedLoad(s, now)
	v.runners = v.runners.With(o.Runner, s.withDone(now))
	return v
}

// WithFailed returns a view in which an order was not accepted. It is unchanged if
// another order is outstanding on that runner.
func (v View) WithFailed(o PlannedOrder, now buckthorndyke.Millis) View {
	id := o.Runner
	s, ok := v.runners.Get(id)
	if !ok || s.pending == nil || !s.pending.matches(o) {
		return v
	}
	if s.earlyUnload != nil && o.Kind == buckthorndyke.OrderLoad && o.Adapter == "" {
		s = s.withoutEarlyUnload(o.TargetModel)
	} else {
		s.pending = nil
		s.targetModel = ""
	}
	s.acceptedOrders = unknownOrders
	s.retryAt = now + refusalBackoff
	v.runners = v.runners.With(id, s)
	return v
}

// WithFullSpeedLoads returns a view whose weight store serves n concurrent loads at
// full speed, as another leader has learned.
func (v View) WithFullSpeedLoads(n int) View {
	v.fullSpeedLoads = min(max(n, 1), fullSpeedLoadsLimit)
	return v
}

// WithOrder returns a view in which an order is outstanding on its runner.
func (v View) WithOrder(order PlannedOrder, now buckthorndyke.Millis) View {
	s, ok := v.runners.Get(order.Runner)
	if !ok {
		return v
	}
	s.pending = &pendingOrder{adapter: order.Adapter, kind: order.Kind, model: order.Model, sent: now, tier: order.Tier}
	if order.Adapter == "" {
		s.targetModel = order.TargetModel
	}
	if !order.FromWeightStore() {
		v.runners = v.runners.With(order.Runner, s)
		return v
	}
	s.pending.concurrentLoads = v.activeRemoteLoads() + 1
	v = v.withConcurrentLoads(s.pending.concurrentLoads)
	v.runners = v.runners.With(order.Runner, s)
	v.remoteLoadStarts = append(v.remoteLoadsSince(now-loadRateWindow), now)
	return v
}

// WithReport returns a view with a runner's own report at now. An outstanding order
// ends if the report shows that it was carried out or lost.
func (v View) WithReport(r buckthorndyke.BackendReport, now buckthorndyke.Millis) View {
	id := r.Backend.ID
	s, ok := v.runners.Get(id)
	if !ok || s.backend.Incarnation != r.Backend.Incarnation || s.acceptedOrders != unknownOrders && r.AcceptedOrders < s.acceptedOrders {
		return v
	}
	loaded, leaving := s.backend.LoadedModels, s.backend.Leaving
	s.backend = r.Backend
	v, s = v.withCheckedPrediction(s, now)
	v, s = v.withCheckedUnload(s, r, now)
	if !slices.EqualFunc(loaded, s.backend.LoadedModels, buckthorndyke.LoadedModel.Same) {
		s.changedAt = now
	}
	s.backend.Leaving = leaving || r.Backend.Leaving
	s.knownAt = now
	s.failedReports = 0
	s.acceptedOrders = r.AcceptedOrders
	s.busy = s.pending == nil && s.predicted == nil && r.Busy
	if s.busy {
		// The runner carries out another leader's order, whose effect would not show
		// in the number of accepted orders.
		s.acceptedOrders = unknownOrders
	}
	if order := s.pending; order != nil && !r.Busy {
		switch {
		case order.completedIn(r.Backend):
			v = v.withFinishedLoad(s, now)
			s = s.withDone(now)
		case now >= order.sent+order.timeout():
			s.pending = nil
			s.targetModel = ""
		}
	}
	v.runners = v.runners.With(id, s)
	return v
}

// WithReportFailure returns a view in which a request for a runner's report has
// failed.
func (v View) WithReportFailure(id buckthorndyke.RunnerID) View {
	if s, ok := v.runners.Get(id); ok {
		s.failedReports++
		v.runners = v.runners.With(id, s)
	}
	return v
}

// WithRouting returns a view with another configuration.
func (v View) WithRouting(r buckthorndyke.Routing) View {
	v.routing, v.patience = r, patienceOf(r)
	return v
}

// WithSlowLoads returns a view that has learned from loads in progress that already
// take longer than at full speed.
func (v View) WithSlowLoads(now buckthorndyke.Millis) View {
	for id, s := range v.runners.All() {
		if s.pending == nil || s.pending.foundSlow || !v.loadIsSlow(s, now) {
			continue
		}
		v = v.withSlowLoad(s, now)
		order := *s.pending
		order.foundSlow = true
		s.pending = &order
		v.runners = v.runners.With(id, s)
	}
	return v
}

// WithTerm returns a view at the beginning of a term of leadership, when the demand
// is not known yet.
func (v View) WithTerm(now buckthorndyke.Millis) View {
	v.demand = Demand{}
	v.unloadsFrom = now + demandCollectionTime
	return v
}

// sameModels reports whether two entries of a runner list the same loaded models.
func sameModels(a, b buckthorndyke.Backend) bool {
	if len(a.LoadedModels) != len(b.LoadedModels) {
		return false
	}
	for _, h := range a.LoadedModels {
		if _, ok := b.LoadedModel(h.Model); !ok {
			return false
		}
	}
	return true
}

// fullSpeedLoadTime returns the time that the load of s from the weight store takes
// at full speed, or 0 if s does not load from there.
func (v View) fullSpeedLoadTime(s runnerState) buckthorndyke.Millis {
	service, _ := v.routing.Services.Get(s.backend.Service)
	if service.Engine == nil || s.pending == nil || s.pending.concurrentLoads == 0 {
		return 0
	}
	model, _ := service.Engine.Models.Get(s.pending.model)
	return model.LoadTimes[buckthorndyke.TierRemote]
}

// loadIsSlow reports whether the load of s from the weight store has already taken
// longer than at full speed.
func (v View) loadIsSlow(s runnerState, now buckthorndyke.Millis) bool {
	full := v.fullSpeedLoadTime(s)
	return full > 0 && s.pending.accepted && (now-s.pending.sent-reportLag)*1000 > full*slowLoadPermille
}

// withConcurrentLoads returns a view in which n concurrent loads share the weight
// store: the greatest such number is kept with each of them.
func (v View) withConcurrentLoads(n int) View {
	for id, s := range v.runners.All() {
		if s.pending == nil || s.pending.concurrentLoads == 0 || s.pending.concurrentLoads >= n {
			continue
		}
		order := *s.pending
		order.concurrentLoads = n
		s.pending = &order
		v.runners = v.runners.With(id, s)
	}
	return v
}

// withFinishedLoad returns a view that has learned from a finished load how many
// concurrent loads the weight store serves at full speed. With more than these, each
// load takes longer in proportion.
func (v View) withFinishedLoad(s runnerState, now buckthorndyke.Millis) View {
	if v.loadIsSlow(s, now) {
		return v.withSlowLoad(s, now)
	}
	if order := s.pending; order != nil && order.concurrentLoads > v.fullSpeedLoads && order.accepted {
		v.fullSpeedLoads = min(order.concurrentLoads, fullSpeedLoadsLimit)
	}
	return v
}

// withSlowLoad returns a view that has learned from the slow load of s.
func (v View) withSlowLoad(s runnerState, now buckthorndyke.Millis) View {
	order := s.pending
	took := now - order.sent - reportLag
	shared := int(math.Round(float64(order.concurrentLoads) * float64(v.fullSpeedLoadTime(s)) / float64(took)))
	v.fullSpeedLoads = max(min(shared, v.fullSpeedLoads), v.fullSpeedLoads/2, 1)
	return v
}
