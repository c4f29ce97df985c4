package main

import (
	"cmp"
	"container/heap"

	"github.com/buckthorndyke/buckthorndyke"
)

// event is something that happens at an instant.
type event struct {
	act func()
	at  buckthorndyke.Millis
	// number orders events of one instant.
	number int
}

// agenda holds the coming events. It implements heap.Interface.
type agenda []event

// Len implements heap.Interface.
func (a agenda) Len() int { return len(a) }

// Less implements heap.Interface.
func (a agenda) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(a[i].at, a[j].at), cmp.Compare(a[i].number, a[j].number)) < 0
}

// Pop implements heap.Interface.
func (a *agenda) Pop() any {
	last := len(*a) - 1
	e := (*a)[last]
	*a = (*a)[:last]
	return e
}

// Push implements heap.Interface.
func (a *agenda) Push(e any) { *a = append(*a, e.(event)) }

// Swap implements heap.Interface.
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// timeline runs events in the order of their instants, on a virtual clock.
type timeline struct {
	agenda agenda
	last   int
	now    buckthorndyke.Millis
}

// at has act run at an instant that has not passed.
func (t *timeline) at(instant buckthorndyke.Millis, act func()) {
	t.last++
	heap.Push(&t.agenda, event{act: act, at: max(instant, t.now), number: t.last})
}

// run runs events until none is left.
func (t *timeline) run() {
	for len(t.agenda) > 0 {
		t.step()
	}
}

// step runs the next event.
func (t *timeline) step() {
	e := heap.Pop(&t.agenda).(event)
	t.now = e.at
	e.act()
}
