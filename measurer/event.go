package main

import (
	"cmp"
	"container/heap"

	"github.com/buckthorndyke/buckthorndyke"
)

// event is a function that runs at an instant of the virtual clock.
type event struct {
	at buckthorndyke.Millis
	// number orders the events of one instant.
	number int
	run    func()
}

// eventQueue holds the scheduled events. It implements heap.Interface.
type eventQueue []event

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].number, q[j].number)) < 0
}

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// Push implements heap.Interface.
func (q *eventQueue) Push(e any) { *q = append(*q, e.(event)) }

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// eventLoop runs scheduled events in the order of their instants, on a virtual
// clock.
type eventLoop struct {
	lastNumber int
	now        buckthorndyke.Millis
	queue      eventQueue
}

// schedule schedules act for the given instant, or for now if that has passed.
func (l *eventLoop) schedule(instant buckthorndyke.Millis, act func()) {
	l.lastNumber++
	heap.Push(&l.queue, event{run: act, at: max(instant, l.now), number: l.lastNumber})
}

// run runs events until none is scheduled.
func (l *eventLoop) run() {
	for len(l.queue) > 0 {
		l.step()
	}
}

// step advances the clock to the next event and runs it.
func (l *eventLoop) step() {
	e := heap.Pop(&l.queue).(event)
	l.now = e.at
	e.run()
}
