package selector

import (
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// residenceLife is how long a leader's word on a runner stands against the
	// platform's list, which lags by two heartbeats and the time between two reads.
	residenceLife = 8 * buckthorndyke.Second
	// othersLife is how long a leader's word on the load of the other VMs stands.
	othersLife = 2500 * buckthorndyke.Millisecond
	// missingLife is how long a model is held to be absent from a runner that
	// said so, until the list or the leader says otherwise.
	missingLife = 1500 * buckthorndyke.Millisecond
)

// residence is a leader's word on a runner.
type residence struct {
	buckthorndyke.Residence
	at buckthorndyke.Millis
}

// Board is what one entry VM knows of the backend servers. It is immutable.
type Board struct {
	// busy is the load of the VM's own requests by server.
	busy buckthorndyke.Table[buckthorndyke.RunnerID, Load]
	list buckthorndyke.Backends
	// others are the requests of the other VMs by server, as the leader said last.
	others buckthorndyke.Table[buckthorndyke.RunnerID, int]
	// othersUntil is the instant until which that stands.
	othersUntil buckthorndyke.Millis
	missing     buckthorndyke.Table[string, buckthorndyke.Millis]
	residences  buckthorndyke.Table[buckthorndyke.RunnerID, residence]
	setbacks    buckthorndyke.Table[buckthorndyke.RunnerID, setback]
}

// Load is the work that a VM has at a server.
type Load struct {
	// Requests is the number of requests.
	Requests int
	// Tokens is the number of their prompt tokens.
	Tokens int
}

// plus returns the sum of l and other.
func (l Load) plus(other Load) Load {
	return Load{Requests: l.Requests + other.Requests, Tokens: l.Tokens + other.Tokens}
}

// Backend returns the server called id with all that is known of it at now.
func (b Board) Backend(id buckthorndyke.RunnerID, now buckthorndyke.Millis) (buckthorndyke.Backend, bool) {
	listed, ok := b.list.Listed.Get(id)
	if !ok {
		return buckthorndyke.Backend{}, false
	}
	return b.known(listed, now), true
}

// Busy returns the VM's own load at a server.
func (b Board) Busy(id buckthorndyke.RunnerID) Load {
	load, _ := b.busy.Get(id)
	return load
}

// List returns the platform's list.
func (b Board) List() buckthorndyke.Backends { return b.list }

// Loads returns the VM's own requests by server.
func (b Board) Loads() []buckthorndyke.ServerLoad {
	var out []buckthorndyke.ServerLoad
	for id, load := range b.busy.All() {
		out = append(out, buckthorndyke.ServerLoad{Requests: load.Requests, Server: id})
	}
	return out
}

// WithBackends returns a board with another list.
func (b Board) WithBackends(list buckthorndyke.Backends) Board {
	b.list = list
	for id := range b.setbacks.All() {
		if !list.Listed.Has(id) {
			b.setbacks = b.setbacks.Without(id)
		}
	}
	return b
}

// WithFailure returns a board on which a server has failed at now.
func (b Board) WithFailure(id buckthorndyke.RunnerID, now buckthorndyke.Millis) Board {
	s, _ := b.setbacks.Get(id)
	b.setbacks = b.setbacks.With(id, s.withFailure(now))
	return b
}

// WithLoad returns a board on which the VM's load at a server has changed by d.
func (b Board) WithLoad(id buckthorndyke.RunnerID, d Load) Board {
	next := b.Busy(id).plus(d)
	if next.Requests <= 0 {
		b.busy = b.busy.Without(id)
	} else {
		b.busy = b.busy.With(id, next)
	}
	return b
}

// WithMissing returns a board on which a runner has said at now that it does not
// hold what key names.
func (b Board) WithMissing(id buckthorndyke.RunnerID, key buckthorndyke.ModelKey, now buckthorndyke.Millis) Board {
	b.missing = b.missing.With(missingKey(id, key), now+missingLife)
	return b
}

// WithOthers returns a board with a leader's word of now on the requests of the
// other VMs.
func (b Board) WithOthers(list []buckthorndyke.ServerLoad, now buckthorndyke.Millis) Board {
	b.others = buckthorndyke.Table[buckthorndyke.RunnerID, int]{}
	for _, l := range list {
		b.others = b.others.With(l.Server, l.Requests)
	}
	b.othersUntil = 0
	if len(list) > 0 {
		b.othersUntil = now + othersLife
	}
	return b
}

// WithResidences returns a board with a leader's word of now.
func (b Board) WithResidences(list []buckthorndyke.Residence, now buckthorndyke.Millis) Board {
	for _, r := range list {
		b.residences = b.residences.With(r.Runner, residence{Residence: r, at: now})
	}
	for id, r := range b.residences.All() {
		if now >= r.at+residenceLife {
			b.residences = b.residences.Without(id)
		}
	}
	for key, until := range b.missing.All() {
		if now >= until {
			b.missing = b.missing.Without(key)
		}
	}
	return b
}

// WithSuccess returns a board on which a server has answered well.
func (b Board) WithSuccess(id buckthorndyke.RunnerID) Board {
	if b.setbacks.Has(id) {
		b.setbacks = b.setbacks.Without(id)
	}
	return b
}

// known returns a listed server with a leader's newer word on it.
func (b Board) known(listed buckthorndyke.Backend, now buckthorndyke.Millis) buckthorndyke.Backend {
	r, ok := b.residences.Get(listed.ID)
	if !ok || now >= r.at+residenceLife || r.Started != listed.Started {
		return listed
	}
	listed.Holdings = nil
	for _, h := range r.Holdings {
		if !slices.Contains(r.Closed, h.Model) {
			listed.Holdings = append(listed.Holdings, h)
		}
	}
	return listed
}

// missingKey returns the key under which a model is held to be absent from a
// runner.
func missingKey(id buckthorndyke.RunnerID, key buckthorndyke.ModelKey) string {
	return string(id) + "/" + string(key.Model) + "/" + key.Adapter
}
