package stager

import "github.com/buckthorndyke/buckthorndyke"

// leastUsedAdapter returns the loaded adapter with the lowest request rate and its
// model, or false if all adapters of the runner are in use.
func (p *planner) leastUsedAdapter(s runnerState) (buckthorndyke.ModelID, string, bool) {
	var model buckthorndyke.ModelID
	var adapter string
	var least float64
	found := false
	for _, h := range s.backend.LoadedModels {
		for _, a := range h.Adapters {
			key := buckthorndyke.ModelKey{Adapter: a, Model: h.Model, Service: s.backend.Service}
			if d := p.demands[key]; d.running > 0 || d.waiting > 0 {
				continue
			}
			if r := p.rate(key); !found || r < least {
				model, adapter, least, found = h.Model, a, r, true
			}
		}
	}
	return model, adapter, found
}

// placeAdapter plans an order for the adapter of d on the runner that has its model
// and the fewest adapters: to load it, or to unload an idle adapter if there is no
// room.
func (p *planner) placeAdapter(d totalDemand, cfg buckthorndyke.EngineConfig) {
	var best runnerState
	found := false
	for _, id := range p.freeRunners {
		s, _ := p.runners.Get(id)
		if s.backend.Service != d.key.Service || !s.holds(d.key.Base()) {
			continue
		}
		if !found || s.adapterCount() < best.adapterCount() {
			best, found = s, true
		}
	}
	if !found {
		return
	}
	model, _ := cfg.Models.Get(d.key.Model)
	if best.adapterCount() < cfg.AdapterSlots && best.freeMB(cfg) >= model.AdapterMB {
		p.addOrder(PlannedOrder{
			Adapter: d.key.Adapter, Kind: buckthorndyke.OrderLoad, Model: d.key.Model, Runner: best.backend.ID,
			Tier: buckthorndyke.TierRemote,
		})
		return
	}
	if model, adapter, ok := p.leastUsedAdapter(best); ok {
		p.addOrder(PlannedOrder{Adapter: adapter, Kind: buckthorndyke.OrderUnload, Model: model, Runner: best.backend.ID})
	}
}
