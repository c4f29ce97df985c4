package stager

import (
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

// silentReports is the number of reports in a row without an answer after which a
// runner is held to be gone.
const silentReports = 2

// unknown stands for a number of orders that the runner has not reported.
const unknown = -1

// pending is an order whose end is not known yet.
type pending struct {
	// accepted is set once the runner has answered that it carries the order out.
	accepted bool
	adapter  string
	// beside is the greatest number of loads from the weight store at once, this one
	// included, since it was sent.
	beside int
	kind   buckthorndyke.OrderKind
	// late is set once the load was seen to take longer than at full speed.
	late  bool
	model buckthorndyke.ModelID
	// sent is the instant at which the order was sent.
	sent buckthorndyke.Millis
	// tier is where the runner finds what it loads.
	tier buckthorndyke.Tier
}

// is reports whether o is the order that i asks for.
func (o pending) is(i PlannedOrder) bool {
	return o.adapter == i.Adapter && o.kind == i.Kind && o.model == i.Model
}

// patience returns how long the order may stay without effect.
func (o pending) patience() buckthorndyke.Millis {
	if o.accepted {
		return acceptedPatience
	}
	return orderPatience
}

// settled reports whether b shows that the order was carried out.
func (o pending) settled(b buckthorndyke.Backend) bool {
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

// stage is a runner as the leader knows it.
type stage struct {
	// backend is the newest of the platform's list, the runner's reports and what
	// the leader's own orders have changed.
	backend buckthorndyke.Backend
	// busy is set if the runner reports that it carries out an order of another
	// leader.
	busy bool
	// changed is the instant of the last change by an order.
	changed buckthorndyke.Millis
	// goal is the model that room is made for, or empty.
	goal buckthorndyke.ModelID
	// order is the outstanding order, or nil.
	order *pending
	// orders is the number of orders that the runner has accepted, or unknown.
	orders int64
	// silent counts the reports in a row that the runner has not answered.
	silent int
	// retryAt is the instant from which the runner may be given another order.
	retryAt buckthorndyke.Millis
}

// adapters returns the number of adapters that the runner holds.
func (s stage) adapters() int {
	n := 0
	for _, h := range s.backend.LoadedModels {
		n += len(h.Adapters)
	}
	return n
}

// arriving returns what the runner is loading.
func (s stage) arriving() []buckthorndyke.ModelKey {
	if s.down() {
		return nil
	}
	var out []buckthorndyke.ModelKey
	if s.order != nil && s.order.kind == buckthorndyke.OrderLoad {
		out = append(out, buckthorndyke.ModelKey{Adapter: s.order.adapter, Model: s.order.model, Service: s.backend.Service})
	}
	goal := buckthorndyke.ModelKey{Model: s.goal, Service: s.backend.Service}
	if s.goal != "" && !slices.Contains(out, goal) {
		out = append(out, goal)
	}
	return out
}

// awaited reports whether the runner holds what requests in lines wait for.
func (s stage) awaited(lines []buckthorndyke.DemandEntry) bool {
	return slices.ContainsFunc(lines, func(l buckthorndyke.DemandEntry) bool {
		return l.Waiting > 0 && l.Key.Service == s.backend.Service && s.holds(l.Key)
	})
}

// canTake reports whether the runner may be given an order at now.
func (s stage) canTake(now buckthorndyke.Millis) bool {
	return !s.backend.Leaving && !s.down() && s.order == nil && now >= s.retryAt && s.orders != unknown
}

// closed returns the models that take no more requests.
func (s stage) closed() []buckthorndyke.ModelID {
	if s.order != nil && s.order.kind == buckthorndyke.OrderUnload && s.order.adapter == "" {
		return []buckthorndyke.ModelID{s.order.model}
	}
	return nil
}

// down reports whether the runner is held to be gone, although the platform lists
// it.
func (s stage) down() bool { return s.silent >= silentReports }

// expected returns the time until the runner is going to hold what key names, if
// it holds or loads its model.
func (s stage) expected(
	key buckthorndyke.ModelKey, facts buckthorndyke.ModelConfig, now buckthorndyke.Millis,
) (buckthorndyke.Millis, bool) {
	switch {
	case s.holds(key.Base()):
		return 0, true
	case s.loads(key.Base()) && s.order != nil && s.order.kind == buckthorndyke.OrderLoad && s.order.model == key.Model:
		return max(s.order.sent+facts.LoadTimes[s.order.tier]-now, 0) + reportLag, true
	case s.loads(key.Base()):
		return unloadTime + facts.LoadTimes[s.backend.Tier(key.Model)] + reportLag, true
	default:
		return 0, false
	}
}

// freeMB returns the memory that is not taken, in megabytes.
func (s stage) freeMB(facts buckthorndyke.EngineConfig) int {
	free := facts.MemoryMB
	for _, h := range s.backend.LoadedModels {
		m, _ := facts.Models.Get(h.Model)
		free -= m.MemoryMB + len(h.Adapters)*m.AdapterMB
	}
	if s.order != nil && s.order.kind == buckthorndyke.OrderLoad {
		m, _ := facts.Models.Get(s.order.model)
		if _, held := s.backend.LoadedModel(s.order.model); !held {
			free -= m.MemoryMB
		} else if s.order.adapter != "" {
			free -= m.AdapterMB
		}
	}
	return free
}

// holds reports whether the runner holds what key names and keeps it.
func (s stage) holds(key buckthorndyke.ModelKey) bool {
	h, ok := s.backend.LoadedModel(key.Model)
	return ok && !s.down() && h.HasAdapter(key.Adapter) && !slices.Contains(s.closed(), key.Model)
}

// loads reports whether the runner is loading what key names.
func (s stage) loads(key buckthorndyke.ModelKey) bool {
	return slices.Contains(s.arriving(), key)
}

// loadsRemote reports whether the runner takes a model from the weight store, or
// may do so on the order of another leader.
func (s stage) loadsRemote() bool {
	o := s.order
	switch {
	case s.down():
		return false
	case o == nil:
		return s.busy
	}
	return o.kind == buckthorndyke.OrderLoad && o.adapter == "" && o.tier == buckthorndyke.TierRemote
}

// withDone returns the stage after the end of its order.
func (s stage) withDone(now buckthorndyke.Millis) stage {
	o := s.order
	if o == nil {
		return s
	}
	if o.kind == buckthorndyke.OrderLoad {
		s.backend = withLoaded(s.backend, o.model, o.adapter)
	} else {
		s.backend = withUnloaded(s.backend, o.model, o.adapter)
	}
	if s.goal == o.model && o.kind == buckthorndyke.OrderLoad {
		s.goal = ""
	}
	s.order = nil
	s.changed = now
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
