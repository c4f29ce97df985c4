package stager

import (
	"math"

	"github.com/buckthorndyke/buckthorndyke"
)

// WithAccepted returns a floor on which a runner has accepted its order.
func (f View) WithAccepted(id buckthorndyke.RunnerID, orders int64) View {
	s, ok := f.stages.Get(id)
	if !ok {
		return f
	}
	s.orders = orders
	if s.order != nil {
		o := *s.order
		o.accepted = true
		s.order = &o
	}
	f.stages = f.stages.With(id, s)
	return f
}

// WithAtOnce returns a floor whose weight store allows n loads at full speed, as
// another leader has learnt.
func (f View) WithFullSpeedLoads(n int) View {
	f.atOnce = min(max(n, 1), atOnceLimit)
	return f
}

// WithBackends returns a floor with the runners of the platform's list.
func (f View) WithBackends(list buckthorndyke.Backends, now buckthorndyke.Millis) View {
	for id, s := range f.stages.All() {
		if b, ok := list.Servers.Get(id); !ok || b.Incarnation != s.backend.Incarnation {
			f.stages = f.stages.Without(id)
		}
	}
	for id, b := range list.Servers.All() {
		s, ok := f.stages.Get(id)
		if !ok {
			f.stages = f.stages.With(id, stage{backend: b, orders: unknown})
			continue
		}
		// What the runner holds is taken from its reports: entries of the list are
		// older by an unknown time.
		if s.order == nil && now >= s.changed+ownLife && !sameModels(s.backend, b) {
			s.orders = unknown
		}
		s.backend.Address, s.backend.Leaving = b.Address, b.Leaving
		f.stages = f.stages.With(id, s)
	}
	return f
}

// WithDemand returns a floor that holds the report of vm.
func (f View) WithDemand(vm buckthorndyke.VMID, lines []buckthorndyke.DemandEntry, now buckthorndyke.Millis) View {
	f.demand = f.demand.WithReport(vm, lines, now)
	return f
}

// WithDone returns a floor on which an order has been carried out. It is
// unchanged if another order is outstanding on that runner.
func (f View) WithDone(i PlannedOrder, now buckthorndyke.Millis) View {
	s, ok := f.stages.Get(i.Runner)
	if !ok || s.order == nil || !s.order.is(i) {
		return f
	}
	f = f.withLoadTime(s, now)
	f.stages = f.stages.With(i.Runner, s.withDone(now))
	return f
}

// WithFailed returns a floor on which an order was not accepted. It is unchanged
// if another order is outstanding on that runner.
func (f View) WithFailed(i PlannedOrder, now buckthorndyke.Millis) View {
	id := i.Runner
	s, ok := f.stages.Get(id)
	if !ok || s.order == nil || !s.order.is(i) {
		return f
	}
	s.order = nil
	s.goal = ""
	s.orders = unknown
	s.retryAt = now + refusedPause
	f.stages = f.stages.With(id, s)
	return f
}

// WithOrder returns a floor on which a runner has an outstanding order.
func (f View) WithOrder(o PlannedOrder, now buckthorndyke.Millis) View {
	s, ok := f.stages.Get(o.Runner)
	if !ok {
		return f
	}
	s.order = &pending{adapter: o.Adapter, kind: o.Kind, model: o.Model, sent: now, tier: o.Tier}
	if o.Adapter == "" {
		s.goal = o.TargetModel
	}
	if !o.FromWeightStore() {
		f.stages = f.stages.With(o.Runner, s)
		return f
	}
	s.order.beside = f.remoteLoads() + 1
	f = f.withBeside(s.order.beside)
	f.stages = f.stages.With(o.Runner, s)
	f.remote = append(f.loadsSince(now-loadWindow), now)
	return f
}

// WithReport returns a floor with a runner's own report of now. It ends an order
// that the report shows to be carried out or lost.
func (f View) WithReport(r buckthorndyke.BackendReport, now buckthorndyke.Millis) View {
	id := r.Backend.ID
	s, ok := f.stages.Get(id)
	if !ok || s.backend.Incarnation != r.Backend.Incarnation || s.orders != unknown && r.AcceptedOrders < s.orders {
		return f
	}
	leaving := s.backend.Leaving
	s.backend = r.Backend
	s.backend.Leaving = leaving
	s.changed = now
	s.silent = 0
	s.orders = r.AcceptedOrders
	s.busy = s.order == nil && r.Busy
	if s.busy {
		// Another leader's order is being carried out: what it changes would not
		// show in the number of orders.
		s.orders = unknown
	}
	if o := s.order; o != nil && !r.Busy {
		switch {
		case o.settled(r.Backend):
			f = f.withLoadTime(s, now)
			s = s.withDone(now)
		case now >= o.sent+o.patience():
			s.order = nil
			s.goal = ""
		}
	}
	f.stages = f.stages.With(id, s)
	return f
}

// WithRouting returns a floor with another configuration.
func (f View) WithRouting(r buckthorndyke.Routing) View {
	f.routing = r
	return f
}

// WithSilence returns a floor on which a runner has not answered the question for
// its report.
func (f View) WithReportFailure(id buckthorndyke.RunnerID) View {
	if s, ok := f.stages.Get(id); ok {
		s.silent++
		f.stages = f.stages.With(id, s)
	}
	return f
}

// WithSlowLoads returns a floor that has learnt at now from loads that are under
// way for longer than they take at full speed.
func (f View) WithSlowLoads(now buckthorndyke.Millis) View {
	for id, s := range f.stages.All() {
		if s.order == nil || s.order.late || !f.slow(s, now) {
			continue
		}
		f = f.withShared(s, now)
		o := *s.order
		o.late = true
		s.order = &o
		f.stages = f.stages.With(id, s)
	}
	return f
}

// WithTerm returns a floor whose leader begins to lead at now: it knows no
// demand.
func (f View) WithTerm(now buckthorndyke.Millis) View {
	f.demand = Demand{}
	f.hearUntil = now + hearTime
	return f
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

// withBeside returns a floor on which the loads from the weight store that are under
// way share it with n at once.
func (f View) withBeside(n int) View {
	for id, s := range f.stages.All() {
		if s.order == nil || s.order.beside == 0 || s.order.beside >= n {
			continue
		}
		o := *s.order
		o.beside = n
		s.order = &o
		f.stages = f.stages.With(id, s)
	}
	return f
}

// withLoadTime returns a floor that has learnt from the end of a load how many
// loads at once the weight store allows at full speed: beyond these, each takes
// longer in proportion.
func (f View) withLoadTime(s stage, now buckthorndyke.Millis) View {
	if f.slow(s, now) {
		return f.withShared(s, now)
	}
	if o := s.order; o != nil && o.beside > f.atOnce && o.accepted {
		f.atOnce = min(o.beside, atOnceLimit)
	}
	return f
}

// withShared returns a floor that has learnt from the slow load of s.
func (f View) withShared(s stage, now buckthorndyke.Millis) View {
	o := s.order
	took := now - o.sent - reportLag
	shared := int(math.Round(float64(o.beside) * float64(f.loadTime(s)) / float64(took)))
	f.atOnce = max(min(shared, f.atOnce), f.atOnce/2, 1)
	return f
}

// loadTime returns how long the load of s from the weight store takes at full
// speed, or 0 if it loads nothing from there.
func (f View) loadTime(s stage) buckthorndyke.Millis {
	service, _ := f.routing.Services.Get(s.backend.Service)
	if service.Engine == nil || s.order == nil || s.order.beside == 0 {
		return 0
	}
	facts, _ := service.Engine.Models.Get(s.order.model)
	return facts.LoadTimes[buckthorndyke.TierRemote]
}

// slow reports whether the load of s from the weight store has taken, or takes by
// now, longer than at full speed.
func (f View) slow(s stage, now buckthorndyke.Millis) bool {
	full := f.loadTime(s)
	return full > 0 && s.order.accepted && (now-s.order.sent-reportLag)*1000 > full*slowLoad
}
