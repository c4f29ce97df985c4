package stager

import "github.com/buckthorndyke/buckthorndyke"

// oldestAdapter returns the adapter of a runner that was used least lately and
// is not in use.
func (p *planner) oldestAdapter(s stage) (buckthorndyke.ModelID, string, bool) {
	var oldest buckthorndyke.ModelID
	var adapter string
	var least float64
	found := false
	for _, h := range s.backend.LoadedModels {
		for _, a := range h.Adapters {
			key := buckthorndyke.ModelKey{Adapter: a, Model: h.Model, Service: s.backend.Service}
			if w := p.wants[key]; w.running > 0 || w.waiting > 0 {
				continue
			}
			if r := p.rate(key); !found || r < least {
				oldest, adapter, least, found = h.Model, a, r, true
			}
		}
	}
	return oldest, adapter, found
}

// placeAdapter gives the order that brings an adapter to the best runner that
// holds its model.
func (p *planner) placeAdapter(w want, facts buckthorndyke.EngineConfig) {
	var best stage
	found := false
	for _, id := range p.free {
		s, _ := p.stages.Get(id)
		if s.backend.Service != w.key.Service || !s.holds(w.key.Base()) {
			continue
		}
		if !found || s.adapters() < best.adapters() {
			best, found = s, true
		}
	}
	if !found {
		return
	}
	model, _ := facts.Models.Get(w.key.Model)
	if best.adapters() < facts.AdapterSlots && best.freeMB(facts) >= model.AdapterMB {
		p.add(PlannedOrder{
			Adapter: w.key.Adapter, Kind: buckthorndyke.OrderLoad, Model: w.key.Model, Runner: best.backend.ID,
			Tier: buckthorndyke.TierRemote,
		})
		return
	}
	if model, adapter, ok := p.oldestAdapter(best); ok {
		p.add(PlannedOrder{Adapter: adapter, Kind: buckthorndyke.OrderUnload, Model: model, Runner: best.backend.ID})
	}
}
