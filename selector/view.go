package selector

import (
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/limiter"
)

const (
	// listLag is how much later than the leader's data on a runner the platform's
	// list has to be read to override it: the list lags by two heartbeats and by the
	// time of the read.
	listLag = 6 * buckthorndyke.Second
	// otherVMsLoadsTTL is how long the leader's data on the load of the other VMs is
	// valid.
	otherVMsLoadsTTL = 2500 * buckthorndyke.Millisecond
	// slowTTL is how long a server that has not responded in time is avoided if there
	// is another.
	slowTTL = buckthorndyke.Second
	// suspectsTTL is how long the leader's list of failing servers is valid.
	suspectsTTL = 2500 * buckthorndyke.Millisecond
	// maxLeaving bounds the servers that are remembered as shutting down.
	maxLeaving = 1024
	// missingTTL is how long a model counts as not loaded on a runner that has
	// reported so, unless the list or the leader updates it earlier.
	missingTTL = 1500 * buckthorndyke.Millisecond
)

// runnerModels is the leader's data on a runner.
type runnerModels struct {
	buckthorndyke.RunnerModels
	// at is the instant at which the data was received.
	at buckthorndyke.Millis
}

// View is one entry VM's view of the backend servers. It is immutable.
type View struct {
	// attempts counts the outcomes of the VM's requests by server since its last
	// report to the leader.
	attempts buckthorndyke.Table[buckthorndyke.RunnerID, buckthorndyke.AttemptCounts]
	backoffs buckthorndyke.Table[buckthorndyke.RunnerID, backoff]
	// domainDelay is the extra time to servers in other failure domains in milliseconds, or
	// 0 if unknown.
	domainDelay float64
	// fleetSize is the number of entry VMs, or 0 if unknown.
	fleetSize int
	// fullUntil holds the runners to which no request may be sent for a time because
	// of their limit, and until when.
	fullUntil buckthorndyke.Table[buckthorndyke.RunnerID, buckthorndyke.Millis]
	index     index
	// leaving holds the servers that have said that they are shutting down, by the
	// incarnation that has said so.
	leaving buckthorndyke.Table[buckthorndyke.RunnerID, buckthorndyke.Incarnation]
	// limits holds the limits on the VM's requests in flight by runner.
	limits buckthorndyke.Table[buckthorndyke.RunnerID, limiter.Limit]
	list   buckthorndyke.Backends
	// meanHeld is the average memory of the VM's requests, in tokens.
	meanHeld float64
	// missingUntil holds the models and adapters that a runner has reported as not
	// loaded, and until when that is assumed.
	missingUntil buckthorndyke.Table[string, buckthorndyke.Millis]
	// otherVMsLoads are the requests of the other VMs by server, by the leader's last
	// reply.
	otherVMsLoads buckthorndyke.Table[buckthorndyke.RunnerID, int]
	// otherVMsUnread are the prompt tokens of the other VMs' requests that servers have not
	// begun to answer, averaged over the leader's last replies.
	otherVMsUnread buckthorndyke.Table[buckthorndyke.RunnerID, float64]
	// otherVMsLoadsUntil is the instant until which otherVMsLoads is valid.
	otherVMsLoadsUntil buckthorndyke.Millis
	// ownLoads is the load of the VM's own requests by server.
	ownLoads buckthorndyke.Table[buckthorndyke.RunnerID, Load]
	// pauses holds the servers that have asked for a pause.
	pauses       buckthorndyke.Table[buckthorndyke.RunnerID, pause]
	runnerModels buckthorndyke.Table[buckthorndyke.RunnerID, runnerModels]
	// service is how long the runner that has served last takes for a request, or 0.
	service buckthorndyke.Millis
	// shortestTargets holds the shortest target of recent requests by service.
	shortestTargets buckthorndyke.Table[buckthorndyke.ServiceID, shortestTarget]
	// slowUntil holds the servers that have not responded in time, and until when
	// they are avoided.
	slowUntil buckthorndyke.Table[buckthorndyke.RunnerID, buckthorndyke.Millis]
	// suspects are the servers that fail requests of all VMs, by the leader's last
	// reply.
	suspects buckthorndyke.Table[buckthorndyke.RunnerID, struct{}]
	// suspectsUntil is the instant until which suspects is valid.
	suspectsUntil buckthorndyke.Millis
	// times holds how long servers take, by service.
	times buckthorndyke.Table[buckthorndyke.ServiceID, serviceTimes]
}

// Load is the work in flight from a VM at a server.
type Load struct {
	// Held is the number of tokens of memory that the requests may take: their prompts and
	// the longest responses.
	Held int
	// Requests is the number of requests.
	Requests int
	// Tokens is the number of their prompt tokens.
	Tokens int
	// Unread is the number of prompt tokens of the requests that the server has not begun
	// to answer.
	Unread int
}

// plus returns the sum of l and other.
func (l Load) plus(other Load) Load {
	return Load{Held: l.Held + other.Held, Requests: l.Requests + other.Requests, Tokens: l.Tokens + other.Tokens, Unread: l.Unread + other.Unread}
}

// Negative returns the load whose sum with l is none.
func (l Load) Negative() Load {
	return Load{Held: -l.Held, Requests: -l.Requests, Tokens: -l.Tokens, Unread: -l.Unread}
}

// AttemptCounts returns the outcomes of the VM's requests by server since its last
// report to the leader.
func (v View) AttemptCounts() []buckthorndyke.AttemptCounts {
	var out []buckthorndyke.AttemptCounts
	for _, e := range v.attempts.All() {
		out = append(out, e)
	}
	return out
}

// List returns the platform's list.
func (v View) List() buckthorndyke.Backends { return v.list }

// NextRetry returns the time from now until a request may again be sent to a runner
// that was full or had not loaded a model. It is at most limit.
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
	for _, p := range v.pauses.All() {
		if p.until > now {
			limit = min(limit, p.until-now)
		}
	}
	return limit
}

// OwnLoad returns the load of the VM's own requests at a server.
func (v View) OwnLoad(id buckthorndyke.RunnerID) Load {
	load, _ := v.ownLoads.Get(id)
	return load
}

// OwnLoads returns the VM's own requests in flight by server.
func (v View) OwnLoads() []buckthorndyke.ServerLoad {
	var out []buckthorndyke.ServerLoad
	for id, load := range v.ownLoads.All() {
		out = append(out, buckthorndyke.ServerLoad{PromptTokens: load.Unread, Requests: load.Requests, Server: id})
	}
	return out
}

// WithBackends returns a view with another list of servers.
func (v View) WithBackends(list buckthorndyke.Backends) View {
	isIndexed := list.Servers.Same(v.list.Servers) && list.ModelsAt == v.list.ModelsAt
	v.list = list
	for id, incarnation := range v.leaving.All() {
		if listed, ok := list.Servers.Get(id); ok && listed.Incarnation != incarnation {
			v.leaving = v.leaving.Without(id)
		}
	}
	for id := range v.backoffs.All() {
		if !list.Servers.Has(id) {
			v.backoffs = v.backoffs.Without(id)
		}
	}
	for id := range v.limits.All() {
		if !list.Servers.Has(id) {
			v.limits = v.limits.Without(id)
		}
	}
	if isIndexed {
		return v
	}
	return v.indexed()
}

// WithFailedAttempt returns a view with one more failed attempt at a server, for
// which this VM alone does not avoid it.
func (v View) WithFailedAttempt(id buckthorndyke.RunnerID) View {
	e, _ := v.attempts.Get(id)
	e.Failed, e.Server = e.Failed+1, id
	v.attempts = v.attempts.With(id, e)
	return v
}

// WithFailure returns a view in which a server has failed at now and is avoided for
// some time.
func (v View) WithFailure(id buckthorndyke.RunnerID, now buckthorndyke.Millis) View {
	s, _ := v.backoffs.Get(id)
	v.backoffs = v.backoffs.With(id, s.withFailure(now))
	return v.WithFailedAttempt(id)
}

// WithLeaving returns a view in which a server has said that it is shutting down. No list
// changes that for the same incarnation: the list lags behind the server.
func (v View) WithLeaving(l buckthorndyke.Lifetime) View {
	for id := range v.leaving.All() {
		if v.leaving.Len() < maxLeaving {
			break
		}
		if !v.list.Servers.Has(id) {
			v.leaving = v.leaving.Without(id)
		}
	}
	if v.leaving.Len() < maxLeaving {
		v.leaving = v.leaving.With(l.Server, l.Incarnation)
	}
	return v
}

// Leaves reports whether a listed server is shutting down, by the list or by its own
// word.
func (v View) Leaves(listed buckthorndyke.Backend) bool {
	incarnation, ok := v.leaving.Get(listed.ID)
	return listed.Leaving || ok && incarnation == listed.Incarnation
}

// WithLoad returns a view in which the VM's load at a server has changed by d.
func (v View) WithLoad(id buckthorndyke.RunnerID, d Load) View {
	next := v.OwnLoad(id).plus(d)
	if d.Requests > 0 && d.Held > 0 {
		v.meanHeld += (float64(d.Held) - v.meanHeld) * heldWeight
	}
	if next.Requests <= 0 {
		v.ownLoads = v.ownLoads.Without(id)
	} else {
		v.ownLoads = v.ownLoads.With(id, next)
	}
	return v
}

// WithMissing returns a view in which a runner has reported at now that the model or
// adapter of key is not loaded.
func (v View) WithMissing(id buckthorndyke.RunnerID, key buckthorndyke.ModelKey, now buckthorndyke.Millis) View {
	v.missingUntil = v.missingUntil.With(missingKey(id, key), now+missingTTL)
	return v
}

// WithOtherVMsLoads returns a view with the requests of the other VMs, as received
// from the leader at now.
func (v View) WithOtherVMsLoads(list []buckthorndyke.ServerLoad, now buckthorndyke.Millis) View {
	v.otherVMsLoads = buckthorndyke.NewTable(func(yield func(buckthorndyke.RunnerID, int) bool) {
		for _, l := range list {
			if !yield(l.Server, l.Requests) {
				return
			}
		}
	})
	v = v.withOtherVMsUnread(list, now)
	v.otherVMsLoadsUntil = 0
	if len(list) > 0 {
		v.otherVMsLoadsUntil = now + otherVMsLoadsTTL
	}
	return v
}

// WithRunnerModels returns a view with the loaded models of runners, as received from
// the leader at now.
func (v View) WithRunnerModels(list []buckthorndyke.RunnerModels, now buckthorndyke.Millis) View {
	before := v
	changed := make([]buckthorndyke.RunnerID, 0, len(list))
	for _, r := range list {
		v.runnerModels = v.runnerModels.With(r.Runner, runnerModels{RunnerModels: r, at: now})
		changed = append(changed, r.Runner)
	}
	for id, r := range v.runnerModels.All() {
		if v.list.ModelsAt >= r.at+listLag {
			v.runnerModels = v.runnerModels.Without(id)
		}
	}
	v.missingUntil, v.fullUntil, v.slowUntil = withoutExpired(v.missingUntil, now), withoutExpired(v.fullUntil, now), withoutExpired(v.slowUntil, now)
	if len(changed) == 0 {
		return v
	}
	return v.reindexed(before, changed)
}

// WithSlow returns a view in which a server has not responded in time at now.
func (v View) WithSlow(id buckthorndyke.RunnerID, now buckthorndyke.Millis) View {
	v.slowUntil = v.slowUntil.With(id, now+slowTTL)
	return v
}

// WithSuccess returns a view in which a server has served a request.
func (v View) WithSuccess(id buckthorndyke.RunnerID) View {
	e, _ := v.attempts.Get(id)
	e.Served, e.Server = e.Served+1, id
	v.attempts = v.attempts.With(id, e)
	if v.backoffs.Has(id) {
		v.backoffs = v.backoffs.Without(id)
	}
	return v
}

// WithSuspects returns a view with the servers that fail requests of all VMs, as
// received from the leader at now.
func (v View) WithSuspects(list []buckthorndyke.RunnerID, now buckthorndyke.Millis) View {
	v.suspects = buckthorndyke.Table[buckthorndyke.RunnerID, struct{}]{}
	for _, id := range list {
		v.suspects = v.suspects.With(id, struct{}{})
	}
	v.suspectsUntil = now + suspectsTTL
	return v
}

// WithoutAttemptCounts returns a view after the attempt counts were reported to the
// leader.
func (v View) WithoutAttemptCounts() View {
	v.attempts = buckthorndyke.Table[buckthorndyke.RunnerID, buckthorndyke.AttemptCounts]{}
	return v
}

// latest returns a listed server with the leader's models if they are newer.
func (v View) latest(listed buckthorndyke.Backend) buckthorndyke.Backend {
	r, ok := v.runnerModels.Get(listed.ID)
	if !ok || v.list.ModelsAt >= r.at+listLag || r.Incarnation != listed.Incarnation {
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

// missingKey returns the table key of a model or adapter that is not loaded on a
// runner.
func missingKey(id buckthorndyke.RunnerID, key buckthorndyke.ModelKey) string {
	return string(id) + "/" + string(key.Model) + "/" + key.Adapter
}

// withoutExpired returns a table without the entries whose instant has passed at now.
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
