package selector

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// affinitySlack is how much more load than the least loaded runner the one
	// with the probable prefix cache may have, in units.
	affinitySlack = 6000
	// otherDomain is the load in units that a server in another failure domain is
	// held to have more.
	otherDomainPenalty = 150
	// otherDomainWeight is the factor by which a server in another failure domain is
	// held to be more loaded, if the load of all VMs is known.
	otherDomainFactor = 1.5
	// uniformShift leaves the bits of a hash that a float64 holds exactly.
	uniformShift = 11
	// requestUnits is the load of one request.
	unitsPerRequest = 1000
	// tokensPerUnit is the number of prompt tokens that weigh one unit.
	tokensPerUnit = 1
)

// Standings of servers, the soundest first.
const (
	healthGood health = iota
	// standingSlow means that the server stays silent.
	healthSlow
	// standingFailing means that the server has failed requests.
	healthFailing
	healthLevels
)

// standing says how sound a server is.
type health int

// Query describes a request that needs a server.
type Query struct {
	Domain buckthorndyke.DomainID
	// Excluded are servers that the request must not go to again.
	Excluded []buckthorndyke.RunnerID
	Key      buckthorndyke.ModelKey
	Now      buckthorndyke.Millis
	// Prefix identifies the shared beginning of the prompt, or is 0.
	Prefix uint64
	Seed   uint64
}

// Choose returns the server that the request goes to, or false if none can take
// it now. Servers that stay silent are taken only if there is no other, and those
// that failed lately, or fail requests of all VMs, only if there are no such either:
// a server that fails at once is never loaded.
func (v View) Choose(q Query) (buckthorndyke.Backend, bool) {
	sound := v.candidates(q)
	if len(sound) == 0 {
		return buckthorndyke.Backend{}, false
	}
	best := slices.MinFunc(sound, func(x, y candidate) int { return x.compareLoad(y) })
	if q.Prefix == 0 {
		return best.backend, true
	}
	near := slices.MaxFunc(sound, func(x, y candidate) int { return x.compareAffinity(y) })
	if near.total <= best.total+affinitySlack {
		return near.backend, true
	}
	return best.backend, true
}

// candidate is a server that can take a request.
type candidate struct {
	// near is the highest for the server that probably caches the prefix.
	affinity uint64
	backend  buckthorndyke.Backend
	// draw breaks ties at random; the lowest is taken.
	draw float64
	// total is the server's load with that of the other VMs, as far as it is known.
	total int
	// units is the server's load.
	units int
}

// compareNear orders candidates by the likelihood that they cache the prefix.
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

// compare orders candidates by load.
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

// candidates returns the servers that can take the request, of the soundest standing
// that there is.
func (v View) candidates(q Query) []candidate {
	var by [healthLevels][]candidate
	for id, listed := range v.list.Servers.All() {
		if listed.Service != q.Key.Service || listed.Leaving || slices.Contains(q.Excluded, id) || !v.holds(listed, q) {
			continue
		}
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
		by[v.health(id, q.Now)] = append(by[v.health(id, q.Now)], c)
	}
	for _, list := range by {
		if len(list) > 0 {
			return list
		}
	}
	return nil
}

// standing returns what this VM and the leader know of a server.
func (v View) health(id buckthorndyke.RunnerID, now buckthorndyke.Millis) health {
	if s, ok := v.backoffs.Get(id); ok && now < s.until || now < v.suspectsUntil && v.suspects.Has(id) {
		return healthFailing
	}
	if until, ok := v.slowUntil.Get(id); ok && now < until {
		return healthSlow
	}
	return healthGood
}

// holds reports whether a server holds what the request needs and has not just said
// that it has no place.
func (v View) holds(listed buckthorndyke.Backend, q Query) bool {
	if q.Key.Model == "" {
		return true
	}
	if until, ok := v.fullUntil.Get(listed.ID); ok && q.Now < until {
		return false
	}
	if until, ok := v.missingUntil.Get(missingKey(listed.ID, q.Key)); ok && q.Now < until {
		return false
	}
	if until, ok := v.missingUntil.Get(missingKey(listed.ID, q.Key.Base())); ok && q.Now < until {
		return false
	}
	h, ok := v.latest(listed).LoadedModel(q.Key.Model)
	return ok && h.HasAdapter(q.Key.Adapter)
}

// units returns the load of a server as seen from domain.
func (v View) loadUnits(listed buckthorndyke.Backend, domain buckthorndyke.DomainID) int {
	units := v.ownLoadUnits(listed)
	if domain != "" && listed.Domain != domain {
		units += otherDomainPenalty
	}
	return units
}

// ownUnits returns the VM's own load at a server.
func (v View) ownLoadUnits(listed buckthorndyke.Backend) int {
	load := v.OwnLoad(listed.ID)
	return load.Requests*unitsPerRequest + load.Tokens/tokensPerUnit
}

// weigh returns a random number that is the lowest for a server with a likelihood
// that falls with the load that the other VMs have there. The leader's word is old
// and the same for all VMs: if each took the least loaded server, all would take
// the same.
func (v View) weightedDraw(listed buckthorndyke.Backend, q Query) float64 {
	others, _ := v.otherVMsLoads.Get(listed.ID)
	weight := float64(1 + others)
	if q.Domain != "" && listed.Domain != q.Domain {
		weight *= otherDomainFactor
	}
	uniform := (float64(hashOf(listed.ID, q.Seed)>>uniformShift) + 0.5) / (1 << (64 - uniformShift))
	return -math.Log(uniform) * weight
}

// hashOf returns a number that depends on a server and a seed.
func hashOf(id buckthorndyke.RunnerID, seed uint64) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(id))
	_, _ = d.Write([]byte{
		byte(seed), byte(seed >> 8), byte(seed >> 16), byte(seed >> 24),
		byte(seed >> 32), byte(seed >> 40), byte(seed >> 48), byte(seed >> 56),
	})
	return d.Sum64()
}
