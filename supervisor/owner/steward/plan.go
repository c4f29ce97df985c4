package steward

import (
	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/evictor"
)

// load is a planned load.
type load struct {
	rank buckthorndyke.Rank
	rule buckthorndyke.ModelRule
}

// plan lists the next loads and the next eviction on the runner.
type plan struct {
	// evict is the model to unload, or empty.
	evict buckthorndyke.ModelID
	// loads are the loads that fit into memory together, in the order in which they
	// should be done.
	loads []load
	// paused are the models on which no requests start.
	paused map[buckthorndyke.ModelID]bool
	// preempted are the models whose free requests are preempted for paid requests.
	preempted map[buckthorndyke.ModelID]bool
	// wakeAt is the earliest time at which an idle model may be evicted, or 0.
	wakeAt buckthorndyke.Millis
}

// mayOvertake reports whether l may precede a load that waits for memory: l must be
// a load of an adapter for a paid request, whose base stays loaded.
func (p plan) mayOvertake(l load) bool {
	return l.rule.IsAdapter() && l.rank.Paid() && p.evict == "" && !p.paused[l.rule.Base]
}

// planner computes plans. It has no side effects.
type planner struct {
	admission buckthorndyke.AdmissionPolicy
	cached    map[buckthorndyke.ModelID]buckthorndyke.Tier
	// evictable is set if all jobs on the runner are known, so that models can be
	// evicted.
	evictable bool
	keepWarm  buckthorndyke.KeepWarmPolicy
	// makeRoom is set if orders can be issued. Otherwise nothing is evicted for loads.
	makeRoom       bool
	memory         memoryAccount
	now            buckthorndyke.Millis
	refusedDemands refusedDemands
	// retryAt holds the times before which models get no orders, because their last
	// order failed.
	retryAt buckthorndyke.Table[buckthorndyke.ModelID, buckthorndyke.Millis]
	times   loadTimes
	view    View
	// waiting holds the waiting requests.
	waiting []buckthorndyke.Waiter
}

// candidates returns the residents that could be evicted for d. A resident is in use
// while requests are in flight on it, unless preempt is set, and while requests wait
// for it that precede d. If preempt is set, residents with fewer requests in flight
// are worth less.
func (p planner) candidates(d buckthorndyke.ModelDemand, preempt bool) []evictor.Candidate {
	var candidates []evictor.Candidate
	for model, r := range p.memory.residents.All() {
		inFlight := p.admission.InFlight(model)
		c := evictor.Candidate{
			Base: r.base, MemoryMB: r.memoryMB, Model: model, Paid: r.paid,
			InUse: r.loading || p.unavailable(model) || p.hasEarlierWaiter(model, d),
			Worth: p.keepWarm.Worth(model, p.loadTime(model, r.memoryMB), p.now),
		}
		if preempt {
			c.Worth = float64(inFlight)
		} else {
			c.InUse = c.InUse || inFlight > 0
		}
		candidates = append(candidates, c)
	}
	return candidates
}

// hasEarlierWaiter reports whether a request that waits for model precedes d: it has
// a more urgent rank, or the same rank and an earlier arrival.
func (p planner) hasEarlierWaiter(model buckthorndyke.ModelID, d buckthorndyke.ModelDemand) bool {
	for _, w := range p.waiting {
		if w.Model != model {
			continue
		}
		if w.Rank < d.Rank || w.Rank == d.Rank && w.Arrived < d.Arrived {
			return true
		}
	}
	return false
}

// loadTime returns the expected time to load model again from the tier that caches
// it.
func (p planner) loadTime(model buckthorndyke.ModelID, memoryMB int) buckthorndyke.Millis {
	return p.times.expected(tierOf(p.cached, model), memoryMB)
}

// neededLoad returns the load that d needs first: that of the base model if the base
// is missing, otherwise that of the model itself. It returns false if no load is
// needed or possible.
func (p planner) neededLoad(d buckthorndyke.ModelDemand) (load, bool) {
	rule, ok := p.view.State.Rules.Models.Get(d.Model)
	if !ok || !p.view.permits(d.Model) {
		return load{}, false
	}
	if rule.IsAdapter() && !p.memory.isPresent(rule.Base) {
		if rule, ok = p.view.State.Rules.Models.Get(rule.Base); !ok {
			return load{}, false
		}
	}
	if p.memory.isPresent(rule.ID) || rule.IsAdapter() && !p.memory.loaded(rule.Base) {
		return load{}, false
	}
	if at, delayed := p.retryAt.Get(rule.ID); delayed && at > p.now {
		return load{}, false
	}
	return load{rank: d.Rank, rule: rule}, true
}

// next computes the plan.
func (p planner) next() plan {
	next := plan{
		paused:    make(map[buckthorndyke.ModelID]bool),
		preempted: make(map[buckthorndyke.ModelID]bool),
	}
	p.waiting = p.admission.Waiting()
	p.planWithdrawn(&next)
	p.planLoads(&next)
	if next.evict == "" {
		p.planIdleEviction(&next)
	}
	if !p.evictable {
		next.evict = ""
	}
	return next
}

// planEviction plans an eviction for a load that does not fit. If no set of unused
// models is large enough and d is paid, it selects models in use: no requests start
// on them and their free requests are preempted.
func (p planner) planEviction(next *plan, d buckthorndyke.ModelDemand, needMB int, keep []buckthorndyke.ModelID) {
	victims := evictor.ChooseVictims(p.candidates(d, false), needMB, d.Rank, keep...)
	if len(victims) > 0 {
		if next.evict == "" {
			next.evict = victims[0]
		}
		return
	}
	if !d.Rank.Paid() || d.Waiting == 0 {
		return
	}
	for _, victim := range evictor.ChooseVictims(p.candidates(d, true), needMB, d.Rank, keep...) {
		next.paused[victim] = true
		next.preempted[victim] = true
	}
}

// planIdleEviction plans the eviction of a model that has been idle for longer than
// its keep-warm time, or sets wakeAt to the first time at which one will be.
func (p planner) planIdleEviction(next *plan) {
	used := make(map[buckthorndyke.ModelID]bool)
	for _, w := range p.waiting {
		used[w.Model] = true
		if rule, ok := p.view.State.Rules.Models.Get(w.Model); ok {
			used[rule.PlacementModel()] = true
		}
	}
	for model, r := range p.memory.residents.All() {
		if r.loading || used[model] || p.refusedDemands.has(model) || p.unavailable(model) || p.admission.InFlight(model) > 0 || p.memory.hasAdapterOf(model) {
			continue
		}
		until := r.lastUsed + p.keepWarm.KeepFor(model, p.loadTime(model, r.memoryMB))
		if until <= p.now {
			next.evict = model
			return
		}
		if next.wakeAt == 0 || until < next.wakeAt {
			next.wakeAt = until
		}
	}
}

// planLoads plans the loads that requests wait for, in order of demand, and the
// eviction that the first load that does not fit needs. Later loads wait for that
// one, unless they may overtake it.
func (p planner) planLoads(next *plan) {
	free := p.memory.freeMB()
	blocked := false
	planned := make(map[buckthorndyke.ModelID]bool)
	var keep []buckthorndyke.ModelID
	for _, d := range p.refusedDemands.appendTo(p.admission.Demand()) {
		if rule, ok := p.view.State.Rules.Models.Get(d.Model); ok {
			keep = append(keep, rule.PlacementModel())
		}
		l, ok := p.neededLoad(d)
		if !ok || planned[l.rule.ID] {
			continue
		}
		if blocked && !next.mayOvertake(l) {
			continue
		}
		if l.rule.MemoryMB <= free {
			planned[l.rule.ID] = true
			free -= l.rule.MemoryMB
			next.loads = append(next.loads, l)
			continue
		}
		if !blocked && p.makeRoom && p.evictable {
			p.planEviction(next, d, l.rule.MemoryMB-free, keep)
		}
		blocked = true
	}
}

// planWithdrawn pauses models that are no longer permitted on the runner and plans
// their eviction once their requests have ended.
func (p planner) planWithdrawn(next *plan) {
	for model := range p.memory.residents.All() {
		if p.view.permits(model) {
			continue
		}
		next.paused[model] = true
		r, _ := p.memory.residents.Get(model)
		if r.loading || p.unavailable(model) || p.admission.InFlight(model) > 0 || p.memory.hasAdapterOf(model) {
			continue
		}
		next.evict = model
	}
}

// unavailable reports whether no order for model can be issued, because it is being
// unloaded or is delayed after a failed order.
func (p planner) unavailable(model buckthorndyke.ModelID) bool {
	at, delayed := p.retryAt.Get(model)
	return p.memory.unloading(model) || delayed && at > p.now
}

// tierOf returns the tier that model is loaded from.
func tierOf(cached map[buckthorndyke.ModelID]buckthorndyke.Tier, model buckthorndyke.ModelID) buckthorndyke.Tier {
	if tier, ok := cached[model]; ok {
		return tier
	}
	return buckthorndyke.TierRemote
}
