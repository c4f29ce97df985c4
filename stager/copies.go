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
const copySlots = 4

// spare is a model of which a copy may be made ahead of need.
type spare struct {
	key buckthorndyke.ModelKey
	// worth is what the copy is worth, in requests a second.
	worth float64
}

// countCopies counts the runners with a copy of each model.
func (p *planner) countCopies() {
	p.copies = make(map[buckthorndyke.ModelKey]int)
	for _, s := range p.stages.All() {
		if s.backend.Leaving || s.down() {
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

// copyAhead loads models that no runner has a copy of, and further copies of models
// with many requests for each: what comes next then finds them on a disk. While
// something waits it loads those that were asked for.
func (p *planner) copyAhead() {
	waits := len(p.demand.waiting()) > 0
	for id, service := range p.routing.Services.All() {
		if service.Engine == nil {
			continue
		}
		for _, c := range p.spares(id, *service.Engine) {
			if waits && p.worth(c.key) == 0 || !p.mayLoadRemote(*service.Engine, c.key) {
				break
			}
			p.place(want{key: c.key}, *service.Engine, c.worth)
		}
	}
}

// scarce reports whether a model has many requests for each copy.
func (p *planner) scarce(key buckthorndyke.ModelKey, facts buckthorndyke.EngineConfig) bool {
	return p.copies[key] > 0 && p.rate(key)*copySlots >= float64(p.copies[key]*facts.Slots)
}

// spares returns the models of a service of which a copy is worth making, the most
// worthy first.
func (p *planner) spares(id buckthorndyke.ServiceID, facts buckthorndyke.EngineConfig) []spare {
	var list []spare
	for model := range facts.Models.All() {
		key := buckthorndyke.ModelKey{Model: model, Service: id}
		switch {
		case p.coming(key):
		case p.copies[key] == 0:
			list = append(list, spare{key: key, worth: copyWorth + p.worth(key)})
		case p.scarce(key, facts):
			list = append(list, spare{key: key, worth: p.rate(key) / float64(p.copies[key])})
		}
	}
	slices.SortFunc(list, func(a, b spare) int {
		return cmp.Or(cmp.Compare(b.worth, a.worth), cmp.Compare(a.key.Model, b.key.Model))
	})
	return list
}
