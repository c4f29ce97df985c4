package stager

import (
	"cmp"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

// minHotCopies is the least number of copies of a hot model whose load from the weight
// store takes longer than requests wait: with a single one, the loss of its runner, or an
// order in progress there, leaves the requests nothing to wait for.
const minHotCopies = 2

// domainsOf returns the failure domains in which a runner has loaded or is loading the
// model of key. It returns nil if there is no such runner.
func (p *planner) domainsOf(key buckthorndyke.ModelKey) map[buckthorndyke.DomainID]bool {
	if p.replicas(key) == 0 && !p.isLoading(key) {
		return nil
	}
	domains := make(map[buckthorndyke.DomainID]bool)
	for _, s := range p.runners.All() {
		if s.backend.Domain != "" && s.backend.Service == key.Service && (s.holds(key) || s.isLoading(key)) {
			domains[s.backend.Domain] = true
		}
	}
	return domains
}

// lostWithoutCopies reports whether requests for models of a service wait for a shorter
// time than a load of the given model from the weight store takes.
func (p *planner) lostWithoutCopies(key buckthorndyke.ModelKey) bool {
	patience, ok := p.patience[key.Service]
	return ok && p.loadDuration(key, buckthorndyke.TierRemote) > patience
}

// placeCopy plans the first order to load the model of key from the weight store on a
// runner that has no copy of it.
func (p *planner) placeCopy(key buckthorndyke.ModelKey, cfg buckthorndyke.EngineConfig, value float64) {
	domains := p.domainsOf(key)
	best, option, found := p.choose(key, cfg, value, func(s runnerState, o *loadOption) bool {
		if domains[s.backend.Domain] {
			o.cost += sameDomainCost
		}
		return o.tier == buckthorndyke.TierRemote
	})
	if found {
		p.addNextOrder(best, key, option, value)
	}
}

// replaceLeaving plans loads of the models that only leaving runners have loaded, if
// requests run there or the next one is expected before a load from the weight store would
// end. Their requests do not wait until the runner is gone.
func (p *planner) replaceLeaving() {
	var list []totalDemand
	for key := range p.departing {
		d := p.demands[key]
		d.key = key
		expected := p.rate(key) * float64(p.loadDuration(key, buckthorndyke.TierRemote)) / float64(buckthorndyke.Second)
		if p.replicas(key) == 0 && !p.isLoading(key) && d.waiting == 0 && (d.running > 0 || expected >= 1) {
			list = append(list, d)
		}
	}
	slices.SortFunc(list, func(a, b totalDemand) int {
		return cmp.Or(cmp.Compare(p.leavingValue(b), p.leavingValue(a)), compareKeys(a.key, b.key))
	})
	for _, d := range list {
		if cfg := p.engineConfig(d.key.Service); cfg != nil && cfg.Models.Has(d.key.Model) {
			p.place(d, *cfg, p.leavingValue(d))
		}
	}
}

// leavingValue returns the benefit of loading a model elsewhere that only leaving runners
// have loaded, in requests per second.
func (p *planner) leavingValue(d totalDemand) float64 {
	return p.value(d.key) + float64(d.running)
}
