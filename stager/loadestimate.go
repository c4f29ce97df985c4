package stager

import "github.com/buckthorndyke/buckthorndyke"

// LoadEstimates predicts when the models and adapters that requests in entries wait
// for are loaded. It leaves out those that are neither being loaded nor waiting for
// the weight store.
func (v View) LoadEstimates(entries []buckthorndyke.DemandEntry, now buckthorndyke.Millis) []buckthorndyke.LoadEstimate {
	var out []buckthorndyke.LoadEstimate
	for _, entry := range entries {
		if entry.Waiting == 0 {
			continue
		}
		in, ok := v.loadEstimate(entry.Key, now)
		if !ok {
			in, ok = v.queuedLoadEstimate(entry.Key)
		}
		if ok {
			out = append(out, buckthorndyke.LoadEstimate{Key: entry.Key, ReadyIn: in})
		}
	}
	return out
}

// loadEstimate returns the time until a runner has loaded the model of key, or false
// if none has or loads it.
func (v View) loadEstimate(key buckthorndyke.ModelKey, now buckthorndyke.Millis) (buckthorndyke.Millis, bool) {
	var least buckthorndyke.Millis
	found := false
	for _, s := range v.runners.All() {
		if s.backend.Service != key.Service {
			continue
		}
		if in, ok := v.runnerLoadEstimate(s, key, now); ok && (!found || in < least) {
			least, found = in, true
		}
	}
	return least, found
}

// queuedLoadEstimate returns the time until a model that only the weight store has is
// loaded, if the store serves no further load at full speed.
func (v View) queuedLoadEstimate(key buckthorndyke.ModelKey) (buckthorndyke.Millis, bool) {
	service, _ := v.routing.Services.Get(key.Service)
	if service.Engine == nil {
		return 0, false
	}
	for _, s := range v.runners.All() {
		if s.backend.Service == key.Service && !s.unresponsive() && s.backend.Tier(key.Model) != buckthorndyke.TierRemote {
			return 0, false
		}
	}
	active := v.activeRemoteLoads()
	if active < v.fullSpeedLoads {
		return 0, false
	}
	model, _ := service.Engine.Models.Get(key.Model)
	full := model.LoadTimes[buckthorndyke.TierRemote]
	// The first of the loads in progress ends, then the model itself is loaded.
	return full/buckthorndyke.Millis(active+1) + full + reportLag, true
}

// runnerLoadEstimate returns the time until s has loaded the model of key, or false if it
// has not loaded it and is not loading it.
func (v View) runnerLoadEstimate(s runnerState, key buckthorndyke.ModelKey, now buckthorndyke.Millis) (buckthorndyke.Millis, bool) {
	switch {
	case s.holds(key.Base()):
		return 0, true
	case s.isLoading(key.Base()) && s.pending != nil && s.pending.kind == buckthorndyke.OrderLoad && s.pending.model == key.Model:
		return max(s.pending.sent+v.loadDuration(key, s.pending.tier)-now, predictionMargin), true
	case s.isLoading(key.Base()):
		return unloadTime + v.loadDuration(key, s.backend.Tier(key.Model)), true
	default:
		return 0, false
	}
}
