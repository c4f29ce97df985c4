package selector

import "github.com/buckthorndyke/buckthorndyke"

// Serves reports whether a server may be sent requests for a key at now, apart from its
// health, pauses and free slots.
func (v View) Serves(id buckthorndyke.RunnerID, key buckthorndyke.ModelKey, now buckthorndyke.Millis) bool {
	listed, ok := v.list.Servers.Get(id)
	return ok && listed.Service == key.Service && !v.Leaves(listed) && v.holdsModel(listed, Query{Key: key, Now: now})
}

// Loaded reports whether some server serves a key, whether or not it has a free slot.
func (v View) Loaded(key buckthorndyke.ModelKey, now buckthorndyke.Millis) bool {
	q := Query{Key: key, Now: now}
	for _, listed := range v.list.Servers.All() {
		if listed.Service == key.Service && !v.Leaves(listed) && v.holdsModel(listed, q) {
			return true
		}
	}
	return false
}
