package stager

import "github.com/buckthorndyke/buckthorndyke"

// loadOption is a way to load a model on a runner.
type loadOption struct {
	// cost serves to compare options: it is the load time in seconds plus the cost of the
	// models to evict in requests per second, added without conversion.
	cost float64
	// evict is the model to unload first, or empty.
	evict buckthorndyke.ModelID
	// evictionCost is the cost of the models to evict, in requests per second.
	evictionCost float64
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
	return p.reloadCost(s, key, cost)
}

// reloadCost returns the cost of evicting the model of key from s, its only replica, given
// the demand for it in requests per second. Requests that come while the model is loaded
// again are delayed, or lost if that takes longer than they wait.
func (p *planner) reloadCost(s runnerState, key buckthorndyke.ModelKey, demand float64) float64 {
	reload := p.reloadTime(key)
	patience, ok := p.patience[key.Service]
	cost := demand
	switch rate := p.rate(key); {
	case !ok || patience <= 0:
	case reload > patience:
		cost += waitingRequestValue * rate * float64(reload) / float64(buckthorndyke.Second)
	default:
		cost += rate * float64(reload) / float64(patience)
	}
	if !p.copiesOf(key).cached {
		cost += remoteReloadCost
	}
	ahead := p.reason == ReasonReplica || p.reason == ReasonCopy
	if ahead && demand > 0 && s.loadedSince(key.Model, p.now-unloadTime-reload) {
		cost = max(cost, recentLoadValue)
	}
	return cost
}

// reloadTime returns the time of a load of the model of key after its eviction: from the
// fastest copy, or from the weight store, whose loads in progress share its bandwidth.
func (p *planner) reloadTime(key buckthorndyke.ModelKey) buckthorndyke.Millis {
	if c := p.copiesOf(key); c.cached {
		return p.loadDuration(key, c.tier)
	}
	takes := p.loadDuration(key, buckthorndyke.TierRemote)
	return takes * buckthorndyke.Millis(max(p.remoteLoads+1, p.fullSpeedLoads)) / buckthorndyke.Millis(max(p.fullSpeedLoads, 1))
}

// evictionCosts returns the costs of unloading the loaded models of s, in their order.
func (p *planner) evictionCosts(s runnerState) []float64 {
	costs, ok := p.costs[s.backend.ID]
	if ok {
		return costs
	}
	costs = make([]float64, 0, len(s.backend.LoadedModels))
	for _, loaded := range s.backend.LoadedModels {
		costs = append(costs, p.evictionCost(s, loaded.Model))
	}
	p.costs[s.backend.ID] = costs
	return costs
}

// forgetCosts drops the costs that an order changes: those of its runner and, if it
// unloads a model, those of the runners that have loaded the model as well.
func (p *planner) forgetCosts(o PlannedOrder) {
	delete(p.costs, o.Runner)
	if o.Kind != buckthorndyke.OrderUnload || o.Adapter != "" {
		return
	}
	for id := range p.costs {
		s, _ := p.runners.Get(id)
		if _, loaded := s.backend.LoadedModel(o.Model); loaded {
			delete(p.costs, id)
		}
	}
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
		option.evictionCost += cost
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
	costs := p.evictionCosts(s)
	for i, loaded := range s.backend.LoadedModels {
		if evicted[loaded.Model] || s.predicted != nil && s.predicted.order.model == loaded.Model {
			continue
		}
		if !found || costs[i] < least {
			best, least, found = loaded, costs[i], true
		}
	}
	return best, least, found
}
