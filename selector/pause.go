package selector

import (
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

// probeTime is how long after a pause a server gets one request at a time.
const probeTime = 10 * buckthorndyke.Second

// maxPauses bounds the servers whose pauses are remembered.
const maxPauses = 1024

// pause is the time for which a server has asked this VM for no requests. After its end
// the server gets one request at a time until it has served one.
type pause struct {
	// incarnation is that of the server that has asked.
	incarnation buckthorndyke.Incarnation
	until       buckthorndyke.Millis
}

// PausedUntil returns the earliest end of a pause if all servers that could take a
// request pause.
func (v View) PausedUntil(q Query) (buckthorndyke.Millis, bool) {
	var until buckthorndyke.Millis
	if v.pauses.Len() == 0 {
		return 0, false
	}
	for _, h := range v.holders(q.Key) {
		listed, id := *h.server, h.server.ID
		if v.Leaves(listed) || !v.holdsModel(h, q) {
			continue
		}
		p, ok := v.pauses.Get(id)
		switch {
		case ok && p.incarnation == listed.Incarnation && q.Now < p.until:
		case slices.Contains(q.Excluded, id):
			continue
		default:
			return 0, false
		}
		if until == 0 || p.until < until {
			until = p.until
		}
	}
	return until, until > 0
}

// WithPause returns a view in which a server has asked for a pause until an instant. A
// shorter pause does not replace a longer one.
func (v View) WithPause(l buckthorndyke.Lifetime, until, now buckthorndyke.Millis) View {
	if p, ok := v.pauses.Get(l.Server); ok && p.incarnation == l.Incarnation && p.until >= until {
		return v
	}
	for id, p := range v.pauses.All() {
		if v.pauses.Len() < maxPauses {
			break
		}
		if now >= p.until || !v.list.Servers.Has(id) {
			v.pauses = v.pauses.Without(id)
		}
	}
	if v.pauses.Len() < maxPauses {
		v.pauses = v.pauses.With(l.Server, pause{incarnation: l.Incarnation, until: until})
	}
	return v
}

// isPaused reports whether a server takes no request now: it has asked for a pause, or the
// first request after it has not been served yet.
func (v View) isPaused(listed buckthorndyke.Backend, now buckthorndyke.Millis) bool {
	p, ok := v.pauses.Get(listed.ID)
	if !ok || p.incarnation != listed.Incarnation || now >= p.until+probeTime {
		return false
	}
	return now < p.until || v.OwnLoad(listed.ID).Requests > 0
}

// WithoutPause returns a view after a server has responded at now to a request that it
// has not turned away. A pause that has not ended remains.
func (v View) WithoutPause(id buckthorndyke.RunnerID, now buckthorndyke.Millis) View {
	if p, ok := v.pauses.Get(id); ok && now >= p.until {
		v.pauses = v.pauses.Without(id)
	}
	return v
}
