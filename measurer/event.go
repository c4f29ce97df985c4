package main

import (
	"cmp"
	"container/heap"

	"github.com/buckthorndyke/buckthorndyke"
)

// event is something that happens at an instant.
type event struct {
	at buckthorndyke.Millis
	// number orders events of one instant.
	number int
	run    func()
}

// agenda holds the coming events. It implements heap.Interface.
type eventQueue []event

// Len implements heap.Interface.
func (a eventQueue) Len() int { return len(a) }

// Less implements heap.Interface.
func (a eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(a[i].at, a[j].at), cmp.Compare(a[i].number, a[j].number)) < 0
}

// Pop implements heap.Interface.
func (a *eventQueue) Pop() any {
	last := len(*a) - 1
	e := (*a)[last]
	*a = (*a)[:last]
	return e
}

// Push implements heap.Interface.
func (a *eventQueue) Push(e any) { *a = append(*a, e.(event)) }

// Swap implements heap.Interface.
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// timeline runs events in the order of their instants, on a virtual clock.
type eventLoop struct {
	lastNumber int
	now        buckthorndyke.Millis
	queue      eventQueue
}

// at has act run at an instant that has not passed.
func (t *eventLoop) schedule(instant buckthorndyke.Millis, act func()) {
	t.lastNumber++
	heap.Push(&t.queue, event{run: act, at: max(instant, t.now), number: t.lastNumber})
}

// run runs events until none is left.
func (t *eventLoop) run() {
	for len(t.queue) > 0 {
		t.step()
	}
}

// step runs the next event.
func (t *eventLoop) step() {
	e := heap.Pop(&t.queue).(event)
	t.now = e.at
	e.run()
}
