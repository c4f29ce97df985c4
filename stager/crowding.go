package stager

import (
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// crowdedBatchPermille is the batch use of a model's runners by its own requests, in
	// thousandths of their slots, from which on they are crowded, and relievedBatchPermille
	// that below which they no longer are.
	crowdedBatchPermille  = 750
	relievedBatchPermille = 500
	// crowdedRunnerCost is added to the cost of a load on a crowded runner, in seconds.
	crowdedRunnerCost = 1.0
)

// WithCrowding returns a view that knows the runners whose batch a single model needs, and
// the other models there whose requests their other replicas should take. A runner is
// crowded while a model's requests fill most of its batch and no further replica will be
// loaded before requests stop waiting.
func (v View) WithCrowding(now buckthorndyke.Millis) View {
	holders := v.holders()
	crowded := v.crowdedRunners(holders, now)
	for id, s := range v.runners.All() {
		hot, full := crowded[id]
		spared := sparedModels(s, hot, holders, crowded)
		if full == s.crowded && slices.Equal(spared, s.spared) {
			continue
		}
		if !slices.Equal(spared, s.spared) {
			s.changedAt = now
		}
		s.crowded, s.spared = full, spared
		v.runners = v.runners.With(id, s)
	}
	return v
}

// CrowdedRunners returns the number of crowded runners.
func (v View) CrowdedRunners() int {
	n := 0
	for _, s := range v.runners.All() {
		if s.crowded {
			n++
		}
	}
	return n
}

// crowdedRunners returns the runners whose batch a single model needs, with that model.
func (v View) crowdedRunners(
	holders map[buckthorndyke.ModelKey][]buckthorndyke.RunnerID, now buckthorndyke.Millis,
) map[buckthorndyke.RunnerID]buckthorndyke.ModelID {
	demands := v.demand.WithoutExpired(now).totals()
	crowded := make(map[buckthorndyke.RunnerID]buckthorndyke.ModelID)
	for key, ids := range holders {
		if !v.fillsBatches(demands[key], ids) || v.loadedSoon(key, now) {
			continue
		}
		for _, id := range ids {
			crowded[id] = key.Model
		}
	}
	return crowded
}

// holders returns the runners that have loaded each model and take requests for it.
func (v View) holders() map[buckthorndyke.ModelKey][]buckthorndyke.RunnerID {
	out := make(map[buckthorndyke.ModelKey][]buckthorndyke.RunnerID)
	for id, s := range v.runners.All() {
		if s.backend.Leaving {
			continue
		}
		for _, loaded := range s.backend.LoadedModels {
			if key := (buckthorndyke.ModelKey{Model: loaded.Model, Service: s.backend.Service}); s.holds(key) {
				out[key] = append(out[key], id)
			}
		}
	}
	return out
}

// loadedSoon reports whether a load in progress of the model of key ends before requests
// stop waiting.
func (v View) loadedSoon(key buckthorndyke.ModelKey, now buckthorndyke.Millis) bool {
	for _, s := range v.runners.All() {
		if !s.isLoading(key) {
			continue
		}
		if in, ok := v.runnerLoadEstimate(s, key, now); ok && in <= v.patience[key.Service] {
			return true
		}
	}
	return false
}

// fillsBatches reports whether the running requests of d fill most of the batches of the
// runners that have loaded its model.
func (v View) fillsBatches(d totalDemand, ids []buckthorndyke.RunnerID) bool {
	service, _ := v.routing.Services.Get(d.key.Service)
	if service.Engine == nil {
		return false
	}
	permille := crowdedBatchPermille
	for _, id := range ids {
		if s, _ := v.runners.Get(id); s.crowded {
			permille = relievedBatchPermille
		}
	}
	return d.running > 0 && d.running*1000 >= len(ids)*service.Engine.Slots*permille
}

// sparedModels returns the models on s other than hot, which fills its batch, that a runner
// that is not crowded has loaded as well.
func sparedModels(
	s runnerState, hot buckthorndyke.ModelID, holders map[buckthorndyke.ModelKey][]buckthorndyke.RunnerID,
	crowded map[buckthorndyke.RunnerID]buckthorndyke.ModelID,
) []buckthorndyke.ModelID {
	if hot == "" {
		return nil
	}
	var out []buckthorndyke.ModelID
	for _, loaded := range s.backend.LoadedModels {
		others := holders[buckthorndyke.ModelKey{Model: loaded.Model, Service: s.backend.Service}]
		hasOther := slices.ContainsFunc(others, func(id buckthorndyke.RunnerID) bool { _, full := crowded[id]; return !full })
		if loaded.Model != hot && hasOther {
			out = append(out, loaded.Model)
		}
	}
	return out
}

// closed returns the models that take no new requests: those that are being unloaded, and
// those whose other replicas should take them.
func (s runnerState) closed() []buckthorndyke.ModelID {
	out := s.unloading()
	for _, model := range s.spared {
		if _, loaded := s.backend.LoadedModel(model); loaded && !slices.Contains(out, model) {
			out = append(out, model)
		}
	}
	return out
}
