package stager

import (
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

// runnersPerMilli is the number of runners for each millisecond of the shortest time
// between two indices.
const runnersPerMilli = 100

// Index answers questions about the runners of one view whose answers would else take a
// look at each runner. It is immutable.
type Index struct {
	// changes are the runners whose loaded models have changed recently, or that have one
	// that takes no new requests.
	changes []runnerState
	// holders are the runners that have loaded a model or adapter and do not unload it.
	holders map[buckthorndyke.ModelKey][]runnerState
	// madeAt is the instant at which the index was made.
	madeAt  buckthorndyke.Millis
	runners buckthorndyke.Table[buckthorndyke.RunnerID, runnerState]
}

// Index returns the index of v at now. It is old if that is still valid, or was made just
// now: the runners of a large fleet change with each message.
func (v View) Index(old Index, now buckthorndyke.Millis) Index {
	minAge := buckthorndyke.Millis(v.runners.Len() / runnersPerMilli)
	if old.holders != nil && (old.IndexOf(v) || now < old.madeAt+minAge) {
		return old
	}
	out := Index{holders: make(map[buckthorndyke.ModelKey][]runnerState), madeAt: now, runners: v.runners}
	for _, s := range v.runners.All() {
		unloading := s.unloading()
		if len(s.closed()) > 0 || s.changedAt > 0 && s.changedAt >= now-changesMaxAge {
			out.changes = append(out.changes, s)
		}
		if s.unresponsive() {
			continue
		}
		for _, loaded := range s.backend.LoadedModels {
			if slices.Contains(unloading, loaded.Model) {
				continue
			}
			key := buckthorndyke.ModelKey{Model: loaded.Model, Service: s.backend.Service}
			out.holders[key] = append(out.holders[key], s)
			for _, key.Adapter = range loaded.Adapters {
				out.holders[key] = append(out.holders[key], s)
			}
		}
	}
	return out
}

// IndexOf reports whether x is the index of v as it is now.
func (x Index) IndexOf(v View) bool { return x.holders != nil && x.runners.Same(v.runners) }

// RunnerModels returns the leader's state, which is newer than the platform's list,
// of the runners that have changed since the given instant, that have a model which
// takes no new requests or that have loaded what requests in entries wait for.
func (x Index) RunnerModels(
	entries []buckthorndyke.DemandEntry, since, now buckthorndyke.Millis,
) []buckthorndyke.RunnerModels {
	since = max(since-changesMargin, now-changesMaxAge)
	var out []buckthorndyke.RunnerModels
	told := make(map[buckthorndyke.RunnerID]bool)
	add := func(s runnerState) {
		if told[s.backend.ID] {
			return
		}
		told[s.backend.ID] = true
		out = append(out, buckthorndyke.RunnerModels{
			Incarnation: s.backend.Incarnation, LoadedModels: s.backend.LoadedModels, Runner: s.backend.ID, Unloading: s.closed(),
		})
	}
	for _, s := range x.changes {
		if len(s.closed()) > 0 || s.changedAt >= since {
			add(s)
		}
	}
	for _, entry := range entries {
		if entry.Waiting == 0 {
			continue
		}
		for _, s := range x.holders[entry.Key] {
			add(s)
		}
	}
	return out
}

// Serves reports whether a runner that is not leaving has loaded the model or adapter of
// key.
func (x Index) Serves(key buckthorndyke.ModelKey) bool {
	return slices.ContainsFunc(x.holders[key], func(s runnerState) bool { return !s.backend.Leaving })
}
