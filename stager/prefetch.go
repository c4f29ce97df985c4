package stager

import (
	"cmp"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

// copySlotsPerRequest is the number of batch slots per request per second below which
// a model's cached copies are too few: another copy is prefetched once the runners
// with a copy have fewer slots than this for each request per second. Demand that
// moves to the model then finds runners with a copy, while the weight store would
// have to serve several loads one after the other. By the deployments' data sheets, a
// runner with 12 slots serves about 15 requests per second.
const copySlotsPerRequest = 4

// prefetch is a model that is worth loading before requests wait for it, so that a
// runner has a copy of its checkpoint.
type prefetch struct {
	key buckthorndyke.ModelKey
	// value is the benefit of the copy in requests per second.
	value float64
}

// copyCount counts the runners with a copy of a model's checkpoint.
type copyCount struct {
	// cached is set if one of the copies outlasts an unload, on a disk or in host memory.
	cached  bool
	runners int
	// tier is the fastest tier of these.
	tier buckthorndyke.Tier
}

// countCopies counts the runners with a copy of each model's checkpoint.
func (p *planner) countCopies() {
	p.copies = make(map[buckthorndyke.ModelKey]*copyCount)
	for _, s := range p.runners.All() {
		if s.backend.Leaving || s.unresponsive() {
			continue
		}
		key := buckthorndyke.ModelKey{Service: s.backend.Service}
		for model, tier := range s.backend.Cached {
			key.Model = model
			p.noteCopy(key, tier)
		}
		for _, h := range s.backend.LoadedModels {
			key.Model = h.Model
			if s.backend.Tier(h.Model) == buckthorndyke.TierRemote {
				p.noteCopy(key, buckthorndyke.TierRemote)
			}
		}
	}
}

// copiesOf counts the copies of the model of key.
func (p *planner) copiesOf(key buckthorndyke.ModelKey) copyCount {
	if c := p.copies[key]; c != nil {
		return *c
	}
	return copyCount{}
}

// noteCopy counts another copy of the model of key. At TierRemote it is only in use, and
// lost by an unload.
func (p *planner) noteCopy(key buckthorndyke.ModelKey, tier buckthorndyke.Tier) {
	c := p.copies[key]
	if c == nil {
		c = &copyCount{}
		p.copies[key] = c
	}
	c.runners++
	if tier != buckthorndyke.TierRemote && (!c.cached || tier < c.tier) {
		c.cached, c.tier = true, tier
	}
}

// needsMoreCopies reports whether a model has copies, but too few for its request
// rate.
func (p *planner) needsMoreCopies(key buckthorndyke.ModelKey, cfg buckthorndyke.EngineConfig) bool {
	copies := p.copiesOf(key).runners
	return copies > 0 && p.rate(key)*copySlotsPerRequest >= float64(copies*cfg.Slots)
}

// needsSecondCopy reports whether a model is hot and has a single copy, without which its
// requests would be lost.
func (p *planner) needsSecondCopy(key buckthorndyke.ModelKey) bool {
	copies := p.copiesOf(key).runners
	return copies > 0 && copies < minHotCopies && p.rate(key) >= hotRate && p.lostWithoutCopies(key)
}

// prefetchCopies plans loads of models that no runner has a copy of, and of models
// with too few copies, so that later loads find a copy on a local disk. While
// requests wait it only loads models with some demand.
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
			p.placeCopy(c.key, *service.Engine, c.value)
		}
	}
}

// prefetches returns the models of a service that are worth prefetching, by falling
// value.
func (p *planner) prefetches(id buckthorndyke.ServiceID, cfg buckthorndyke.EngineConfig) []prefetch {
	var list []prefetch
	for model := range cfg.Models.All() {
		key := buckthorndyke.ModelKey{Model: model, Service: id}
		switch {
		case p.isLoading(key):
		case p.copiesOf(key).runners == 0:
			list = append(list, prefetch{key: key, value: firstCopyValue + p.value(key)})
		case p.needsMoreCopies(key, cfg), p.needsSecondCopy(key):
			list = append(list, prefetch{key: key, value: p.rate(key) / float64(p.copiesOf(key).runners)})
		}
	}
	slices.SortFunc(list, func(a, b prefetch) int {
		return cmp.Or(cmp.Compare(b.value, a.value), cmp.Compare(a.key.Model, b.key.Model))
	})
	return list
}
