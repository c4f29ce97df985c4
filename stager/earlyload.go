package stager

import "github.com/buckthorndyke/buckthorndyke"

// EarlyLoadsRefuted reports whether a runner's report has shown that it accepts a load
// while an accepted unload has no effect yet.
func (v View) EarlyLoadsRefuted() bool { return v.earlyLoadsRefuted }

// WithEarlyUnload returns a view in which an accepted unload counts as carried out before
// a report shows it, so that the load after it can be ordered at once. It is unchanged if
// a VM has requests at the model, for whose end the unload waits, or if a report has
// refuted that runners refuse an order while another one is in progress.
func (v View) WithEarlyUnload(o PlannedOrder, now buckthorndyke.Millis) View {
	s, ok := v.runners.Get(o.Runner)
	if !ok || v.earlyLoadsRefuted || o.Kind != buckthorndyke.OrderUnload || o.Adapter != "" || s.pending == nil ||
		!s.pending.matches(o) || !s.pending.accepted || s.predicted != nil || s.earlyUnload != nil ||
		v.demand.isRunning(buckthorndyke.ModelKey{Model: o.Model, Service: s.backend.Service}) {
		return v
	}
	loaded, _ := s.backend.LoadedModel(o.Model)
	s.earlyUnload = &earlyUnload{accepted: s.acceptedOrders, loaded: loaded, order: *s.pending}
	v.runners = v.runners.With(o.Runner, s.withDone(now))
	return v
}

// earlyUnload is an unload that counts as carried out although no report shows it yet.
type earlyUnload struct {
	// accepted is the number of orders that the runner had accepted with it.
	accepted int64
	// loaded is the entry of the unloaded model.
	loaded buckthorndyke.LoadedModel
	order  pendingOrder
}

// withCheckedUnload returns v and s, the state of a runner to which a report at now has
// just been applied, after the report has confirmed or contradicted an early unload.
func (v View) withCheckedUnload(s runnerState, r buckthorndyke.BackendReport, now buckthorndyke.Millis) (View, runnerState) {
	early := s.earlyUnload
	if early == nil || r.AcceptedOrders < early.accepted {
		return v, s
	}
	if early.order.completedIn(r.Backend) {
		s.earlyUnload = nil
		return v, s
	}
	if r.AcceptedOrders == early.accepted && (r.Busy || now < early.order.sent+reportLag) {
		// The unload may be in progress, and no load has been accepted.
		if s.pending == nil {
			s.pending, s.earlyUnload = &early.order, nil
		}
		return v, s
	}
	s.earlyUnload = nil
	v.earlyLoadsRefuted = true
	return v, s
}

// withoutEarlyUnload returns the state after the runner has refused the load that was
// ordered behind an early unload: the unload is outstanding again.
func (s runnerState) withoutEarlyUnload(target buckthorndyke.ModelID) runnerState {
	early := s.earlyUnload
	s.earlyUnload, s.pending, s.targetModel = nil, &early.order, target
	s.backend = withLoaded(s.backend, early.loaded.Model, "")
	for _, adapter := range early.loaded.Adapters {
		s.backend = withLoaded(s.backend, early.loaded.Model, adapter)
	}
	return s
}

// isRunning reports whether a VM has requests at a runner that use the model of key.
func (d Demand) isRunning(key buckthorndyke.ModelKey) bool {
	for _, r := range d.reports.All() {
		for _, entry := range r.entries {
			if entry.Running > 0 && entry.Key.Base() == key {
				return true
			}
		}
	}
	return false
}
