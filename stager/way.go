package stager

import "github.com/buckthorndyke/buckthorndyke"

// way is how a model can be brought to a runner.
type way struct {
	// cost weighs the time until the model is there and what is lost for it.
	cost float64
	// evict is the model that is unloaded first, or empty.
	evict buckthorndyke.ModelID
	tier  buckthorndyke.Tier
}

// way returns how the model of key, which is worth the given requests a second,
// can be brought to s, or false if it cannot or is not worth it.
func (p *planner) way(s stage, facts buckthorndyke.EngineConfig, key buckthorndyke.ModelKey, worth float64) (way, bool) {
	model, ok := facts.Models.Get(key.Model)
	if !ok {
		return way{}, false
	}
	out := way{tier: s.backend.Tier(key.Model)}
	if out.tier == buckthorndyke.TierRemote && !p.mayLoadRemote(facts, key) {
		return way{}, false
	}
	out.cost = float64(model.LoadTimes[out.tier]) / float64(buckthorndyke.Second)
	free := s.freeMB(facts)
	gone := make(map[buckthorndyke.ModelID]bool)
	if free < model.MemoryMB && p.now < p.hearUntil {
		return way{}, false
	}
	for free < model.MemoryMB {
		victim, lost, ok := p.victim(s, gone)
		if !ok || lost >= worth {
			return way{}, false
		}
		if out.evict == "" {
			out.evict = victim.Model
		}
		gone[victim.Model] = true
		worth -= lost
		out.cost += lost
		facts, _ := facts.Models.Get(victim.Model)
		free += facts.MemoryMB + len(victim.Adapters)*facts.AdapterMB
	}
	return out, true
}

// victim returns the model of s whose loss costs least, and that cost in
// requests a second.
func (p *planner) victim(s stage, gone map[buckthorndyke.ModelID]bool) (buckthorndyke.LoadedModel, float64, bool) {
	var best buckthorndyke.LoadedModel
	var least float64
	found := false
	for _, h := range s.backend.LoadedModels {
		if gone[h.Model] {
			continue
		}
		if lost := p.lost(s, h.Model); !found || lost < least {
			best, least, found = h, lost, true
		}
	}
	return best, least, found
}

// carried reports whether replicas of a model carry its running requests.
func (p *planner) carried(s stage, running, replicas int) bool {
	facts := p.facts(s.backend.Service)
	return facts != nil && running*1000 <= replicas*facts.Slots*spareBatch
}

// lost returns what it costs to unload a model of s, in requests a second.
func (p *planner) lost(s stage, model buckthorndyke.ModelID) float64 {
	key := buckthorndyke.ModelKey{Model: model, Service: s.backend.Service}
	lost := p.worth(key)
	if running := p.wants[key].running; running > 0 {
		lost += float64(running)
	}
	if replicas := p.replicas(key); replicas > 1 {
		switch {
		case !p.carried(s, p.wants[key].running, replicas-1):
			return lost
		case replicas == hotReplicas && p.rate(key) >= hotRate:
			return lost * secondReplica
		default:
			return spareReplica + spareReplica*lost
		}
	}
	if s.backend.Tier(model) == buckthorndyke.TierRemote {
		lost += coldCopy
	}
	return lost
}
