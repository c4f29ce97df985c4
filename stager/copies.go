package stager

import (
	"cmp"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

// copyRate is the rate of requests a second for each copy of a model from which on
// another copy is made ahead of need: demand that moves to the model then finds
// runners with copies, while the weight store would take several loads in turn. A
// runner of the deployments' sheets with 12 places serves about 15.
const copyRate = 3.0

// spare is a model of which a copy may be made ahead of need.
type spare struct {
	key buckthorndyke.ModelKey
	// worth is what the copy is worth, in requests a second.
	worth float64
}

// copies returns the number of runners with a copy of each model, those that are
// being loaded included.
func (p *planner) copies() map[buckthorndyke.ModelKey]int {
	out := make(map[buckthorndyke.ModelKey]int)
	for _, s := range p.stages.All() {
		if s.backend.Leaving || s.down() {
			continue
		}
		key := buckthorndyke.ModelKey{Service: s.backend.Service}
		for key.Model = range s.backend.Copies {
			out[key]++
		}
		for _, h := range s.backend.Holdings {
			key.Model = h.Model
			if s.backend.Tier(h.Model) == buckthorndyke.TierRemote {
				out[key]++
			}
		}
	}
	for key, n := range p.arriving {
		if key.Adapter == "" {
			out[key] += n
		}
	}
	return out
}

// copyAhead loads models that no runner has a copy of, and further copies of models
// with many requests for each: what comes next then finds them on a disk. While
// something waits it loads those that were asked for.
func (p *planner) copyAhead() {
	waits := p.demand.waits()
	copies := p.copies()
	for id, service := range p.routing.Services.All() {
		if service.Engine == nil {
			continue
		}
		for _, c := range p.spares(id, *service.Engine, copies) {
			if waits && p.worth(c.key) == 0 || !p.mayLoadRemote(*service.Engine, c.key) {
				break
			}
			p.place(want{key: c.key}, *service.Engine, c.worth)
		}
	}
}

// spares returns the models of a service of which a copy is worth making, the most
// worthy first.
func (p *planner) spares(
	id buckthorndyke.ServiceID, facts buckthorndyke.EngineFacts, copies map[buckthorndyke.ModelKey]int,
) []spare {
	var list []spare
	for model := range facts.Models.All() {
		key := buckthorndyke.ModelKey{Model: model, Service: id}
		n := copies[key]
		switch {
		case p.coming(key):
		case n == 0:
			list = append(list, spare{key: key, worth: copyWorth + p.worth(key)})
		case p.rate(key) >= copyRate*float64(n):
			list = append(list, spare{key: key, worth: p.rate(key) / float64(n)})
		}
	}
	slices.SortFunc(list, func(a, b spare) int {
		return cmp.Or(cmp.Compare(b.worth, a.worth), cmp.Compare(a.key.Model, b.key.Model))
	})
	return list
}
