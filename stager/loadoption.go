package stager

import "github.com/buckthorndyke/buckthorndyke"

// way is how a model can be brought to a runner.
type loadOption struct {
	// cost weighs the time until the model is there and what is lost for it.
	cost float64
	// evict is the model that is unloaded first, or empty.
	evict buckthorndyke.ModelID
	tier  buckthorndyke.Tier
}

// lost returns what it costs to unload a model of s, in requests a second.
func (p *planner) evictionCost(s runnerState, model buckthorndyke.ModelID) float64 {
	key := buckthorndyke.ModelKey{Model: model, Service: s.backend.Service}
	cost := p.value(key)
	if running := p.demands[key].running; running > 0 {
		cost += float64(running)
	}
	if replicas := p.replicas(key); replicas > 1 {
		switch {
		case !p.replicasSuffice(s, p.demands[key].running, replicas-1):
			return cost
		case replicas == minHotReplicas && p.rate(key) >= hotRate:
			return cost * secondReplicaFactor
		default:
			return redundantReplicaCost + redundantReplicaCost*cost
		}
	}
	if s.backend.Tier(model) == buckthorndyke.TierRemote {
		cost += remoteReloadCost
	}
	return cost
}

// way returns how the model of key, which is worth the given requests a second,
// can be brought to s, or false if it cannot or is not worth it.
func (p *planner) loadOption(s runnerState, cfg buckthorndyke.EngineConfig, key buckthorndyke.ModelKey, value float64) (loadOption, bool) {
	model, ok := cfg.Models.Get(key.Model)
	if !ok {
		return loadOption{}, false
	}
	option := loadOption{tier: s.backend.Tier(key.Model)}
	if option.tier == buckthorndyke.TierRemote && !p.mayLoadRemote(cfg, key) {
		return loadOption{}, false
	}
	option.cost = float64(model.LoadTimes[option.tier]) / float64(buckthorndyke.Second)
	free := s.freeMB(cfg)
	evicted := make(map[buckthorndyke.ModelID]bool)
	if free < model.MemoryMB && p.now < p.unloadsFrom {
		return loadOption{}, false
	}
	for free < model.MemoryMB {
		victim, cost, ok := p.victim(s, evicted)
		if !ok || cost >= value {
			return loadOption{}, false
		}
		if option.evict == "" {
			option.evict = victim.Model
		}
		evicted[victim.Model] = true
		value -= cost
		option.cost += cost
		victimCfg, _ := cfg.Models.Get(victim.Model)
		free += victimCfg.MemoryMB + len(victim.Adapters)*victimCfg.AdapterMB
	}
	return option, true
}

// carried reports whether replicas of a model carry its running requests.
func (p *planner) replicasSuffice(s runnerState, running, replicas int) bool {
	cfg := p.engineConfig(s.backend.Service)
	return cfg != nil && running*1000 <= replicas*cfg.Slots*redundantBatchPermille
}

// victim returns the model of s whose loss costs least, and that cost in
// requests a second.
func (p *planner) victim(s runnerState, evicted map[buckthorndyke.ModelID]bool) (buckthorndyke.LoadedModel, float64, bool) {
	var best buckthorndyke.LoadedModel
	var least float64
	found := false
	for _, h := range s.backend.LoadedModels {
		if evicted[h.Model] {
			continue
		}
		if cost := p.evictionCost(s, h.Model); !found || cost < least {
			best, least, found = h, cost, true
		}
	}
	return best, least, found
}
