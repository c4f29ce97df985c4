package selector

import "github.com/buckthorndyke/buckthorndyke"

// Loaded reports whether some server serves a key, whether or not it can take a request now.
func (v View) Loaded(key buckthorndyke.ModelKey, now buckthorndyke.Millis) bool {
	q := Query{Key: key, Now: now}
	for _, listed := range v.list.Servers.All() {
		if listed.Service == key.Service && !v.Leaves(listed) && v.holdsModel(listed, q) {
			return true
		}
	}
	return false
}

// Pauses reports whether any server has asked for a pause.
func (v View) Pauses() bool { return v.pauses.Len() > 0 }

// Ready returns the keys for which some server can take a request now, without adapters: that
// a model is among them says nothing of its adapters. It reads the list once for all keys.
func (v View) Ready(now buckthorndyke.Millis) map[buckthorndyke.ModelKey]bool {
	out := make(map[buckthorndyke.ModelKey]bool)
	for _, listed := range v.list.Servers.All() {
		plain := buckthorndyke.ModelKey{Service: listed.Service}
		out[plain] = out[plain] || v.takes(listed, plain, now)
		for _, m := range v.latest(listed).LoadedModels {
			key := buckthorndyke.ModelKey{Model: m.Model, Service: listed.Service}
			out[key] = out[key] || v.takes(listed, key, now)
		}
	}
	return out
}

// Takes reports whether a server can take a request for a key now.
func (v View) Takes(id buckthorndyke.RunnerID, key buckthorndyke.ModelKey, now buckthorndyke.Millis) bool {
	listed, ok := v.list.Servers.Get(id)
	return ok && v.takes(listed, key, now)
}

// takes reports whether a server can take a request for a key now.
func (v View) takes(listed buckthorndyke.Backend, key buckthorndyke.ModelKey, now buckthorndyke.Millis) bool {
	return listed.Service == key.Service && !v.Leaves(listed) && !v.isPaused(listed, now) && v.holds(listed, Query{Key: key, Now: now})
}
