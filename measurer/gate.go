package main

import (
	"cmp"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

// Limits of the weight store.
const (
	maxAdapterLoads    = 30
	maxModelLoads      = 4
	modelStartInterval = buckthorndyke.Second / 4
)

// ask is a runner's request to load from the weight store.
type permitRequest struct {
	adapter bool
	model   buckthorndyke.ModelID
	number  int
	// onGrant tells the runner that it may load.
	onGrant func()
	rank    buckthorndyke.Rank
}

// gate models the load gate: the most urgent load first, within the limits of
// the weight store.
type gate struct {
	active         [2]int
	lastNumber     int
	loop           *eventLoop
	nextModelStart buckthorndyke.Millis
	// highest is the greatest number of models that were loaded at once.
	peakModels int
	waiting    []permitRequest
}

// acquire queues a and returns its number.
func (g *gate) acquire(a permitRequest) int {
	g.lastNumber++
	a.number = g.lastNumber
	at, _ := slices.BinarySearchFunc(g.waiting, a, func(have, want permitRequest) int {
		return cmp.Or(cmp.Compare(have.rank, want.rank), cmp.Compare(have.number, want.number))
	})
	g.waiting = slices.Insert(g.waiting, at, a)
	g.loop.schedule(g.loop.now, g.grantPermits)
	return a.number
}

// cancel removes a waiting request.
func (g *gate) cancel(number int) {
	g.waiting = slices.DeleteFunc(g.waiting, func(a permitRequest) bool { return a.number == number })
}

// permit permits what the limits allow.
func (g *gate) grantPermits() {
	for i := 0; i < len(g.waiting); {
		a := g.waiting[i]
		switch {
		case a.adapter && g.active[kindIndex(true)] < maxAdapterLoads:
		case !a.adapter && g.active[kindIndex(false)] < maxModelLoads && g.nextModelStart <= g.loop.now:
			g.nextModelStart = g.loop.now + modelStartInterval
			g.loop.schedule(g.nextModelStart, g.grantPermits)
		default:
			i++
			continue
		}
		g.waiting = slices.Delete(g.waiting, i, i+1)
		g.active[kindIndex(a.adapter)]++
		g.peakModels = max(g.peakModels, g.active[kindIndex(false)])
		a.onGrant()
	}
}

// release gives a permit back.
func (g *gate) release(adapter bool) {
	g.active[kindIndex(adapter)]--
	g.loop.schedule(g.loop.now, g.grantPermits)
}

// kindOf returns the index of a kind of load.
func kindIndex(adapter bool) int {
	if adapter {
		return 1
	}
	return 0
}
