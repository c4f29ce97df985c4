package steward

import (
	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/evictor"
)

// load is a load that the plan asks for.
type load struct {
	rank buckthorndyke.Rank
	rule buckthorndyke.ModelRule
}

// plan is what should happen on the runner next. It is a value.
type plan struct {
	// evict is the model to evict, or empty.
	evict buckthorndyke.ModelID
	// loads are the loads that fit into memory together, in order.
	loads []load
	// held are models on which no more work starts.
	paused map[buckthorndyke.ModelID]bool
	// cleared are models whose free work makes room for paid work.
	preempted map[buckthorndyke.ModelID]bool
	// wake is the instant at which an idle model may be evicted, or 0.
	wakeAt buckthorndyke.Millis
}

// passes reports whether l may go ahead of a load that waits for room: it is a
// paid adapter's, whose base stays.
func (p plan) mayOvertake(l load) bool {
	return l.rule.IsAdapter() && l.rank.Paid() && p.evict == "" && !p.paused[l.rule.Base]
}

// planner makes plans. It is pure.
type planner struct {
	admission buckthorndyke.AdmissionPolicy
	cached    map[buckthorndyke.ModelID]buckthorndyke.Tier
	// evictable is set once no unknown work can be in flight.
	evictable bool
	keepWarm  buckthorndyke.KeepWarmPolicy
	// makeRoom is set while orders can be given, so that room is made for loads.
	makeRoom       bool
	memory         memoryAccount
	now            buckthorndyke.Millis
	refusedDemands refusedDemands
	// retryAt holds back models whose last load failed.
	retryAt buckthorndyke.Table[buckthorndyke.ModelID, buckthorndyke.Millis]
	times   loadTimes
	view    View
	// waiting are the waiting requests.
	waiting []buckthorndyke.Waiter
}

// candidates returns the residents that may make room for d. A resident counts
// as used while work is in flight on it, unless drain is set, and while work
// waits that goes before d.
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

// waitsBefore reports whether work that waits for model, or for one of its
// adapters, goes before d.
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

// loadTime returns what it takes to load model again, from the tier that caches
// it.
func (p planner) loadTime(model buckthorndyke.ModelID, memoryMB int) buckthorndyke.Millis {
	return p.times.expected(tierOf(p.cached, model), memoryMB)
}

// wanted returns the load that d needs first: that of the base, or its own.
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
	if at, held := p.retryAt.Get(rule.ID); held && at > p.now {
		return load{}, false
	}
	return load{rank: d.Rank, rule: rule}, true
}

// next returns the plan.
func (p planner) next() plan {
	next := plan{
		preempted: make(map[buckthorndyke.ModelID]bool),
		paused:    make(map[buckthorndyke.ModelID]bool),
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

// planRoom plans an eviction for a load that does not fit. If every victim is
// in use, paid work holds back younger work on some of them.
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

// planIdle plans the eviction of a model that was idle for its keep time.
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

// planLoads plans the loads that requests wait for, in their order, and the
// eviction that the first load without room needs. Loads behind that one wait,
// except for adapters of loaded models.
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

// planWithdrawn holds back work on models that are no longer permitted and
// plans their eviction once their work has ended.
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

// unavailable reports whether no order for model can be given: it is being
// evicted or its last order failed.
func (p planner) unavailable(model buckthorndyke.ModelID) bool {
	at, held := p.retryAt.Get(model)
	return p.memory.unloading(model) || held && at > p.now
}

// tierOf returns the tier that caches model.
func tierOf(cached map[buckthorndyke.ModelID]buckthorndyke.Tier, model buckthorndyke.ModelID) buckthorndyke.Tier {
	if tier, ok := cached[model]; ok {
		return tier
	}
	return buckthorndyke.TierRemote
}
