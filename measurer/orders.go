package main

import "github.com/buckthorndyke/buckthorndyke"

// carryOut evicts and loads what p plans for r. A runner loads one at a time.
func (f *fleet) carryOut(r *runner, p plan) {
	r.cleared, r.held = p.cleared, p.held
	for _, model := range p.evict {
		r.residents = r.residents.Without(model)
		f.tally.evictions++
	}
	f.seekPermit(r, p.loads)
	if r.loading != nil {
		return
	}
	for _, l := range p.loads {
		switch {
		case r.tiers[l.rule.ID] != buckthorndyke.TierRemote:
			f.startLoad(r, l, false)
			return
		case r.permitted && r.asked.rule.ID == l.rule.ID:
			r.asked, r.permitted = nil, false
			f.startLoad(r, l, true)
			return
		}
	}
}

// seekPermit asks the gate for the first of loads that comes from the weight
// store, and gives up what is no longer wanted.
func (f *fleet) seekPermit(r *runner, loads []load) {
	var first *load
	for _, l := range loads {
		if r.tiers[l.rule.ID] == buckthorndyke.TierRemote && r.loading == nil {
			first = &l
			break
		}
	}
	if r.asked != nil && (first == nil || r.asked.rule.ID != first.rule.ID || !r.permitted && r.asked.rank > first.rank) {
		if r.permitted {
			f.gate.release(r.asked.rule.IsAdapter())
		} else {
			f.gate.cancel(r.askNumber)
		}
		r.asked, r.permitted = nil, false
	}
	if first == nil || r.asked != nil {
		return
	}
	r.asked = first
	r.askNumber = f.gate.acquire(ask{
		adapter: first.rule.IsAdapter(), model: first.rule.ID, rank: first.rank,
		ready: func() {
			r.permitted = true
			f.time.at(f.time.now, func() { f.act(r) })
		},
	})
}

// startLoad loads a model, whose permit is given back at the end if it has one.
func (f *fleet) startLoad(r *runner, l load, permitted bool) {
	f.tally.loads++
	r.loading = &l
	r.loadEnd = f.time.now + loadTime(r.tiers[l.rule.ID], l.rule)
	f.tally.highestMemoryMB = max(f.tally.highestMemoryMB, r.usedMB())
	f.time.at(r.loadEnd, func() {
		f.countIdle(r)
		r.loading = nil
		r.residents = r.residents.With(l.rule.ID, resident{lastUsed: f.time.now, paid: l.rank.Paid(), rule: l.rule})
		if permitted {
			f.gate.release(l.rule.IsAdapter())
		}
		f.act(r)
	})
}
