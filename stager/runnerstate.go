package stager

import (
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

// silentReports is the number of reports in a row without an answer after which a
// runner is held to be gone.
const failedReportLimit = 2

// unknown stands for a number of orders that the runner has not reported.
const unknownOrders = -1

// pending is an order whose end is not known yet.
type pendingOrder struct {
	// accepted is set once the runner has answered that it carries the order out.
	accepted bool
	adapter  string
	// beside is the greatest number of loads from the weight store at once, this one
	// included, since it was sent.
	concurrentLoads int
	// late is set once the load was seen to take longer than at full speed.
	foundSlow bool
	kind      buckthorndyke.OrderKind
	model     buckthorndyke.ModelID
	// sent is the instant at which the order was sent.
	sent buckthorndyke.Millis
	// tier is where the runner finds what it loads.
	tier buckthorndyke.Tier
}

// settled reports whether b shows that the order was carried out.
func (o pendingOrder) completedIn(b buckthorndyke.Backend) bool {
	h, held := b.LoadedModel(o.model)
	switch {
	case o.adapter == "":
		return held == (o.kind == buckthorndyke.OrderLoad)
	case !held:
		return o.kind == buckthorndyke.OrderUnload
	default:
		return h.HasAdapter(o.adapter) == (o.kind == buckthorndyke.OrderLoad)
	}
}

// is reports whether o is the order that i asks for.
func (o pendingOrder) matches(want PlannedOrder) bool {
	return o.adapter == want.Adapter && o.kind == want.Kind && o.model == want.Model
}

// patience returns how long the order may stay without effect.
func (o pendingOrder) timeout() buckthorndyke.Millis {
	if o.accepted {
		return acceptedOrderTimeout
	}
	return orderTimeout
}

// stage is a runner as the leader knows it.
type runnerState struct {
	// orders is the number of orders that the runner has accepted, or unknown.
	acceptedOrders int64
	// backend is the newest of the platform's list, the runner's reports and what
	// the leader's own orders have changed.
	backend buckthorndyke.Backend
	// busy is set if the runner reports that it carries out an order of another
	// leader.
	busy bool
	// changed is the instant of the last change by an order.
	changedAt buckthorndyke.Millis
	// silent counts the reports in a row that the runner has not answered.
	failedReports int
	// order is the outstanding order, or nil.
	pending *pendingOrder
	// retryAt is the instant from which the runner may be given another order.
	retryAt buckthorndyke.Millis
	// goal is the model that room is made for, or empty.
	targetModel buckthorndyke.ModelID
}

// canTake reports whether the runner may be given an order at now.
func (s runnerState) acceptsOrder(now buckthorndyke.Millis) bool {
	return !s.backend.Leaving && !s.unresponsive() && s.pending == nil && now >= s.retryAt && s.acceptedOrders != unknownOrders
}

// adapters returns the number of adapters that the runner holds.
func (s runnerState) adapterCount() int {
	n := 0
	for _, h := range s.backend.LoadedModels {
		n += len(h.Adapters)
	}
	return n
}

// freeMB returns the memory that is not taken, in megabytes.
func (s runnerState) freeMB(cfg buckthorndyke.EngineConfig) int {
	free := cfg.MemoryMB
	for _, h := range s.backend.LoadedModels {
		m, _ := cfg.Models.Get(h.Model)
		free -= m.MemoryMB + len(h.Adapters)*m.AdapterMB
	}
	if s.pending != nil && s.pending.kind == buckthorndyke.OrderLoad {
		m, _ := cfg.Models.Get(s.pending.model)
		if _, held := s.backend.LoadedModel(s.pending.model); !held {
			free -= m.MemoryMB
		} else if s.pending.adapter != "" {
			free -= m.AdapterMB
		}
	}
	return free
}

// holds reports whether the runner holds what key names and keeps it.
func (s runnerState) holds(key buckthorndyke.ModelKey) bool {
	h, ok := s.backend.LoadedModel(key.Model)
	return ok && !s.unresponsive() && h.HasAdapter(key.Adapter) && !slices.Contains(s.unloading(), key.Model)
}

// loads reports whether the runner is loading what key names.
func (s runnerState) isLoading(key buckthorndyke.ModelKey) bool {
	return slices.Contains(s.loadingKeys(), key)
}

// expected returns the time until the runner is going to hold what key names, if
// it holds or loads its model.
func (s runnerState) loadEstimate(
	key buckthorndyke.ModelKey, model buckthorndyke.ModelConfig, now buckthorndyke.Millis,
) (buckthorndyke.Millis, bool) {
	switch {
	case s.holds(key.Base()):
		return 0, true
	case s.isLoading(key.Base()) && s.pending != nil && s.pending.kind == buckthorndyke.OrderLoad && s.pending.model == key.Model:
		return max(s.pending.sent+model.LoadTimes[s.pending.tier]-now, 0) + reportLag, true
	case s.isLoading(key.Base()):
		return unloadTime + model.LoadTimes[s.backend.Tier(key.Model)] + reportLag, true
	default:
		return 0, false
	}
}

// arriving returns what the runner is loading.
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

// loadsRemote reports whether the runner takes a model from the weight store, or
// may do so on the order of another leader.
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

// awaited reports whether the runner holds what requests in lines wait for.
func (s runnerState) servesWaiting(entries []buckthorndyke.DemandEntry) bool {
	return slices.ContainsFunc(entries, func(l buckthorndyke.DemandEntry) bool {
		return l.Waiting > 0 && l.Key.Service == s.backend.Service && s.holds(l.Key)
	})
}

// closed returns the models that take no more requests.
func (s runnerState) unloading() []buckthorndyke.ModelID {
	if s.pending != nil && s.pending.kind == buckthorndyke.OrderUnload && s.pending.adapter == "" {
		return []buckthorndyke.ModelID{s.pending.model}
	}
	return nil
}

// down reports whether the runner is held to be gone, although the platform lists
// it.
func (s runnerState) unresponsive() bool { return s.failedReports >= failedReportLimit }

// withDone returns the stage after the end of its order.
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
	s.pending = nil
	s.changedAt = now
	return s
}

// withLoaded returns b with a model or adapter more.
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

// withUnloaded returns b with a model or adapter less.
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
