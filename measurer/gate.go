package main

import (
	"cmp"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

// Limits of the weight store.
const (
	adaptersAtOnce = 30
	modelInterval  = buckthorndyke.Second / 4
	modelsAtOnce   = 4
)

// ask is a runner's request to load from the weight store.
type ask struct {
	adapter bool
	model   buckthorndyke.ModelID
	number  int
	rank    buckthorndyke.Rank
	// ready tells the runner that it may load.
	ready func()
}

// gate models the load gate: the most urgent load first, within the limits of
// the weight store.
type gate struct {
	active [2]int
	// highest is the greatest number of models that were loaded at once.
	highest int
	last    int
	startAt buckthorndyke.Millis
	time    *timeline
	waiting []ask
}

// acquire queues a and returns its number.
func (g *gate) acquire(a ask) int {
	g.last++
	a.number = g.last
	at, _ := slices.BinarySearchFunc(g.waiting, a, func(have, want ask) int {
		return cmp.Or(cmp.Compare(have.rank, want.rank), cmp.Compare(have.number, want.number))
	})
	g.waiting = slices.Insert(g.waiting, at, a)
	g.time.at(g.time.now, g.permit)
	return a.number
}

// cancel removes a waiting request.
func (g *gate) cancel(number int) {
	g.waiting = slices.DeleteFunc(g.waiting, func(a ask) bool { return a.number == number })
}

// permit permits what the limits allow.
func (g *gate) permit() {
	for i := 0; i < len(g.waiting); {
		a := g.waiting[i]
		switch {
		case a.adapter && g.active[kindOf(true)] < adaptersAtOnce:
		case !a.adapter && g.active[kindOf(false)] < modelsAtOnce && g.startAt <= g.time.now:
			g.startAt = g.time.now + modelInterval
			g.time.at(g.startAt, g.permit)
		default:
			i++
			continue
		}
		g.waiting = slices.Delete(g.waiting, i, i+1)
		g.active[kindOf(a.adapter)]++
		g.highest = max(g.highest, g.active[kindOf(false)])
		a.ready()
	}
}

// release gives a permit back.
func (g *gate) release(adapter bool) {
	g.active[kindOf(adapter)]--
	g.time.at(g.time.now, g.permit)
}

// kindOf returns the index of a kind of load.
func kindOf(adapter bool) int {
	if adapter {
		return 1
	}
	return 0
}
