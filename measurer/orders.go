package main

import "github.com/buckthorndyke/buckthorndyke"

// execute evicts and loads as p says. A runner loads one model or adapter at a
// time.
func (f *fleet) execute(r *runner, p plan) {
	r.preempted, r.paused = p.preempted, p.paused
	for _, model := range p.evict {
		r.residents = r.residents.Without(model)
		f.tally.evictions++
	}
	f.updatePermitRequest(r, p.loads)
	if r.loading != nil {
		return
	}
	for _, l := range p.loads {
		switch {
		case r.tiers[l.rule.ID] != buckthorndyke.TierRemote:
			f.startLoad(r, l, false)
			return
		case r.permitted && r.permitLoad.rule.ID == l.rule.ID:
			r.permitLoad, r.permitted = nil, false
			f.startLoad(r, l, true)
			return
		}
	}
}

// startLoad starts a load. If permitted is set, it returns the permit at the
// end.
func (f *fleet) startLoad(r *runner, l load, permitted bool) {
	f.tally.loads++
	r.loading = &l
	r.loadEnd = f.loop.now + loadTime(r.tiers[l.rule.ID], l.rule)
	f.tally.peakMemoryMB = max(f.tally.peakMemoryMB, r.usedMB())
	f.loop.schedule(r.loadEnd, func() {
		f.countIdle(r)
		r.loading = nil
		r.residents = r.residents.With(l.rule.ID, resident{lastUsed: f.loop.now, paid: l.rank.Paid(), rule: l.rule})
		if permitted {
			f.gate.release(l.rule.IsAdapter())
		}
		f.applyPolicies(r)
	})
}

// updatePermitRequest requests a permit for the first of loads that comes from
// the weight store. It cancels or returns the permit for any other load.
func (f *fleet) updatePermitRequest(r *runner, loads []load) {
	var first *load
	for _, l := range loads {
		if r.tiers[l.rule.ID] == buckthorndyke.TierRemote && r.loading == nil {
			first = &l
			break
		}
	}
	if r.permitLoad != nil && (first == nil || r.permitLoad.rule.ID != first.rule.ID || !r.permitted && r.permitLoad.rank > first.rank) {
		if r.permitted {
			f.gate.release(r.permitLoad.rule.IsAdapter())
		} else {
			f.gate.cancel(r.permitNumber)
		}
		r.permitLoad, r.permitted = nil, false
	}
	if first == nil || r.permitLoad != nil {
		return
	}
	r.permitLoad = first
	r.permitNumber = f.gate.acquire(permitRequest{
		adapter: first.rule.IsAdapter(), model: first.rule.ID, rank: first.rank,
		onGrant: func() {
			r.permitted = true
			f.loop.schedule(f.loop.now, func() { f.applyPolicies(r) })
		},
	})
}
