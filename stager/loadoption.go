package stager

import "github.com/buckthorndyke/buckthorndyke"

// loadOption is a way to load a model on a runner.
type loadOption struct {
	// cost serves to compare options: it is the load time in seconds plus the cost of the
	// models to evict in requests per second, added without conversion.
	cost float64
	// evict is the model to unload first, or empty.
	evict buckthorndyke.ModelID
	// evictions is the number of models to unload first.
	evictions int
	// duration is the time from the order to load until VMs are told that it is loaded.
	duration buckthorndyke.Millis
	tier     buckthorndyke.Tier
}

// evictionCost returns the cost of unloading a model of s, in requests per second.
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

// loadOption returns how to load the model of key on s. It returns false if that is
// not possible, or if the models to evict cost more than value, the benefit in
// requests per second.
func (p *planner) loadOption(s runnerState, cfg buckthorndyke.EngineConfig, key buckthorndyke.ModelKey, value float64) (loadOption, bool) {
	model, ok := cfg.Models.Get(key.Model)
	if !ok {
		return loadOption{}, false
	}
	option := loadOption{tier: s.backend.Tier(key.Model)}
	if option.tier == buckthorndyke.TierRemote && !p.mayLoadRemote(cfg, key) {
		return loadOption{}, false
	}
	option.duration = p.loadDuration(key, option.tier)
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
		option.evictions++
		evicted[victim.Model] = true
		value -= cost
		option.cost += cost
		victimCfg, _ := cfg.Models.Get(victim.Model)
		free += victimCfg.MemoryMB + len(victim.Adapters)*victimCfg.AdapterMB
	}
	return option, true
}

// replicasSuffice reports whether the given number of replicas has capacity for the
// running requests of a model.
func (p *planner) replicasSuffice(s runnerState, running, replicas int) bool {
	cfg := p.engineConfig(s.backend.Service)
	return cfg != nil && running*1000 <= replicas*cfg.Slots*redundantBatchPermille
}

// victim returns the model of s that is the cheapest to evict and its cost in
// requests per second. It leaves out the models in evicted, and one whose load may not be
// complete.
func (p *planner) victim(s runnerState, evicted map[buckthorndyke.ModelID]bool) (buckthorndyke.LoadedModel, float64, bool) {
	var best buckthorndyke.LoadedModel
	var least float64
	found := false
	for _, loaded := range s.backend.LoadedModels {
		if evicted[loaded.Model] || s.predicted != nil && s.predicted.order.model == loaded.Model {
			continue
		}
		if cost := p.evictionCost(s, loaded.Model); !found || cost < least {
			best, least, found = loaded, cost, true
		}
	}
	return best, least, found
}
