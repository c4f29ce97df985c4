package stager

import (
	"cmp"
	"maps"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

// copied returns the models of which some runner has a copy.
func (p *planner) copied() map[buckthorndyke.ModelKey]bool {
	out := make(map[buckthorndyke.ModelKey]bool)
	for _, s := range p.stages.All() {
		for model := range s.backend.Copies {
			out[buckthorndyke.ModelKey{Model: model, Service: s.backend.Service}] = true
		}
		for _, h := range s.backend.Holdings {
			out[buckthorndyke.ModelKey{Model: h.Model, Service: s.backend.Service}] = true
		}
	}
	return out
}

// copyAhead loads models that no runner has a copy of: their next requests then
// find them on a disk. While something waits it loads those that were asked for.
func (p *planner) copyAhead() {
	waits := slices.ContainsFunc(slices.Collect(maps.Values(p.wants)), func(w want) bool { return w.waiting > 0 })
	copied := p.copied()
	for id, service := range p.routing.Services.All() {
		if service.Engine == nil {
			continue
		}
		for _, key := range p.uncopied(id, *service.Engine, copied) {
			if waits && p.worth(key) == 0 || !p.mayLoadRemote(*service.Engine, key) {
				break
			}
			p.place(want{key: key}, *service.Engine, copyWorth+p.worth(key))
		}
	}
}

// uncopied returns the models of a service of which no runner has a copy or gets
// one, those that were asked for most first.
func (p *planner) uncopied(
	id buckthorndyke.ServiceID, facts buckthorndyke.EngineFacts, copied map[buckthorndyke.ModelKey]bool,
) []buckthorndyke.ModelKey {
	type wanted struct {
		key   buckthorndyke.ModelKey
		worth float64
	}
	var list []wanted
	for model := range facts.Models.All() {
		key := buckthorndyke.ModelKey{Model: model, Service: id}
		if !copied[key] && !p.coming(key) {
			list = append(list, wanted{key: key, worth: p.worth(key)})
		}
	}
	slices.SortFunc(list, func(a, b wanted) int {
		return cmp.Or(cmp.Compare(b.worth, a.worth), cmp.Compare(a.key.Model, b.key.Model))
	})
	out := make([]buckthorndyke.ModelKey, len(list))
	for i, w := range list {
		out[i] = w.key
	}
	return out
}
