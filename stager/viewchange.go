package stager

import (
	"math"

	"github.com/buckthorndyke/buckthorndyke"
)

// WithAccepted returns a floor on which a runner has accepted its order.
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

// WithBackends returns a floor with the runners of the platform's list.
func (v View) WithBackends(list buckthorndyke.Backends, now buckthorndyke.Millis) View {
	for id, s := range v.runners.All() {
		if b, ok := list.Servers.Get(id); !ok || b.Incarnation != s.backend.Incarnation {
			v.runners = v.runners.Without(id)
		}
	}
	for id, b := range list.Servers.All() {
		s, ok := v.runners.Get(id)
		if !ok {
			v.runners = v.runners.With(id, runnerState{backend: b, acceptedOrders: unknownOrders})
			continue
		}
		// What the runner holds is taken from its reports: entries of the list are
		// older by an unknown time.
		if s.pending == nil && now >= s.changedAt+ownStateTTL && !sameModels(s.backend, b) {
			s.acceptedOrders = unknownOrders
		}
		s.backend.Address, s.backend.Leaving = b.Address, b.Leaving
		v.runners = v.runners.With(id, s)
	}
	return v
}

// WithDemand returns a floor that holds the report of vm.
func (v View) WithDemand(vm buckthorndyke.VMID, entries []buckthorndyke.DemandEntry, now buckthorndyke.Millis) View {
	v.demand = v.demand.WithReport(vm, entries, now)
	return v
}

// WithDone returns a floor on which an order has been carried out. It is
// unchanged if another order is outstanding on that runner.
func (v View) WithDone(o PlannedOrder, now buckthorndyke.Millis) View {
	s, ok := v.runners.Get(o.Runner)
	if !ok || s.pending == nil || !s.pending.matches(o) {
		return v
	}
	v = v.withFinishedLoad(s, now)
	v.runners = v.runners.With(o.Runner, s.withDone(now))
	return v
}

// WithFailed returns a floor on which an order was not accepted. It is unchanged
// if another order is outstanding on that runner.
func (v View) WithFailed(o PlannedOrder, now buckthorndyke.Millis) View {
	id := o.Runner
	s, ok := v.runners.Get(id)
	if !ok || s.pending == nil || !s.pending.matches(o) {
		return v
	}
	s.pending = nil
	s.targetModel = ""
	s.acceptedOrders = unknownOrders
	s.retryAt = now + refusalBackoff
	v.runners = v.runners.With(id, s)
	return v
}

// WithAtOnce returns a floor whose weight store allows n loads at full speed, as
// another leader has learnt.
func (v View) WithFullSpeedLoads(n int) View {
	v.fullSpeedLoads = min(max(n, 1), fullSpeedLoadsLimit)
	return v
}

// WithOrder returns a floor on which a runner has an outstanding order.
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

// WithReport returns a floor with a runner's own report of now. It ends an order
// that the report shows to be carried out or lost.
func (v View) WithReport(r buckthorndyke.BackendReport, now buckthorndyke.Millis) View {
	id := r.Backend.ID
	s, ok := v.runners.Get(id)
	if !ok || s.backend.Incarnation != r.Backend.Incarnation || s.acceptedOrders != unknownOrders && r.AcceptedOrders < s.acceptedOrders {
		return v
	}
	leaving := s.backend.Leaving
	s.backend = r.Backend
	s.backend.Leaving = leaving
	s.changedAt = now
	s.failedReports = 0
	s.acceptedOrders = r.AcceptedOrders
	s.busy = s.pending == nil && r.Busy
	if s.busy {
		// Another leader's order is being carried out: what it changes would not
		// show in the number of orders.
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

// WithSilence returns a floor on which a runner has not answered the question for
// its report.
func (v View) WithReportFailure(id buckthorndyke.RunnerID) View {
	if s, ok := v.runners.Get(id); ok {
		s.failedReports++
		v.runners = v.runners.With(id, s)
	}
	return v
}

// WithRouting returns a floor with another configuration.
func (v View) WithRouting(r buckthorndyke.Routing) View {
	v.routing = r
	return v
}

// WithSlowLoads returns a floor that has learnt at now from loads that are under
// way for longer than they take at full speed.
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

// WithTerm returns a floor whose leader begins to lead at now: it knows no
// demand.
func (v View) WithTerm(now buckthorndyke.Millis) View {
	v.demand = Demand{}
	v.unloadsFrom = now + demandCollectionTime
	return v
}

// sameModels reports whether two descriptions of a runner name the same models.
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

// loadTime returns how long the load of s from the weight store takes at full
// speed, or 0 if it loads nothing from there.
func (v View) fullSpeedLoadTime(s runnerState) buckthorndyke.Millis {
	service, _ := v.routing.Services.Get(s.backend.Service)
	if service.Engine == nil || s.pending == nil || s.pending.concurrentLoads == 0 {
		return 0
	}
	model, _ := service.Engine.Models.Get(s.pending.model)
	return model.LoadTimes[buckthorndyke.TierRemote]
}

// slow reports whether the load of s from the weight store has taken, or takes by
// now, longer than at full speed.
func (v View) loadIsSlow(s runnerState, now buckthorndyke.Millis) bool {
	full := v.fullSpeedLoadTime(s)
	return full > 0 && s.pending.accepted && (now-s.pending.sent-reportLag)*1000 > full*slowLoadPermille
}

// withBeside returns a floor on which the loads from the weight store that are under
// way share it with n at once.
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

// withLoadTime returns a floor that has learnt from the end of a load how many
// loads at once the weight store allows at full speed: beyond these, each takes
// longer in proportion.
func (v View) withFinishedLoad(s runnerState, now buckthorndyke.Millis) View {
	if v.loadIsSlow(s, now) {
		return v.withSlowLoad(s, now)
	}
	if order := s.pending; order != nil && order.concurrentLoads > v.fullSpeedLoads && order.accepted {
		v.fullSpeedLoads = min(order.concurrentLoads, fullSpeedLoadsLimit)
	}
	return v
}

// withShared returns a floor that has learnt from the slow load of s.
func (v View) withSlowLoad(s runnerState, now buckthorndyke.Millis) View {
	order := s.pending
	took := now - order.sent - reportLag
	shared := int(math.Round(float64(order.concurrentLoads) * float64(v.fullSpeedLoadTime(s)) / float64(took)))
	v.fullSpeedLoads = max(min(shared, v.fullSpeedLoads), v.fullSpeedLoads/2, 1)
	return v
}
