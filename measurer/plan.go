package main

import (
	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/evictor"
)

// plan lists the next loads and evictions on a runner.
type plan struct {
	// evict are the models to evict.
	evict []buckthorndyke.ModelID
	// loads are the loads that fit into memory together once evict is done.
	loads []load
	// paused are the models on which no requests start; preempted are those whose
	// free requests are preempted for paid requests.
	paused, preempted map[buckthorndyke.ModelID]bool
	// wakeAt is the earliest time at which an idle model may be evicted, or 0.
	wakeAt buckthorndyke.Millis
}

// planner computes the plan of one runner as its steward would.
type planner struct {
	busy    map[buckthorndyke.ModelID]bool
	now     buckthorndyke.Millis
	runner  *runner
	waiting []buckthorndyke.Waiter
}

func newPlanner(r *runner, now buckthorndyke.Millis) planner {
	return planner{busy: r.busyModels(), now: now, runner: r, waiting: r.admission.Waiting()}
}

// plan returns the loads and evictions that are due now.
func (p planner) plan() plan {
	next := plan{
		preempted: make(map[buckthorndyke.ModelID]bool),
		paused:    make(map[buckthorndyke.ModelID]bool),
	}
	p.planLoads(&next)
	if len(next.evict) == 0 {
		p.planIdleEvictions(&next)
	}
	return next
}

// candidates returns the loaded models that could be evicted for d. With preempt
// set, models with requests in flight are among them, and those with fewer
// requests in flight are worth less.
func (p planner) candidates(d buckthorndyke.ModelDemand, preempt bool) []evictor.Candidate {
	running := make(map[buckthorndyke.ModelID]int)
	for _, w := range p.runner.admission.Running() {
		running[w.Model]++
	}
	var candidates []evictor.Candidate
	for model, have := range p.runner.residents.All() {
		c := evictor.Candidate{
			Base: have.rule.Base, MemoryMB: have.rule.MemoryMB, Model: model, Paid: have.paid,
			InUse: p.waitsBefore(model, d) || p.runner.loading != nil && p.runner.loading.rule.Base == model,
			Worth: p.runner.keepWarm.Worth(model, p.loadTime(have.rule), p.now),
		}
		if preempt {
			c.Worth = float64(running[model])
		} else {
			c.InUse = c.InUse || running[model] > 0
		}
		candidates = append(candidates, c)
	}
	return candidates
}

// loadTime returns the time that loading a model again takes.
func (p planner) loadTime(rule buckthorndyke.ModelRule) buckthorndyke.Millis {
	return loadTime(p.runner.tiers[rule.ID], rule)
}

// planIdleEvictions plans the eviction of models that have been idle for as
// long as the keep-warm policy keeps them.
func (p planner) planIdleEvictions(next *plan) {
	used := make(map[buckthorndyke.ModelID]bool)
	for _, w := range p.waiting {
		used[w.Model] = true
		if rule, ok := p.runner.rules.Models.Get(w.Model); ok {
			used[rule.PlacementModel()] = true
		}
	}
	for model, have := range p.runner.residents.All() {
		if used[model] || p.busy[model] || p.runner.hasAdapterOf(model) {
			continue
		}
		until := have.lastUsed + p.runner.keepWarm.KeepFor(model, p.loadTime(have.rule))
		switch {
		case until <= p.now:
			next.evict = append(next.evict, model)
		case next.wakeAt == 0 || until < next.wakeAt:
			next.wakeAt = until
		}
	}
}

// planLoads plans the loads that requests wait for, in the order of demand, and
// the evictions for the first load that does not fit. After a load that waits
// for memory, only adapters for paid requests are loaded.
func (p planner) planLoads(next *plan) {
	free := p.runner.freeMB()
	blocked := false
	planned := make(map[buckthorndyke.ModelID]bool)
	var keep []buckthorndyke.ModelID
	for _, d := range p.runner.admission.Demand() {
		rule, _ := p.runner.rules.Models.Get(d.Model)
		keep = append(keep, rule.PlacementModel())
		l, ok := p.requiredLoad(d)
		if !ok || planned[l.rule.ID] || blocked && (!l.rule.IsAdapter() || !d.Rank.Paid()) {
			continue
		}
		if l.rule.MemoryMB > free && !blocked {
			free += p.planVictims(next, d, l.rule.MemoryMB-free, keep)
		}
		if l.rule.MemoryMB > free {
			blocked = true
			continue
		}
		planned[l.rule.ID] = true
		free -= l.rule.MemoryMB
		next.loads = append(next.loads, l)
	}
}

// planVictims plans the evictions for a load that does not fit, and returns the
// memory that they free. If that needs models in use and the load is for paid
// requests, it pauses new requests for some of them and preempts their free
// requests instead.
func (p planner) planVictims(next *plan, d buckthorndyke.ModelDemand, needMB int, keep []buckthorndyke.ModelID) int {
	if p.runner.loading != nil || len(next.evict) > 0 {
		return 0
	}
	next.evict = evictor.ChooseVictims(p.candidates(d, false), needMB, d.Rank, keep...)
	freed := 0
	for _, victim := range next.evict {
		have, _ := p.runner.residents.Get(victim)
		freed += have.rule.MemoryMB
	}
	if freed > 0 || !d.Rank.Paid() {
		return freed
	}
	for _, victim := range evictor.ChooseVictims(p.candidates(d, true), needMB, d.Rank, keep...) {
		next.paused[victim] = true
		next.preempted[victim] = true
	}
	return 0
}

// requiredLoad returns the load that d needs first, that of the base or of the
// model itself, or false if d has to wait for a load that is running or needs
// none.
func (p planner) requiredLoad(d buckthorndyke.ModelDemand) (load, bool) {
	rule, _ := p.runner.rules.Models.Get(d.Model)
	if rule.IsAdapter() && !p.runner.loadedOrLoading(rule.Base) {
		rule, _ = p.runner.rules.Models.Get(rule.Base)
	}
	if p.runner.loadedOrLoading(rule.ID) || rule.IsAdapter() && !p.runner.loaded(rule.Base) {
		return load{}, false
	}
	return load{rank: d.Rank, rule: rule}, true
}

// waitsBefore reports whether a request that waits for model precedes d.
func (p planner) waitsBefore(model buckthorndyke.ModelID, d buckthorndyke.ModelDemand) bool {
	for _, w := range p.waiting {
		if w.Model == model && (w.Rank < d.Rank || w.Rank == d.Rank && w.Arrived < d.Arrived) {
			return true
		}
	}
	return false
}
