package stager

import (
	"cmp"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

// copySlots is the number of a runner's places for each request a second and copy of
// a model from which on another copy is made ahead of need: demand that moves to the
// model then finds runners with copies, while the weight store would take several
// loads in turn. A runner of the deployments' sheets with 12 places serves about 15
// requests a second.
const copySlotsPerRequest = 4

// spare is a model of which a copy may be made ahead of need.
type prefetch struct {
	key buckthorndyke.ModelKey
	// worth is what the copy is worth, in requests a second.
	value float64
}

// countCopies counts the runners with a copy of each model.
func (p *planner) countCopies() {
	p.copies = make(map[buckthorndyke.ModelKey]int)
	for _, s := range p.runners.All() {
		if s.backend.Leaving || s.unresponsive() {
			continue
		}
		key := buckthorndyke.ModelKey{Service: s.backend.Service}
		for key.Model = range s.backend.Cached {
			p.copies[key]++
		}
		for _, h := range s.backend.LoadedModels {
			key.Model = h.Model
			if s.backend.Tier(h.Model) == buckthorndyke.TierRemote {
				p.copies[key]++
			}
		}
	}
}

// scarce reports whether a model has many requests for each copy.
func (p *planner) needsMoreCopies(key buckthorndyke.ModelKey, cfg buckthorndyke.EngineConfig) bool {
	return p.copies[key] > 0 && p.rate(key)*copySlotsPerRequest >= float64(p.copies[key]*cfg.Slots)
}

// copyAhead loads models that no runner has a copy of, and further copies of models
// with many requests for each: what comes next then finds them on a disk. While
// something waits it loads those that were asked for.
func (p *planner) prefetchCopies() {
	waiting := len(p.demand.waitingKeys()) > 0
	for id, service := range p.routing.Services.All() {
		if service.Engine == nil {
			continue
		}
		for _, c := range p.prefetches(id, *service.Engine) {
			if waiting && p.value(c.key) == 0 || !p.mayLoadRemote(*service.Engine, c.key) {
				break
			}
			p.place(totalDemand{key: c.key}, *service.Engine, c.value)
		}
	}
}

// spares returns the models of a service of which a copy is worth making, the most
// worthy first.
func (p *planner) prefetches(id buckthorndyke.ServiceID, cfg buckthorndyke.EngineConfig) []prefetch {
	var list []prefetch
	for model := range cfg.Models.All() {
		key := buckthorndyke.ModelKey{Model: model, Service: id}
		switch {
		case p.isLoading(key):
		case p.copies[key] == 0:
			list = append(list, prefetch{key: key, value: firstCopyValue + p.value(key)})
		case p.needsMoreCopies(key, cfg):
			list = append(list, prefetch{key: key, value: p.rate(key) / float64(p.copies[key])})
		}
	}
	slices.SortFunc(list, func(a, b prefetch) int {
		return cmp.Or(cmp.Compare(b.value, a.value), cmp.Compare(a.key.Model, b.key.Model))
	})
	return list
}
