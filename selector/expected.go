package selector

import (
	"math"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/estimator"
)

const (
	// riskDivisor divides the target of a request: if the expected time is longer than
	// that part of it, the target is at risk.
	riskDivisor = 2
	// riskSpreads is how many times the spread counts for that.
	riskSpreads = 3
	// restPart is the weight of the time after the first event, relative to that of the
	// time to it.
	restPart = 0.5
	// secondCachedPart is the part of a shared prefix that the second server by affinity is
	// expected to have cached. Requests go there when the first one is loaded.
	secondCachedPart = 0.5
	// defaultDomainDelay is the extra time to a server in another failure domain while it
	// is not known, and maxDomainDelay its maximum, in milliseconds.
	defaultDomainDelay = 2
	maxDomainDelay     = 50
	// domainDelayWeight is the weight of a further value of it.
	domainDelayWeight = 1.0 / 32
)

// Kinds of work that servers take different times for.
const (
	// workRead is the reading of prompt tokens, until the first event.
	workRead work = iota
	// workEvents is the making of events after the first one, by output tokens.
	workEvents
	// workCall is a call of a plain service.
	workCall
	workKinds
)

// work is a kind of work.
type work uint8

// serviceTimes holds the times of one service by kind of work.
type serviceTimes [workKinds]estimator.Times

// Sent describes a request that was sent to a server, and what was expected of it.
type Sent struct {
	Backend buckthorndyke.Backend
	Key     buckthorndyke.ModelKey
	// OutputTokens is the maximum length of the response.
	OutputTokens int
	// ReadTokens is the number of prompt tokens that the server has to read before its
	// first event, including those of requests that are there already.
	ReadTokens int
}

// Expected is what a view expects of a request at a server.
type Expected struct {
	// First is the time to the first event, or to the response of a plain service.
	First buckthorndyke.Millis
	// FirstAge and FirstSpread are the age and the spread of what First follows from.
	FirstAge, FirstSpread buckthorndyke.Millis
	// Rest is the time from the first event to the end.
	Rest buckthorndyke.Millis
}

// Expected returns what is expected of a request at a server, or false if too little is
// known.
func (v View) Expected(listed buckthorndyke.Backend, q Query) (Expected, bool) {
	return v.expected(listed, q, cachedTokens(v.affinityRank(listed.ID, q), q))
}

// ReadTokens returns the number of prompt tokens that a server has to read before the first
// event of a request.
func (v View) ReadTokens(listed buckthorndyke.Backend, q Query) int {
	return v.readTokens(listed.ID, q, cachedTokens(v.affinityRank(listed.ID, q), q))
}

// UncachedTokens returns the number of a request's prompt tokens that a server is expected
// not to have cached.
func (v View) UncachedTokens(listed buckthorndyke.Backend, q Query) int {
	return max(q.Tokens-cachedTokens(v.affinityRank(listed.ID, q), q), 0)
}

// ExpectedFirst returns the time to the first event that is expected of a request as it was
// sent, or false if too little is known.
func (v View) ExpectedFirst(s Sent, now buckthorndyke.Millis) (buckthorndyke.Millis, bool) {
	e, ok := v.timesOf(s.Key.Service)[workRead].Estimate(workOf(s, s.ReadTokens), now)
	return e.Time, ok
}

// ServerFactors returns by how much servers take longer than others, the slowest first, at
// most limit of them.
func (v View) ServerFactors(limit int, now buckthorndyke.Millis) []estimator.ServerFactor {
	var out []estimator.ServerFactor
	for _, t := range v.times.All() {
		for _, kind := range []work{workRead, workCall} {
			out = append(out, t[kind].ServerFactors(now)...)
		}
	}
	slices.SortStableFunc(out, func(a, b estimator.ServerFactor) int {
		switch {
		case a.Factor > b.Factor:
			return -1
		case a.Factor < b.Factor:
			return 1
		default:
			return 0
		}
	})
	return out[:min(len(out), limit)]
}

// WithFirstEvent returns a view in which a server has sent the first event of a response
// some time after the request was sent there.
func (v View) WithFirstEvent(s Sent, took, now buckthorndyke.Millis, domain buckthorndyke.DomainID) View {
	w := workOf(s, s.ReadTokens)
	if domain != "" && s.Backend.Domain != domain {
		if e, ok := v.timesOf(s.Key.Service)[workRead].Estimate(w, now); ok {
			delay := min(max(float64(took-e.Time), 0), maxDomainDelay)
			v.domainDelay += (delay - v.domainDelay) * domainDelayWeight
		}
	}
	return v.withTime(s.Key.Service, workRead, w, took, now)
}

// WithRest returns a view in which a server has ended a response some time after its first
// event.
func (v View) WithRest(s Sent, took, now buckthorndyke.Millis) View {
	return v.withTime(s.Key.Service, workEvents, workOf(s, s.OutputTokens), took, now)
}

// WithCall returns a view in which a server of a plain service has served a call.
func (v View) WithCall(s Sent, took, now buckthorndyke.Millis) View {
	return v.withTime(s.Key.Service, workCall, workOf(s, 0), took, now)
}

// WithoutOldTimes returns a view without the times and limits of servers that are not listed
// anymore, or that are too old.
func (v View) WithoutOldTimes(now buckthorndyke.Millis) View {
	for id, l := range v.limits.All() {
		if listed, ok := v.list.Servers.Get(id); !ok || !l.Valid(listed.Incarnation, now) {
			v.limits = v.limits.Without(id)
		}
	}
	for service, t := range v.times.All() {
		for kind := range t {
			t[kind] = t[kind].WithoutOld(now, v.list.Servers.Has)
		}
		v.times = v.times.With(service, t)
	}
	return v
}

// affinityRank returns how many of the servers that hold what the request needs are more
// likely to cache its prefix.
func (v View) affinityRank(id buckthorndyke.RunnerID, q Query) int {
	if q.Prefix == 0 {
		return 0
	}
	rank, own := 0, hashOf(id, q.Prefix)
	for _, h := range v.holders(q.Key) {
		if hashOf(h.server.ID, q.Prefix) > own {
			rank++
		}
	}
	return rank
}

// cachedTokens returns how many tokens of a request's prompt the server of an affinity rank
// is expected to have cached.
func cachedTokens(rank int, q Query) int {
	switch {
	case q.Prefix == 0:
		return 0
	case rank == 0:
		return q.PrefixTokens
	case rank == 1:
		return int(secondCachedPart * float64(q.PrefixTokens))
	default:
		return 0
	}
}

// chooseByTime returns a candidate that is drawn at random, or false if too little is known.
// Its probability falls with the expected time and with the requests there. VMs that know
// the same must not all choose the same server, and the other VMs' requests are only known
// as they were up to 1.6 s ago; hence no candidate is certain, and the VM's own requests
// count most. The shorter expected time of two candidates was tried: with two runners for a
// model, all VMs then overload the faster one.
func (v View) chooseByTime(candidates []candidate, q Query) (candidate, bool) {
	ranks := ranksOf(candidates, q)
	best, lowest := candidate{}, math.Inf(1)
	for n, c := range candidates {
		e, ok := v.expected(c.backend, q, cachedTokens(ranks[n], q))
		if !ok {
			return candidate{}, false
		}
		others, _ := v.othersAt(c.backend.ID, q.Now)
		score := max(float64(e.First)+restPart*float64(e.Rest), 1)
		own := float64(1 + v.OwnLoad(c.backend.ID).Requests)
		draw := -math.Log(uniformOf(c.backend.ID, q.Seed)) * score * score * own * own * own * own * math.Sqrt(float64(1+others))
		if draw < lowest {
			best, lowest = c, draw
		}
	}
	return best, true
}

// expected returns what is expected of a request at a server that has cached a part of the
// prompt.
func (v View) expected(listed buckthorndyke.Backend, q Query, cached int) (Expected, bool) {
	times := v.timesOf(q.Key.Service)
	s := Sent{Backend: listed, Key: q.Key}
	// A batch or a server that is full makes a request wait for about one of those there.
	crowd := 1.0
	if others, _ := v.othersAt(listed.ID, q.Now); listed.Slots > 0 {
		crowd = max(float64(others+v.OwnLoad(listed.ID).Requests+1)/float64(listed.Slots), 1)
	}
	var out Expected
	if q.Key.Model == "" {
		call, ok := times[workCall].Estimate(workOf(s, 0), q.Now)
		out = Expected{First: buckthorndyke.Millis(float64(call.Time) * crowd), FirstAge: call.Age, FirstSpread: call.Spread}
		return v.withDomainDelay(out, listed, q), ok
	}
	first, ok := times[workRead].Estimate(workOf(s, v.readTokens(listed.ID, q, cached)), q.Now)
	out = Expected{First: first.Time, FirstAge: first.Age, FirstSpread: first.Spread}
	if rest, known := times[workEvents].Estimate(workOf(s, q.OutputTokens), q.Now); known {
		out.Rest = buckthorndyke.Millis(float64(rest.Time) * crowd)
	}
	return v.withDomainDelay(out, listed, q), ok
}

// isAtRisk reports whether the target of a request is at risk at a server.
func (v View) isAtRisk(c candidate, q Query) bool {
	if q.Target == 0 {
		return false
	}
	e, ok := v.Expected(c.backend, q)
	return ok && e.First+riskSpreads*e.FirstSpread > q.Target/riskDivisor
}

// readTokens returns the number of prompt tokens that a server has to read before the first
// event of a request.
func (v View) readTokens(id buckthorndyke.RunnerID, q Query, cached int) int {
	return max(q.Tokens-cached, 0) + v.OwnLoad(id).Unread + v.othersUnread(id, q.Now)
}

// timesOf returns the times of a service.
func (v View) timesOf(service buckthorndyke.ServiceID) serviceTimes {
	t, _ := v.times.Get(service)
	return t
}

// withDomainDelay returns what is expected at a server with the delay to its failure domain.
func (v View) withDomainDelay(e Expected, listed buckthorndyke.Backend, q Query) Expected {
	if q.Domain != "" && listed.Domain != q.Domain {
		e.First += buckthorndyke.Millis(math.Ceil(max(v.domainDelay, defaultDomainDelay)))
	}
	return e
}

// withTime returns the view after work has taken a time.
func (v View) withTime(service buckthorndyke.ServiceID, kind work, w estimator.Work, took, now buckthorndyke.Millis) View {
	t := v.timesOf(service)
	t[kind] = t[kind].With(w, took, now)
	v.times = v.times.With(service, t)
	return v
}

// ranksOf returns the affinity ranks of candidates among each other.
func ranksOf(candidates []candidate, q Query) []int {
	ranks := make([]int, len(candidates))
	if q.Prefix == 0 {
		return ranks
	}
	for n, c := range candidates {
		for _, other := range candidates {
			if other.affinity > c.affinity {
				ranks[n]++
			}
		}
	}
	return ranks
}

// uniformOf returns a random number between 0 and 1 for a server and a seed.
func uniformOf(id buckthorndyke.RunnerID, seed uint64) float64 {
	return (float64(hashOf(id, seed)>>uniformShift) + 0.5) / (1 << (64 - uniformShift))
}

// workOf returns the work of a request at its server.
func workOf(s Sent, amount int) estimator.Work {
	return estimator.Work{Amount: amount, Incarnation: s.Backend.Incarnation, Model: s.Key.Model, Server: s.Backend.ID}
}
