package stager

import (
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// ownStateTTL is how long the leader's own state of a runner overrides the
	// platform's list, which lags by two heartbeats and one read.
	ownStateTTL = 4 * buckthorndyke.Second
	// orderTimeout is how long an order may have no effect on a runner that is not
	// busy before it counts as lost. Reports lag by a few hundred milliseconds. If a
	// lost order arrives later, it is rejected, because the runner then expects
	// another number of accepted orders, or it has the same effect.
	orderTimeout = 800 * buckthorndyke.Millisecond
	// acceptedOrderTimeout is how long an order that the runner has accepted may have no
	// effect before it counts as lost: an unload waits for the running requests of the
	// model.
	acceptedOrderTimeout = 4 * buckthorndyke.Second
	// refusalBackoff is the time during which a runner that has refused an order gets
	// no other.
	refusalBackoff = 150 * buckthorndyke.Millisecond
	// demandCollectionTime is how long a new leader unloads nothing: by then the VMs
	// have found it and reported their demand.
	demandCollectionTime = 1300 * buckthorndyke.Millisecond
	// unloadTime is the approximate time from an unload order until a report shows
	// its effect.
	unloadTime = 500 * buckthorndyke.Millisecond
	// reportLag is the approximate delay between the end of a load and a report that
	// shows it.
	reportLag = 300 * buckthorndyke.Millisecond
	// fullSpeedLoadsLimit bounds the learned number of concurrent loads that the
	// weight store serves at full speed. The deployments' data sheets give 2 and 4.
	fullSpeedLoadsLimit = 8
	// slowLoadPermille is the time of a load from the weight store, in thousandths of
	// its time at full speed, above which it counts as slowed down by too many
	// concurrent loads.
	slowLoadPermille = 1300
	// changesMaxAge bounds how old a change may be that a VM without a recent reply
	// is sent. The VM's list shows older ones.
	changesMaxAge = 20 * buckthorndyke.Second
	// changesMargin extends the time since the last reply to a VM for which it is
	// sent changes, in case that reply was lost.
	changesMargin = 3 * buckthorndyke.Second
	// loadRateWindow is the period over which loads from the weight store are counted
	// for the rate limit.
	loadRateWindow = 5 * buckthorndyke.Second
)

// View is the leader's view of all runners and of the demand for models. It is
// immutable.
type View struct {
	demand Demand
	// earlyLoadsRefuted is set if a runner has accepted a load before an accepted unload
	// had an effect.
	earlyLoadsRefuted bool
	// fullSpeedLoads is the number of concurrent loads that the weight store serves
	// at full speed.
	fullSpeedLoads int
	// remoteLoadStarts holds the start times of the latest loads from the weight
	// store.
	remoteLoadStarts []buckthorndyke.Millis
	// patience is how long the least patient requests for models of a service wait.
	patience map[buckthorndyke.ServiceID]buckthorndyke.Millis
	routing  buckthorndyke.Routing
	runners  buckthorndyke.Table[buckthorndyke.RunnerID, runnerState]
	// slowness holds the learned time of loads by service and tier, as a multiple of the
	// configured one.
	slowness buckthorndyke.Table[string, float64]
	// unloadsFrom is the instant from which the demand is known well enough to unload
	// models.
	unloadsFrom buckthorndyke.Millis
	// wrongPredictions counts the predicted ends of loads that reports have contradicted.
	wrongPredictions int
}

// NewView returns a view without runners. The weight store serves fullSpeedLoads
// concurrent loads at full speed.
func NewView(fullSpeedLoads int) View {
	return View{fullSpeedLoads: fullSpeedLoads}
}

// AcceptedOrders returns the number of orders that a runner has accepted, or false if
// it is not known.
func (v View) AcceptedOrders(id buckthorndyke.RunnerID) (int64, bool) {
	s, ok := v.runners.Get(id)
	return s.acceptedOrders, ok && s.acceptedOrders != unknownOrders
}

// Backend returns the leader's state of a runner, or false if it is not listed.
func (v View) Backend(id buckthorndyke.RunnerID) (buckthorndyke.Backend, bool) {
	s, ok := v.runners.Get(id)
	return s.backend, ok
}

// FullSpeedLoads returns the number of concurrent loads that the weight store serves
// at full speed.
func (v View) FullSpeedLoads() int { return v.fullSpeedLoads }

// HasReported reports whether vm has reported its demand before.
func (v View) HasReported(vm buckthorndyke.VMID) bool { return v.demand.HasReported(vm) }

// PendingOrders returns the responsive runners with an outstanding order and the time
// at which it was sent.
func (v View) PendingOrders() map[buckthorndyke.RunnerID]buckthorndyke.Millis {
	out := make(map[buckthorndyke.RunnerID]buckthorndyke.Millis)
	for id, s := range v.runners.All() {
		if s.pending != nil && !s.unresponsive() {
			out[id] = s.pending.sent
		}
	}
	return out
}

// RunnersToPoll returns the runners whose reports are needed: those that may get no
// order before they have reported, those that do not respond, and those that should
// already serve a model that requests wait for.
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

// Unresponsive reports whether a runner counts as failed although the platform lists
// it.
func (v View) Unresponsive(id buckthorndyke.RunnerID) bool {
	s, ok := v.runners.Get(id)
	return ok && s.unresponsive()
}

// activeRemoteLoads returns the number of loads from the weight store in progress.
func (v View) activeRemoteLoads() int {
	n := 0
	for _, s := range v.runners.All() {
		if s.loadsFromWeightStore() {
			n++
		}
	}
	return n
}

// remoteLoadsSince returns the start times of the loads from the weight store after
// an instant.
func (v View) remoteLoadsSince(after buckthorndyke.Millis) []buckthorndyke.Millis {
	var out []buckthorndyke.Millis
	for _, at := range v.remoteLoadStarts {
		if at > after {
			out = append(out, at)
		}
	}
	return out
}
