package selector

import (
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// residenceLag is how much later than a leader's word on a runner the platform's
	// list has to be read to stand against it: it lags by two heartbeats, and by some
	// time while it is being read.
	listLag = 6 * buckthorndyke.Second
	// othersLife is how long a leader's word on the load of the other VMs stands.
	otherVMsLoadsTTL = 2500 * buckthorndyke.Millisecond
	// fullLife is how long a runner is held to be full that has refused a request for
	// want of places: about the time in which a short request ends.
	fullTTL = 120 * buckthorndyke.Millisecond
	// slowLife is how long a server that stays silent is avoided where there is another.
	slowTTL = buckthorndyke.Second
	// suspectsLife is how long a leader's word on failing servers stands.
	suspectsTTL = 2500 * buckthorndyke.Millisecond
	// missingLife is how long a model is held to be absent from a runner that
	// said so, until the list or the leader says otherwise.
	missingTTL = 1500 * buckthorndyke.Millisecond
)

// residence is a leader's word on a runner.
type runnerModels struct {
	buckthorndyke.RunnerModels
	at buckthorndyke.Millis
}

// Board is what one entry VM knows of the backend servers. It is immutable.
type View struct {
	// evidence is what the VM's requests have shown of servers since it was last
	// told.
	attempts buckthorndyke.Table[buckthorndyke.RunnerID, buckthorndyke.AttemptCounts]
	backoffs buckthorndyke.Table[buckthorndyke.RunnerID, backoff]
	// full holds the runners that have refused a request for want of places, and the
	// instant until which that stands.
	fullUntil    buckthorndyke.Table[buckthorndyke.RunnerID, buckthorndyke.Millis]
	list         buckthorndyke.Backends
	missingUntil buckthorndyke.Table[string, buckthorndyke.Millis]
	// others are the requests of the other VMs by server, as the leader said last.
	otherVMsLoads buckthorndyke.Table[buckthorndyke.RunnerID, int]
	// othersUntil is the instant until which that stands.
	otherVMsLoadsUntil buckthorndyke.Millis
	// busy is the load of the VM's own requests by server.
	ownLoads     buckthorndyke.Table[buckthorndyke.RunnerID, Load]
	runnerModels buckthorndyke.Table[buckthorndyke.RunnerID, runnerModels]
	// slow holds the servers that stay silent, and the instant until which that stands.
	slowUntil buckthorndyke.Table[buckthorndyke.RunnerID, buckthorndyke.Millis]
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

// Evidence returns what the VM's requests have shown of servers since it was last
// told.
func (v View) AttemptCounts() []buckthorndyke.AttemptCounts {
	var out []buckthorndyke.AttemptCounts
	for _, e := range v.attempts.All() {
		out = append(out, e)
	}
	return out
}

// List returns the platform's list.
func (v View) List() buckthorndyke.Backends { return v.list }

// Reopens returns the time from now until the first runner that was held to be full
// or to lack a model is asked again, at most limit.
func (v View) NextRetry(now, limit buckthorndyke.Millis) buckthorndyke.Millis {
	for _, until := range v.fullUntil.All() {
		if until > now {
			limit = min(limit, until-now)
		}
	}
	for _, until := range v.missingUntil.All() {
		if until > now {
			limit = min(limit, until-now)
		}
	}
	return limit
}

// Busy returns the VM's own load at a server.
func (v View) OwnLoad(id buckthorndyke.RunnerID) Load {
	load, _ := v.ownLoads.Get(id)
	return load
}

// Loads returns the VM's own requests by server.
func (v View) OwnLoads() []buckthorndyke.ServerLoad {
	var out []buckthorndyke.ServerLoad
	for id, load := range v.ownLoads.All() {
		out = append(out, buckthorndyke.ServerLoad{Requests: load.Requests, Server: id})
	}
	return out
}

// WithBackends returns a board with another list.
func (v View) WithBackends(list buckthorndyke.Backends) View {
	v.list = list
	for id := range v.backoffs.All() {
		if !list.Servers.Has(id) {
			v.backoffs = v.backoffs.Without(id)
		}
	}
	return v
}

// WithFault returns a board on which a server has failed a request, which is no
// reason for this VM alone to avoid it.
func (v View) WithFailedAttempt(id buckthorndyke.RunnerID) View {
	e, _ := v.attempts.Get(id)
	e.Failed, e.Server = e.Failed+1, id
	v.attempts = v.attempts.With(id, e)
	return v
}

// WithFailure returns a board on which a server has failed at now.
func (v View) WithFailure(id buckthorndyke.RunnerID, now buckthorndyke.Millis) View {
	s, _ := v.backoffs.Get(id)
	v.backoffs = v.backoffs.With(id, s.withFailure(now))
	return v.WithFailedAttempt(id)
}

// WithFull returns a board on which a runner has said at now that it has no place.
func (v View) WithFull(id buckthorndyke.RunnerID, now buckthorndyke.Millis) View {
	v.fullUntil = v.fullUntil.With(id, now+fullTTL)
	return v
}

// WithLoad returns a board on which the VM's load at a server has changed by d.
func (v View) WithLoad(id buckthorndyke.RunnerID, d Load) View {
	next := v.OwnLoad(id).plus(d)
	if next.Requests <= 0 {
		v.ownLoads = v.ownLoads.Without(id)
	} else {
		v.ownLoads = v.ownLoads.With(id, next)
	}
	return v
}

// WithMissing returns a board on which a runner has said at now that it does not
// hold what key names.
func (v View) WithMissing(id buckthorndyke.RunnerID, key buckthorndyke.ModelKey, now buckthorndyke.Millis) View {
	v.missingUntil = v.missingUntil.With(missingKey(id, key), now+missingTTL)
	return v
}

// WithOthers returns a board with a leader's word of now on the requests of the
// other VMs.
func (v View) WithOtherVMsLoads(list []buckthorndyke.ServerLoad, now buckthorndyke.Millis) View {
	v.otherVMsLoads = buckthorndyke.Table[buckthorndyke.RunnerID, int]{}
	for _, l := range list {
		v.otherVMsLoads = v.otherVMsLoads.With(l.Server, l.Requests)
	}
	v.otherVMsLoadsUntil = 0
	if len(list) > 0 {
		v.otherVMsLoadsUntil = now + otherVMsLoadsTTL
	}
	return v
}

// WithResidences returns a board with a leader's word of now.
func (v View) WithRunnerModels(list []buckthorndyke.RunnerModels, now buckthorndyke.Millis) View {
	for _, r := range list {
		v.runnerModels = v.runnerModels.With(r.Runner, runnerModels{RunnerModels: r, at: now})
	}
	for id, r := range v.runnerModels.All() {
		if v.list.At >= r.at+listLag {
			v.runnerModels = v.runnerModels.Without(id)
		}
	}
	v.missingUntil, v.fullUntil, v.slowUntil = withoutExpired(v.missingUntil, now), withoutExpired(v.fullUntil, now), withoutExpired(v.slowUntil, now)
	return v
}

// WithSlow returns a board on which a server was found at now to stay silent.
func (v View) WithSlow(id buckthorndyke.RunnerID, now buckthorndyke.Millis) View {
	v.slowUntil = v.slowUntil.With(id, now+slowTTL)
	return v
}

// WithSuccess returns a board on which a server has answered well.
func (v View) WithSuccess(id buckthorndyke.RunnerID) View {
	e, _ := v.attempts.Get(id)
	e.Served, e.Server = e.Served+1, id
	v.attempts = v.attempts.With(id, e)
	if v.backoffs.Has(id) {
		v.backoffs = v.backoffs.Without(id)
	}
	return v
}

// WithSuspects returns a board with a leader's word of now on servers that fail
// requests of all VMs.
func (v View) WithSuspects(list []buckthorndyke.RunnerID, now buckthorndyke.Millis) View {
	v.suspects = buckthorndyke.Table[buckthorndyke.RunnerID, struct{}]{}
	for _, id := range list {
		v.suspects = v.suspects.With(id, struct{}{})
	}
	v.suspectsUntil = now + suspectsTTL
	return v
}

// WithTold returns a board whose evidence was told.
func (v View) WithoutAttemptCounts() View {
	v.attempts = buckthorndyke.Table[buckthorndyke.RunnerID, buckthorndyke.AttemptCounts]{}
	return v
}

// known returns a listed server with a leader's newer word on it.
func (v View) latest(listed buckthorndyke.Backend) buckthorndyke.Backend {
	r, ok := v.runnerModels.Get(listed.ID)
	if !ok || v.list.At >= r.at+listLag || r.Incarnation != listed.Incarnation {
		return listed
	}
	listed.LoadedModels = nil
	for _, m := range r.LoadedModels {
		if !slices.Contains(r.Unloading, m.Model) {
			listed.LoadedModels = append(listed.LoadedModels, m)
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
func withoutExpired[K ~string](
	t buckthorndyke.Table[K, buckthorndyke.Millis], now buckthorndyke.Millis,
) buckthorndyke.Table[K, buckthorndyke.Millis] {
	for key, until := range t.All() {
		if now >= until {
			t = t.Without(key)
		}
	}
	return t
}
