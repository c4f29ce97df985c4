package selector

import "github.com/buckthorndyke/buckthorndyke"

// Serves reports whether a server may be sent requests for a key at now, apart from its
// health, pauses and free slots.
func (v View) Serves(id buckthorndyke.RunnerID, key buckthorndyke.ModelKey, now buckthorndyke.Millis) bool {
	listed, ok := v.list.Servers.Get(id)
	return ok && listed.Service == key.Service && !v.Leaves(listed) && v.holdsModel(listed, Query{Key: key, Now: now})
}
