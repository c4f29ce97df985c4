package stager

import (
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

// failedReportLimit is the number of consecutive failed requests for a report after
// which a runner counts as unresponsive.
const failedReportLimit = 2

// unknownOrders is the number of accepted orders of a runner that has not reported
// it.
const unknownOrders = -1

// pendingOrder is an order whose end is not known yet.
type pendingOrder struct {
	// accepted is set once the runner has replied that it carries out the order.
	accepted bool
	adapter  string
	// concurrentLoads is the greatest number of concurrent loads from the weight
	// store since this one was sent, including it. It is 0 for other orders.
	concurrentLoads int
	// foundSlow is set once the load has taken longer than at full speed.
	foundSlow bool
	kind      buckthorndyke.OrderKind
	model     buckthorndyke.ModelID
	// sent is the instant at which the order was sent.
	sent buckthorndyke.Millis
	// tier is the tier that the runner loads from.
	tier buckthorndyke.Tier
	// unpredictable is set if reports have contradicted the predicted end of the load.
	unpredictable bool
}

// completedIn reports whether b shows that the order was carried out.
func (o pendingOrder) completedIn(b buckthorndyke.Backend) bool {
	h, loaded := b.LoadedModel(o.model)
	switch {
	case o.adapter == "":
		return loaded == (o.kind == buckthorndyke.OrderLoad)
	case !loaded:
		return o.kind == buckthorndyke.OrderUnload
	default:
		return h.HasAdapter(o.adapter) == (o.kind == buckthorndyke.OrderLoad)
	}
}

// matches reports whether o is the order that was sent for want.
func (o pendingOrder) matches(want PlannedOrder) bool {
	return o.adapter == want.Adapter && o.kind == want.Kind && o.model == want.Model
}

// timeout returns how long the order may have no effect.
func (o pendingOrder) timeout() buckthorndyke.Millis {
	if o.accepted {
		return acceptedOrderTimeout
	}
	return orderTimeout
}

// loadEnd is the end of a load.
type loadEnd struct {
	at    buckthorndyke.Millis
	model buckthorndyke.ModelID
}

// runnerState is the leader's state of a runner.
type runnerState struct {
	// acceptedOrders is the number of orders that the runner has accepted, or
	// unknownOrders.
	acceptedOrders int64
	// backend combines the platform's list, the runner's reports and the effects of
	// the leader's own orders.
	backend buckthorndyke.Backend
	// busy is set if the runner reports that it carries out an order of another
	// leader.
	busy bool
	// changedAt is the instant at which the loaded models changed last, or 0.
	changedAt buckthorndyke.Millis
	// crowded is set while a model's requests need the runner's whole batch.
	crowded bool
	// earlyUnload is an unload that counts as carried out although no report shows it
	// yet, or nil.
	earlyUnload *earlyUnload
	// failedReports counts the consecutive failed requests for a report.
	failedReports int
	// knownAt is the instant of the last report or completed order.
	knownAt buckthorndyke.Millis
	// loads are the instants at which the models that this leader has loaded were complete.
	loads []loadEnd
	// pending is the outstanding order, or nil.
	pending *pendingOrder
	// predicted is a load that counts as complete although no report shows it yet, or nil.
	predicted *predictedLoad
	// retryAt is the instant from which on the runner may get another order.
	retryAt buckthorndyke.Millis
	// spared are the models whose requests their other replicas should take, because the
	// runner is crowded.
	spared []buckthorndyke.ModelID
	// targetModel is the model that is being loaded or that room is made for, or
	// empty.
	targetModel buckthorndyke.ModelID
}

// acceptsOrder reports whether the runner may get an order at now.
func (s runnerState) acceptsOrder(now buckthorndyke.Millis) bool {
	return !s.backend.Leaving && !s.unresponsive() && s.pending == nil && now >= s.retryAt && s.acceptedOrders != unknownOrders
}

// adapterCount returns the number of loaded adapters.
func (s runnerState) adapterCount() int {
	n := 0
	for _, h := range s.backend.LoadedModels {
		n += len(h.Adapters)
	}
	return n
}

// freeMB returns the free memory in megabytes, after the pending load and one that was
// wrongly predicted to be complete.
func (s runnerState) freeMB(cfg buckthorndyke.EngineConfig) int {
	free := cfg.MemoryMB
	for _, h := range s.backend.LoadedModels {
		m, _ := cfg.Models.Get(h.Model)
		free -= m.MemoryMB + len(h.Adapters)*m.AdapterMB
	}
	if s.pending != nil && s.pending.kind == buckthorndyke.OrderLoad {
		m, _ := cfg.Models.Get(s.pending.model)
		if _, loaded := s.backend.LoadedModel(s.pending.model); !loaded {
			free -= m.MemoryMB
		} else if s.pending.adapter != "" {
			free -= m.AdapterMB
		}
	}
	if s.predicted != nil {
		if _, loaded := s.backend.LoadedModel(s.predicted.order.model); !loaded {
			m, _ := cfg.Models.Get(s.predicted.order.model)
			free -= m.MemoryMB
		}
	}
	return free
}

// holds reports whether the runner has loaded the model or adapter of key and does
// not unload it.
func (s runnerState) holds(key buckthorndyke.ModelKey) bool {
	h, ok := s.backend.LoadedModel(key.Model)
	return ok && !s.unresponsive() && h.HasAdapter(key.Adapter) && !slices.Contains(s.unloading(), key.Model)
}

// isLoading reports whether the runner is loading the model or adapter of key.
func (s runnerState) isLoading(key buckthorndyke.ModelKey) bool {
	return slices.Contains(s.loadingKeys(), key)
}

// loadingKeys returns what the runner is loading or makes room for.
func (s runnerState) loadingKeys() []buckthorndyke.ModelKey {
	if s.unresponsive() {
		return nil
	}
	var keys []buckthorndyke.ModelKey
	if s.pending != nil && s.pending.kind == buckthorndyke.OrderLoad {
		keys = append(keys, buckthorndyke.ModelKey{Adapter: s.pending.adapter, Model: s.pending.model, Service: s.backend.Service})
	}
	target := buckthorndyke.ModelKey{Model: s.targetModel, Service: s.backend.Service}
	if s.targetModel != "" && !slices.Contains(keys, target) {
		keys = append(keys, target)
	}
	return keys
}

// loadsFromWeightStore reports whether the runner loads a model from the weight
// store, or may do so by the order of another leader.
func (s runnerState) loadsFromWeightStore() bool {
	o := s.pending
	switch {
	case s.unresponsive():
		return false
	case o == nil:
		return s.busy
	}
	return o.kind == buckthorndyke.OrderLoad && o.adapter == "" && o.tier == buckthorndyke.TierRemote
}

// unloading returns the models that take no new requests because they are being
// unloaded.
func (s runnerState) unloading() []buckthorndyke.ModelID {
	if s.pending != nil && s.pending.kind == buckthorndyke.OrderUnload && s.pending.adapter == "" {
		return []buckthorndyke.ModelID{s.pending.model}
	}
	return nil
}

// unresponsive reports whether the runner counts as failed although the platform
// lists it.
func (s runnerState) unresponsive() bool { return s.failedReports >= failedReportLimit }

// withDone returns the state after the end of the pending order.
func (s runnerState) withDone(now buckthorndyke.Millis) runnerState {
	o := s.pending
	if o == nil {
		return s
	}
	if o.kind == buckthorndyke.OrderLoad {
		s.backend = withLoaded(s.backend, o.model, o.adapter)
	} else {
		s.backend = withUnloaded(s.backend, o.model, o.adapter)
	}
	if s.targetModel == o.model && o.kind == buckthorndyke.OrderLoad {
		s.targetModel = ""
	}
	if o.kind == buckthorndyke.OrderLoad && o.adapter == "" {
		s = s.withLoadEnd(o.model, now)
	}
	s.pending = nil
	s.changedAt, s.knownAt = now, now
	return s
}

// loadedSince reports whether this leader has loaded model, completely after the given
// instant.
func (s runnerState) loadedSince(model buckthorndyke.ModelID, instant buckthorndyke.Millis) bool {
	return slices.ContainsFunc(s.loads, func(l loadEnd) bool { return l.model == model && l.at > instant })
}

// withLoadEnd returns the state with the end of a load at now, and without those of models
// that are no longer loaded.
func (s runnerState) withLoadEnd(model buckthorndyke.ModelID, now buckthorndyke.Millis) runnerState {
	kept := []loadEnd{{at: now, model: model}}
	for _, l := range s.loads {
		if _, loaded := s.backend.LoadedModel(l.model); loaded && l.model != model {
			kept = append(kept, l)
		}
	}
	s.loads = kept
	return s
}

// withLoaded returns b with a loaded model or adapter added.
func withLoaded(b buckthorndyke.Backend, model buckthorndyke.ModelID, adapter string) buckthorndyke.Backend {
	b.LoadedModels = slices.Clone(b.LoadedModels)
	for i, h := range b.LoadedModels {
		if h.Model != model {
			continue
		}
		if !h.HasAdapter(adapter) {
			h.Adapters = append(slices.Clone(h.Adapters), adapter)
			b.LoadedModels[i] = h
		}
		return b
	}
	if adapter == "" {
		b.LoadedModels = append(b.LoadedModels, buckthorndyke.LoadedModel{Model: model})
	}
	return b
}

// withUnloaded returns b with a loaded model or adapter removed.
func withUnloaded(b buckthorndyke.Backend, model buckthorndyke.ModelID, adapter string) buckthorndyke.Backend {
	var kept []buckthorndyke.LoadedModel
	for _, h := range b.LoadedModels {
		switch {
		case h.Model != model:
			kept = append(kept, h)
		case adapter != "":
			h.Adapters = slices.DeleteFunc(slices.Clone(h.Adapters), func(a string) bool { return a == adapter })
			kept = append(kept, h)
		}
	}
	b.LoadedModels = kept
	return b
}
