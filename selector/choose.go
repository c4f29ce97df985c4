package selector

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// affinitySlack is how much more load than the least loaded runner the one that
	// probably caches the prompt's prefix may have, in units.
	affinitySlack = 6000
	// otherDomainPenalty is the load in units that is added for a server in another
	// failure domain.
	otherDomainPenalty = 150
	// otherDomainFactor is the factor on the load of a server in another failure
	// domain, if the load by all VMs is known.
	otherDomainFactor = 1.5
	// uniformShift leaves 53 bits of a hash, which a float64 represents exactly.
	uniformShift = 11
	// unitsPerRequest is the load of one request, in units.
	unitsPerRequest = 1000
	// tokensPerUnit is the number of prompt tokens that count as one unit of load.
	tokensPerUnit = 1
)

// Health levels of servers, best first.
const (
	healthGood health = iota
	// healthSlow means that the server has not responded in time.
	healthSlow
	// healthFailing means that the server has failed requests.
	healthFailing
	healthLevels
)

// health is a server's health as seen by this VM and the leader.
type health int

// Query describes a request that needs a server.
type Query struct {
	// CacheTokens is a runner's memory for tokens, or 0 if unknown.
	CacheTokens int
	// Domain is the VM's own failure domain.
	Domain buckthorndyke.DomainID
	// Excluded are servers that the request must not be sent to again.
	Excluded []buckthorndyke.RunnerID
	Key      buckthorndyke.ModelKey
	Now      buckthorndyke.Millis
	// OutputTokens is the maximum length of the response.
	OutputTokens int
	// Prefix is the hash of the prompt's beginning, or 0.
	Prefix uint64
	// PrefixTokens is the length of the prompt's beginning.
	PrefixTokens int
	// Seed makes the choice among equal servers random.
	Seed uint64
	// Target is the objective for the time to the first event or the response, or 0.
	Target buckthorndyke.Millis
	// Tokens is the length of the prompt.
	Tokens int
	// Waited is the time since the request arrived.
	Waited buckthorndyke.Millis
}

// Choose returns the server to send the request to, or false if none can take it now.
// Slow servers are chosen only if there is no healthy one, and failing servers, those
// that have failed recently or that fail requests of all VMs, only if there is no
// other. A server that fails each request at once has no load, so it would otherwise
// be chosen by load.
//
// While the request is expected to meet its target with ease at the server that is chosen by
// load and prefix cache, or too little is known, that server is chosen. Otherwise the
// expected times decide.
func (v View) Choose(q Query) (buckthorndyke.Backend, bool) {
	candidates := v.candidates(q)
	if len(candidates) == 0 {
		return buckthorndyke.Backend{}, false
	}
	chosen := chooseByLoad(candidates, q)
	if len(candidates) > 1 && v.isAtRisk(chosen, q) {
		if c, ok := v.chooseByTime(candidates, q); ok {
			chosen = c
		}
	}
	return chosen.backend, true
}

// chooseByLoad returns the candidate with the least load, or the one that probably caches the
// prefix if it has little more.
func chooseByLoad(candidates []candidate, q Query) candidate {
	best := slices.MinFunc(candidates, func(x, y candidate) int { return x.compareLoad(y) })
	if q.Prefix == 0 {
		return best
	}
	cached := slices.MaxFunc(candidates, func(x, y candidate) int { return x.compareAffinity(y) })
	if cached.total <= best.total+affinitySlack {
		return cached
	}
	return best
}

// candidate is a server that can take a request.
type candidate struct {
	// affinity is highest for the server that probably caches the prefix.
	affinity uint64
	backend  buckthorndyke.Backend
	// draw decides at random between servers with equal load; the lowest wins.
	draw float64
	// total is the load in units, including that of the other VMs if it is known.
	total int
	// units is the load in units by which candidates are compared.
	units int
}

// compareAffinity orders candidates by the likelihood that they cache the prefix.
func (c candidate) compareAffinity(other candidate) int {
	switch {
	case c.affinity < other.affinity:
		return -1
	case c.affinity > other.affinity:
		return 1
	default:
		return 0
	}
}

// compareLoad orders candidates by load.
func (c candidate) compareLoad(other candidate) int {
	switch {
	case c.units != other.units:
		return c.units - other.units
	case c.draw < other.draw:
		return -1
	default:
		return 1
	}
}

// candidates returns the servers of the best health level among those that can take
// the request.
func (v View) candidates(q Query) []candidate {
	var byHealth [healthLevels][]candidate
	for _, h := range v.holders(q.Key) {
		if !v.canTake(h, q) {
			continue
		}
		level := v.health(h.server.ID, q.Now)
		byHealth[level] = append(byHealth[level], v.candidate(*h.server, q))
	}
	for _, list := range byHealth {
		if len(list) > 0 {
			return list
		}
	}
	return nil
}

// candidate returns a server as a candidate for the request.
func (v View) candidate(listed buckthorndyke.Backend, q Query) candidate {
	id := listed.ID
	c := candidate{backend: listed, draw: float64(hashOf(id, q.Seed)), units: v.loadUnits(listed, q.Domain)}
	c.total = c.units
	if q.Now < v.otherVMsLoadsUntil {
		others, _ := v.otherVMsLoads.Get(id)
		c.draw, c.units = v.weightedDraw(listed, q), v.ownLoadUnits(listed)
		c.total = c.units + others*unitsPerRequest
	}
	if q.Prefix != 0 {
		c.affinity = hashOf(id, q.Prefix)
	}
	return c
}

// canTake reports whether a server can take the request now.
func (v View) canTake(h holder, q Query) bool {
	return !v.Leaves(*h.server) && !slices.Contains(q.Excluded, h.server.ID) && !v.isPaused(*h.server, q.Now) &&
		v.holdsModel(h, q) && v.hasRoom(*h.server, q)
}

// health returns the health of a server as seen by this VM and the leader.
func (v View) health(id buckthorndyke.RunnerID, now buckthorndyke.Millis) health {
	if s, ok := v.backoffs.Get(id); ok && now < s.until || now < v.suspectsUntil && v.suspects.Has(id) {
		return healthFailing
	}
	if until, ok := v.slowUntil.Get(id); ok && now < until {
		return healthSlow
	}
	return healthGood
}

// holdsModel reports whether a server has loaded what the request needs.
func (v View) holdsModel(h holder, q Query) bool {
	if q.Key.Model == "" {
		return true
	}
	if v.missingUntil.Len() > 0 {
		if until, ok := v.missingUntil.Get(missingKey(h.server.ID, q.Key)); ok && q.Now < until {
			return false
		}
		if until, ok := v.missingUntil.Get(missingKey(h.server.ID, q.Key.Base())); ok && q.Now < until {
			return false
		}
	}
	return h.model.HasAdapter(q.Key.Adapter)
}

// loadUnits returns the load of a server by this VM in units, with the penalty for
// one in another failure domain than domain.
func (v View) loadUnits(listed buckthorndyke.Backend, domain buckthorndyke.DomainID) int {
	units := v.ownLoadUnits(listed)
	if domain != "" && listed.Domain != domain {
		units += otherDomainPenalty
	}
	return units
}

// ownLoadUnits returns the load of a server by this VM, in units.
func (v View) ownLoadUnits(listed buckthorndyke.Backend) int {
	load := v.OwnLoad(listed.ID)
	return load.Requests*unitsPerRequest + load.Tokens/tokensPerUnit
}

// weightedDraw returns a random number by which a server has the lowest number with a
// probability that falls with the load of the other VMs there. The leader's data is
// old and the same for all VMs: if each VM chose the least loaded server, all would
// choose the same.
func (v View) weightedDraw(listed buckthorndyke.Backend, q Query) float64 {
	others, _ := v.otherVMsLoads.Get(listed.ID)
	weight := float64(1 + others)
	if q.Domain != "" && listed.Domain != q.Domain {
		weight *= otherDomainFactor
	}
	return -math.Log(uniformOf(listed.ID, q.Seed)) * weight
}

// hashOf returns a hash of a server and a seed.
func hashOf(id buckthorndyke.RunnerID, seed uint64) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(id))
	_, _ = d.Write([]byte{
		byte(seed), byte(seed >> 8), byte(seed >> 16), byte(seed >> 24),
		byte(seed >> 32), byte(seed >> 40), byte(seed >> 48), byte(seed >> 56),
	})
	return d.Sum64()
}
