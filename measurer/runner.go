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

// load is a load of a model or an adapter for work of a rank.
type load struct {
	rank buckthorndyke.Rank
	rule buckthorndyke.ModelRule
}

// runner models a runner and what its owner knows of it.
type runner struct {
	admission buckthorndyke.AdmissionPolicy
	id        buckthorndyke.RunnerID
	// idleSince is the instant up to which idle time was counted.
	idleSince buckthorndyke.Millis
	keepWarm  buckthorndyke.KeepWarmPolicy
	// loading is the load that runs until loadEnd.
	loading *load
	loadEnd buckthorndyke.Millis
	// cleared and held are models on which running free work is revoked and on
	// which no more work starts.
	paused, preempted map[buckthorndyke.ModelID]bool
	// asked is the load that the gate was asked for, as ask number askNumber, or
	// that it permitted.
	permitLoad   *load
	permitNumber int
	permitted    bool
	residents    buckthorndyke.Table[buckthorndyke.ModelID, resident]
	rules        buckthorndyke.Rules
	// tiers says where the runner finds checkpoints.
	tiers map[buckthorndyke.ModelID]buckthorndyke.Tier
	// wakeAt is the next instant at which the runner acts by itself, or 0.
	wakeAt buckthorndyke.Millis
}

// busyModels returns the models that work is in flight on, bases included.
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

// freeMB returns the memory that a load may take.
func (r *runner) freeMB() int {
	return runnerMemoryMB - r.usedMB()
}

// hasAdapterOf reports whether an adapter of base takes memory.
func (r *runner) hasAdapterOf(base buckthorndyke.ModelID) bool {
	for _, have := range r.residents.All() {
		if have.rule.Base == base {
			return true
		}
	}
	return r.loading != nil && r.loading.rule.Base == base
}

// idleMB returns the memory of models without work.
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

// loaded reports whether model can start work.
func (r *runner) loaded(model buckthorndyke.ModelID) bool {
	have, ok := r.residents.Get(model)
	return ok && (!have.rule.IsAdapter() || r.residents.Has(have.rule.Base))
}

// has reports whether model takes memory.
func (r *runner) loadedOrLoading(model buckthorndyke.ModelID) bool {
	return r.residents.Has(model) || r.loading != nil && r.loading.rule.ID == model
}

// loadWait predicts the time until model can start work.
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

// use records that w used its model, and so its base.
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

// report returns the summary that entry VMs choose by.
func (r *runner) report() buckthorndyke.RunnerReport {
	return buckthorndyke.RunnerReport{
		Busy: len(r.admission.Running()), Runner: r.id, Slots: runnerSlots, Waiting: r.admission.WaitingByRank(),
	}
}

// coldness returns what has to be loaded for work on model.
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

// usedMB returns the memory that is taken.
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

// view returns what admission needs to know.
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
