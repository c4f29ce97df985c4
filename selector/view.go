package selector

import (
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// residenceLag is how much later than a leader's word on a runner the platform's
	// list has to be read to stand against it: it lags by two heartbeats, and by some
	// time while it is being read.
	residenceLag = 6 * buckthorndyke.Second
	// othersLife is how long a leader's word on the load of the other VMs stands.
	othersLife = 2500 * buckthorndyke.Millisecond
	// fullLife is how long a runner is held to be full that has refused a request for
	// want of places: about the time in which a short request ends.
	fullLife = 120 * buckthorndyke.Millisecond
	// slowLife is how long a server that stays silent is avoided where there is another.
	slowLife = buckthorndyke.Second
	// suspectsLife is how long a leader's word on failing servers stands.
	suspectsLife = 2500 * buckthorndyke.Millisecond
	// missingLife is how long a model is held to be absent from a runner that
	// said so, until the list or the leader says otherwise.
	missingLife = 1500 * buckthorndyke.Millisecond
)

// residence is a leader's word on a runner.
type residence struct {
	buckthorndyke.RunnerModels
	at buckthorndyke.Millis
}

// Board is what one entry VM knows of the backend servers. It is immutable.
type View struct {
	// busy is the load of the VM's own requests by server.
	busy buckthorndyke.Table[buckthorndyke.RunnerID, Load]
	// evidence is what the VM's requests have shown of servers since it was last
	// told.
	evidence buckthorndyke.Table[buckthorndyke.RunnerID, buckthorndyke.AttemptCounts]
	// full holds the runners that have refused a request for want of places, and the
	// instant until which that stands.
	full buckthorndyke.Table[buckthorndyke.RunnerID, buckthorndyke.Millis]
	list buckthorndyke.Backends
	// others are the requests of the other VMs by server, as the leader said last.
	others buckthorndyke.Table[buckthorndyke.RunnerID, int]
	// othersUntil is the instant until which that stands.
	othersUntil buckthorndyke.Millis
	missing     buckthorndyke.Table[string, buckthorndyke.Millis]
	residences  buckthorndyke.Table[buckthorndyke.RunnerID, residence]
	setbacks    buckthorndyke.Table[buckthorndyke.RunnerID, setback]
	// slow holds the servers that stay silent, and the instant until which that stands.
	slow buckthorndyke.Table[buckthorndyke.RunnerID, buckthorndyke.Millis]
	// suspects are the servers that fail requests of all VMs, as the leader said last.
	suspects buckthorndyke.Table[buckthorndyke.RunnerID, struct{}]
	// suspectsUntil is the instant until which that stands.
	suspectsUntil buckthorndyke.Millis
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

// Busy returns the VM's own load at a server.
func (b View) OwnLoad(id buckthorndyke.RunnerID) Load {
	load, _ := b.busy.Get(id)
	return load
}

// Evidence returns what the VM's requests have shown of servers since it was last
// told.
func (b View) AttemptCounts() []buckthorndyke.AttemptCounts {
	var out []buckthorndyke.AttemptCounts
	for _, e := range b.evidence.All() {
		out = append(out, e)
	}
	return out
}

// List returns the platform's list.
func (b View) List() buckthorndyke.Backends { return b.list }

// Loads returns the VM's own requests by server.
func (b View) OwnLoads() []buckthorndyke.ServerLoad {
	var out []buckthorndyke.ServerLoad
	for id, load := range b.busy.All() {
		out = append(out, buckthorndyke.ServerLoad{Requests: load.Requests, Server: id})
	}
	return out
}

// Reopens returns the time from now until the first runner that was held to be full
// or to lack a model is asked again, at most limit.
func (b View) NextRetry(now, limit buckthorndyke.Millis) buckthorndyke.Millis {
	for _, until := range b.full.All() {
		if until > now {
			limit = min(limit, until-now)
		}
	}
	for _, until := range b.missing.All() {
		if until > now {
			limit = min(limit, until-now)
		}
	}
	return limit
}

// WithBackends returns a board with another list.
func (b View) WithBackends(list buckthorndyke.Backends) View {
	b.list = list
	for id := range b.setbacks.All() {
		if !list.Servers.Has(id) {
			b.setbacks = b.setbacks.Without(id)
		}
	}
	return b
}

// WithFailure returns a board on which a server has failed at now.
func (b View) WithFailure(id buckthorndyke.RunnerID, now buckthorndyke.Millis) View {
	s, _ := b.setbacks.Get(id)
	b.setbacks = b.setbacks.With(id, s.withFailure(now))
	return b.WithFailedAttempt(id)
}

// WithFault returns a board on which a server has failed a request, which is no
// reason for this VM alone to avoid it.
func (b View) WithFailedAttempt(id buckthorndyke.RunnerID) View {
	e, _ := b.evidence.Get(id)
	e.Failed, e.Server = e.Failed+1, id
	b.evidence = b.evidence.With(id, e)
	return b
}

// WithFull returns a board on which a runner has said at now that it has no place.
func (b View) WithFull(id buckthorndyke.RunnerID, now buckthorndyke.Millis) View {
	b.full = b.full.With(id, now+fullLife)
	return b
}

// WithLoad returns a board on which the VM's load at a server has changed by d.
func (b View) WithLoad(id buckthorndyke.RunnerID, d Load) View {
	next := b.OwnLoad(id).plus(d)
	if next.Requests <= 0 {
		b.busy = b.busy.Without(id)
	} else {
		b.busy = b.busy.With(id, next)
	}
	return b
}

// WithMissing returns a board on which a runner has said at now that it does not
// hold what key names.
func (b View) WithMissing(id buckthorndyke.RunnerID, key buckthorndyke.ModelKey, now buckthorndyke.Millis) View {
	b.missing = b.missing.With(missingKey(id, key), now+missingLife)
	return b
}

// WithOthers returns a board with a leader's word of now on the requests of the
// other VMs.
func (b View) WithOtherVMsLoads(list []buckthorndyke.ServerLoad, now buckthorndyke.Millis) View {
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
func (b View) WithRunnerModels(list []buckthorndyke.RunnerModels, now buckthorndyke.Millis) View {
	for _, r := range list {
		b.residences = b.residences.With(r.Runner, residence{RunnerModels: r, at: now})
	}
	for id, r := range b.residences.All() {
		if b.list.At >= r.at+residenceLag {
			b.residences = b.residences.Without(id)
		}
	}
	b.missing, b.full, b.slow = withoutPast(b.missing, now), withoutPast(b.full, now), withoutPast(b.slow, now)
	return b
}

// WithSlow returns a board on which a server was found at now to stay silent.
func (b View) WithSlow(id buckthorndyke.RunnerID, now buckthorndyke.Millis) View {
	b.slow = b.slow.With(id, now+slowLife)
	return b
}

// WithSuccess returns a board on which a server has answered well.
func (b View) WithSuccess(id buckthorndyke.RunnerID) View {
	e, _ := b.evidence.Get(id)
	e.Served, e.Server = e.Served+1, id
	b.evidence = b.evidence.With(id, e)
	if b.setbacks.Has(id) {
		b.setbacks = b.setbacks.Without(id)
	}
	return b
}

// WithSuspects returns a board with a leader's word of now on servers that fail
// requests of all VMs.
func (b View) WithSuspects(list []buckthorndyke.RunnerID, now buckthorndyke.Millis) View {
	b.suspects = buckthorndyke.Table[buckthorndyke.RunnerID, struct{}]{}
	for _, id := range list {
		b.suspects = b.suspects.With(id, struct{}{})
	}
	b.suspectsUntil = now + suspectsLife
	return b
}

// WithTold returns a board whose evidence was told.
func (b View) WithoutAttemptCounts() View {
	b.evidence = buckthorndyke.Table[buckthorndyke.RunnerID, buckthorndyke.AttemptCounts]{}
	return b
}

// known returns a listed server with a leader's newer word on it.
func (b View) known(listed buckthorndyke.Backend) buckthorndyke.Backend {
	r, ok := b.residences.Get(listed.ID)
	if !ok || b.list.At >= r.at+residenceLag || r.Incarnation != listed.Incarnation {
		return listed
	}
	listed.LoadedModels = nil
	for _, h := range r.LoadedModels {
		if !slices.Contains(r.Unloading, h.Model) {
			listed.LoadedModels = append(listed.LoadedModels, h)
		}
	}
	return listed
}

// missingKey returns the key under which a model is held to be absent from a
// runner.
func missingKey(id buckthorndyke.RunnerID, key buckthorndyke.ModelKey) string {
	return string(id) + "/" + string(key.Model) + "/" + key.Adapter
}

// withoutPast returns the entries of a table of instants that are not over at now.
func withoutPast[K ~string](
	t buckthorndyke.Table[K, buckthorndyke.Millis], now buckthorndyke.Millis,
) buckthorndyke.Table[K, buckthorndyke.Millis] {
	for key, until := range t.All() {
		if now >= until {
			t = t.Without(key)
		}
	}
	return t
}
