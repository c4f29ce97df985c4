package selector

import "github.com/buckthorndyke/buckthorndyke"

// Loaded reports whether some server serves a key, whether or not it can take a request now.
func (v View) Loaded(key buckthorndyke.ModelKey, now buckthorndyke.Millis) bool {
	return v.Holds(Query{Key: key, Now: now})
}

// Pauses reports whether any server has asked for a pause.
func (v View) Pauses() bool { return v.pauses.Len() > 0 }

// Ready reports whether some server can take a request for a key now.
func (v View) Ready(key buckthorndyke.ModelKey, now buckthorndyke.Millis) bool {
	q := Query{Key: key, Now: now}
	for _, h := range v.holders(key) {
		if v.canTake(h, q) {
			return true
		}
	}
	return false
}

// Takes reports whether a server can take a request for a key now.
func (v View) Takes(id buckthorndyke.RunnerID, key buckthorndyke.ModelKey, now buckthorndyke.Millis) bool {
	q := Query{Key: key, Now: now}
	for _, h := range v.holders(key) {
		if h.server.ID == id && v.canTake(h, q) {
			return true
		}
	}
	return false
}
