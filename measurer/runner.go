package main

import (
	"github.com/buckthorndyke/buckthorndyke"
)

// resident is a loaded model or adapter.
type resident struct {
	lastUsed buckthorndyke.Millis
	paid     bool
	rule     buckthorndyke.ModelRule
}

// load is a load of a model or adapter for requests of a rank.
type load struct {
	rank buckthorndyke.Rank
	rule buckthorndyke.ModelRule
}

// runner simulates a runner together with its steward.
type runner struct {
	admission buckthorndyke.AdmissionPolicy
	id        buckthorndyke.RunnerID
	// idleSince is the time up to which idle memory has been counted.
	idleSince buckthorndyke.Millis
	keepWarm  buckthorndyke.KeepWarmPolicy
	// loading is the current load, which ends at loadEnd, or nil.
	loading *load
	loadEnd buckthorndyke.Millis
	// paused are the models on which no requests start; preempted are those whose
	// free requests are preempted for paid requests.
	paused, preempted map[buckthorndyke.ModelID]bool
	// permitLoad is the load for which a permit was requested, under permitNumber.
	// permitted is set once it is granted.
	permitLoad   *load
	permitNumber int
	permitted    bool
	residents    buckthorndyke.Table[buckthorndyke.ModelID, resident]
	rules        buckthorndyke.Rules
	// tiers are the tiers that the runner loads checkpoints from.
	tiers map[buckthorndyke.ModelID]buckthorndyke.Tier
	// wakeAt is the time of the next scheduled applyPolicies, or 0.
	wakeAt buckthorndyke.Millis
}

// busyModels returns the models with requests in flight, and the bases of
// adapters with requests in flight.
func (r *runner) busyModels() map[buckthorndyke.ModelID]bool {
	busy := make(map[buckthorndyke.ModelID]bool)
	for _, w := range r.admission.Running() {
		busy[w.Model] = true
		if rule, ok := r.rules.Models.Get(w.Model); ok {
			busy[rule.PlacementModel()] = true
		}
	}
	return busy
}

// freeMB returns the memory that is free for loads.
func (r *runner) freeMB() int {
	return runnerMemoryMB - r.usedMB()
}

// hasAdapterOf reports whether an adapter of base is loaded or being loaded.
func (r *runner) hasAdapterOf(base buckthorndyke.ModelID) bool {
	for _, have := range r.residents.All() {
		if have.rule.Base == base {
			return true
		}
	}
	return r.loading != nil && r.loading.rule.Base == base
}

// idleMB returns the memory of loaded models that have no requests in flight.
func (r *runner) idleMB() int {
	busy := r.busyModels()
	idle := 0
	for model, have := range r.residents.All() {
		if !busy[model] {
			idle += have.rule.MemoryMB
		}
	}
	return idle
}

// loaded reports whether requests for model can start: it is loaded, and its
// base too if it is an adapter.
func (r *runner) loaded(model buckthorndyke.ModelID) bool {
	have, ok := r.residents.Get(model)
	return ok && (!have.rule.IsAdapter() || r.residents.Has(have.rule.Base))
}

// loadedOrLoading reports whether model takes memory.
func (r *runner) loadedOrLoading(model buckthorndyke.ModelID) bool {
	return r.residents.Has(model) || r.loading != nil && r.loading.rule.ID == model
}

// loadWait predicts the time until requests for model can start.
func (r *runner) loadWait(model buckthorndyke.ModelID, now buckthorndyke.Millis) buckthorndyke.Millis {
	var wait buckthorndyke.Millis
	if r.loading != nil {
		wait = max(r.loadEnd-now, 0)
	}
	rule, _ := r.rules.Models.Get(model)
	if rule.IsAdapter() && !r.loadedOrLoading(rule.Base) {
		base, _ := r.rules.Models.Get(rule.Base)
		wait += loadTime(r.tiers[base.ID], base)
	}
	if !r.loadedOrLoading(model) {
		wait += loadTime(r.tiers[model], rule)
	}
	return wait
}

// recordUse records that w used its model and the model's base.
func (r *runner) recordUse(w buckthorndyke.Waiter, now buckthorndyke.Millis) {
	have, ok := r.residents.Get(w.Model)
	if !ok {
		return
	}
	for {
		have.lastUsed, have.paid = now, w.Rank.Paid()
		r.residents = r.residents.With(have.rule.ID, have)
		base, ok := r.residents.Get(have.rule.Base)
		if !ok {
			return
		}
		have = base
	}
}

// report returns the report by which entry VMs choose a runner.
func (r *runner) report() buckthorndyke.RunnerReport {
	return buckthorndyke.RunnerReport{
		Busy: len(r.admission.Running()), Runner: r.id, Slots: runnerSlots, Waiting: r.admission.WaitingByRank(),
	}
}

// startKind returns what has to be loaded for a request for model.
func (r *runner) startKind(model buckthorndyke.ModelID) startKind {
	rule, _ := r.rules.Models.Get(model)
	switch {
	case r.loaded(model):
		return warmStart
	case rule.IsAdapter() && r.loaded(rule.Base):
		return coldAdapter
	default:
		return coldModel
	}
}

// usedMB returns the memory of loaded models and of the current load.
func (r *runner) usedMB() int {
	used := 0
	for _, have := range r.residents.All() {
		used += have.rule.MemoryMB
	}
	if r.loading != nil {
		used += r.loading.rule.MemoryMB
	}
	return used
}

// view returns the state that admission decides by.
func (r *runner) view(now buckthorndyke.Millis) buckthorndyke.AdmissionView {
	return buckthorndyke.AdmissionView{
		PreemptFree:  func(m buckthorndyke.ModelID) bool { return r.preempted[m] },
		StartsPaused: func(m buckthorndyke.ModelID) bool { return r.paused[m] },
		Loaded:       r.loaded,
		LoadWait:     func(m buckthorndyke.ModelID) buckthorndyke.Millis { return r.loadWait(m, now) },
		Now:          now,
		Rules:        r.rules,
		Slots:        runnerSlots,
	}
}
