package stager

import (
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// ownLife is how long the leader's own knowledge of a runner stands against
	// the platform's list, which lags by two heartbeats and a read.
	ownStateTTL = 4 * buckthorndyke.Second
	// orderPatience is how long an order may stay without effect on a runner that
	// carries out none, before it is held to be lost. Reports lag by some hundred
	// milliseconds. A lost order that arrives later is refused, since the runner then
	// expects another number of orders, or has the same effect.
	orderTimeout = 800 * buckthorndyke.Millisecond
	// acceptedPatience is the same for an order that the runner has accepted: an
	// unload waits for the requests of what it unloads.
	acceptedOrderTimeout = 4 * buckthorndyke.Second
	// refusedPause is how long a runner that has refused an order gets no other.
	refusalBackoff = 150 * buckthorndyke.Millisecond
	// hearTime is how long a new leader unloads nothing: by then the VMs have found
	// it and told it their demand.
	demandCollectionTime = 1300 * buckthorndyke.Millisecond
	// unloadTime is about how long an unload takes until a report shows it.
	unloadTime = 500 * buckthorndyke.Millisecond
	// reportLag is about how much later than a load ends a report shows it.
	reportLag = 300 * buckthorndyke.Millisecond
	// atOnceLimit bounds what is learnt of the loads that the weight store allows at
	// full speed: the deployments' sheets say 2 and 4.
	fullSpeedLoadsLimit = 8
	// slowLoad is the share of its time at full speed, in thousandths, from which on a
	// load from the weight store is held to have shared that with too many others.
	slowLoadPermille = 1300
	// toldLife bounds how far back a VM that was not answered lately is told of
	// changes: the platform's list shows them by then.
	changesMaxAge = 4 * buckthorndyke.Second
	// toldMargin is how much more than since its last answer a VM is told of, in case
	// that was lost.
	changesMargin = buckthorndyke.Second
	// loadWindow is the span in which the loads from the weight store are counted.
	loadRateWindow = 5 * buckthorndyke.Second
)

// Floor is what the leader knows of all runners and of the demand for models. It
// is immutable.
type View struct {
	demand Demand
	// atOnce is the number of loads that the weight store allows at full speed.
	fullSpeedLoads int
	// remote holds the instants of the latest loads from the weight store.
	remoteLoadStarts []buckthorndyke.Millis
	routing          buckthorndyke.Routing
	runners          buckthorndyke.Table[buckthorndyke.RunnerID, runnerState]
	// hearUntil is the instant until which the demand is not known well enough to
	// unload anything.
	unloadsFrom buckthorndyke.Millis
}

// NewFloor returns a floor without runners. The weight store allows atOnce loads
// at full speed.
func NewView(atOnce int) View {
	return View{fullSpeedLoads: atOnce}
}

// Orders returns the number of orders that a runner has accepted, or false if
// that is not known.
func (v View) AcceptedOrders(id buckthorndyke.RunnerID) (int64, bool) {
	s, ok := v.runners.Get(id)
	return s.acceptedOrders, ok && s.acceptedOrders != unknownOrders
}

// Backend returns a runner as the leader knows it.
func (v View) Backend(id buckthorndyke.RunnerID) (buckthorndyke.Backend, bool) {
	s, ok := v.runners.Get(id)
	return s.backend, ok
}

// AtOnce returns the number of loads that the weight store allows at full speed.
func (v View) FullSpeedLoads() int { return v.fullSpeedLoads }

// Heard reports whether vm has reported its demand before.
func (v View) HasReported(vm buckthorndyke.VMID) bool { return v.demand.HasReported(vm) }

// Pending returns the runners that answer and have an outstanding order, and since
// when.
func (v View) PendingOrders() map[buckthorndyke.RunnerID]buckthorndyke.Millis {
	out := make(map[buckthorndyke.RunnerID]buckthorndyke.Millis)
	for id, s := range v.runners.All() {
		if s.pending != nil && !s.unresponsive() {
			out[id] = s.pending.sent
		}
	}
	return out
}

// Residences returns what the leader knows at now ahead of the platform's list of
// the runners that have changed since an instant, that lose a model or that hold
// what requests in lines wait for.
func (v View) RunnerModels(
	entries []buckthorndyke.DemandEntry, since, now buckthorndyke.Millis,
) []buckthorndyke.RunnerModels {
	since = max(since-changesMargin, now-changesMaxAge)
	var out []buckthorndyke.RunnerModels
	for id, s := range v.runners.All() {
		unloading := s.unloading()
		if len(unloading) == 0 && (s.changedAt == 0 || s.changedAt < since) && !s.servesWaiting(entries) {
			continue
		}
		out = append(out, buckthorndyke.RunnerModels{
			Unloading: unloading, LoadedModels: s.backend.LoadedModels, Runner: id, Incarnation: s.backend.Incarnation,
		})
	}
	return out
}

// Doubtful returns the runners whose reports are needed: before an order, to see
// whether they are back, or since requests wait for what they are held to serve.
func (v View) RunnersToPoll() []buckthorndyke.RunnerID {
	var out []buckthorndyke.RunnerID
	waiting := v.demand.waitingKeys()
	for id, s := range v.runners.All() {
		service, _ := v.routing.Services.Get(s.backend.Service)
		if service.Engine == nil || s.pending != nil && !s.unresponsive() {
			continue
		}
		if s.acceptedOrders == unknownOrders || s.unresponsive() || slices.ContainsFunc(waiting, s.holds) {
			out = append(out, id)
		}
	}
	return out
}

// Serves reports whether some runner holds what key names.
func (v View) Serves(key buckthorndyke.ModelKey) bool {
	for _, s := range v.runners.All() {
		if s.backend.Service == key.Service && !s.backend.Leaving && s.holds(key) {
			return true
		}
	}
	return false
}

// Silent reports whether a runner is held to be gone, although the platform lists
// it.
func (v View) Unresponsive(id buckthorndyke.RunnerID) bool {
	s, ok := v.runners.Get(id)
	return ok && s.unresponsive()
}

// remoteLoads returns the number of loads from the weight store that are under way.
func (v View) activeRemoteLoads() int {
	n := 0
	for _, s := range v.runners.All() {
		if s.loadsFromWeightStore() {
			n++
		}
	}
	return n
}

// loadsSince returns the instants of the loads from the weight store after an
// instant.
func (v View) remoteLoadsSince(after buckthorndyke.Millis) []buckthorndyke.Millis {
	var out []buckthorndyke.Millis
	for _, at := range v.remoteLoadStarts {
		if at > after {
			out = append(out, at)
		}
	}
	return out
}
