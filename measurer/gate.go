package main

import (
	"cmp"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

// Limits of the weight store, for all runners together.
const (
	maxAdapterLoads    = 30
	maxModelLoads      = 4
	modelStartInterval = buckthorndyke.Second / 4
)

// permitRequest is a runner's request to load from the weight store.
type permitRequest struct {
	adapter bool
	model   buckthorndyke.ModelID
	number  int
	// onGrant is called when the permit is granted.
	onGrant func()
	rank    buckthorndyke.Rank
}

// gate simulates the load gate. It grants permits by rank, then in the order of
// the requests, within the limits of the weight store.
type gate struct {
	active         [2]int
	lastNumber     int
	loop           *eventLoop
	nextModelStart buckthorndyke.Millis
	// peakModels is the greatest number of models that were being loaded at a
	// time.
	peakModels int
	waiting    []permitRequest
}

// acquire queues r and returns its number.
func (g *gate) acquire(r permitRequest) int {
	g.lastNumber++
	r.number = g.lastNumber
	at, _ := slices.BinarySearchFunc(g.waiting, r, func(have, want permitRequest) int {
		return cmp.Or(cmp.Compare(have.rank, want.rank), cmp.Compare(have.number, want.number))
	})
	g.waiting = slices.Insert(g.waiting, at, r)
	g.loop.schedule(g.loop.now, g.grantPermits)
	return r.number
}

// cancel removes a waiting request.
func (g *gate) cancel(number int) {
	g.waiting = slices.DeleteFunc(g.waiting, func(r permitRequest) bool { return r.number == number })
}

// grantPermits grants the waiting requests that the limits allow.
func (g *gate) grantPermits() {
	for i := 0; i < len(g.waiting); {
		r := g.waiting[i]
		switch {
		case r.adapter && g.active[kindIndex(true)] < maxAdapterLoads:
		case !r.adapter && g.active[kindIndex(false)] < maxModelLoads && g.nextModelStart <= g.loop.now:
			g.nextModelStart = g.loop.now + modelStartInterval
			g.loop.schedule(g.nextModelStart, g.grantPermits)
		default:
			i++
			continue
		}
		g.waiting = slices.Delete(g.waiting, i, i+1)
		g.active[kindIndex(r.adapter)]++
		g.peakModels = max(g.peakModels, g.active[kindIndex(false)])
		r.onGrant()
	}
}

// release returns a permit.
func (g *gate) release(adapter bool) {
	g.active[kindIndex(adapter)]--
	g.loop.schedule(g.loop.now, g.grantPermits)
}

// kindIndex returns the index in gate.active for adapters or models.
func kindIndex(adapter bool) int {
	if adapter {
		return 1
	}
	return 0
}
