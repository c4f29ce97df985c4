package sequencer

import (
	"iter"

	"github.com/buckthorndyke/buckthorndyke"
)

// Classes of requests by what they can still meet, in the order in which they are served.
const (
	classOnTime class = iota
	classLate
	classExpired
)

// class says what a request can still meet: its target, its deadline or neither.
type class uint8

// lane holds the requests of one key, caller and priority. It is immutable.
type lane struct {
	// byDue holds the requests by the latest start at which they meet their targets,
	// byEnd by the latest start at which they meet their deadlines.
	byDue, byEnd index
	priority     int
}

// head is the request of a lane that is offered a slot first.
type head struct {
	// at is the latest start that decides among requests of the same class.
	at buckthorndyke.Millis
	// ahead counts the quanta that the request's caller is ahead of the others.
	ahead   int
	class   class
	request Request
}

// head returns the first request of the lane that is not in skipped: of those that can
// meet their targets the one with the least slack, then of those that can meet their
// deadlines.
func (l lane) head(now buckthorndyke.Millis, skipped map[Ticket]bool) (head, bool) {
	for p, r := range l.byDue.all(now) {
		if !skipped[r.Ticket] {
			return head{at: p.at, class: classOnTime, request: r}, true
		}
	}
	for p, r := range l.byEnd.all(now) {
		if !skipped[r.Ticket] {
			return head{at: p.at, class: classLate, request: r}, true
		}
	}
	for p, r := range l.byEnd.all(earliest) {
		if !skipped[r.Ticket] {
			return head{at: p.at, class: classExpired, request: r}, true
		}
	}
	return head{}, false
}

// ordered yields the requests of the lane in the order in which they are served if all were
// served at now.
func (l lane) ordered(now buckthorndyke.Millis) iter.Seq[Request] {
	return func(yield func(Request) bool) {
		for _, r := range l.byDue.all(now) {
			if !yield(r) {
				return
			}
		}
		for _, r := range l.byEnd.all(now) {
			if r.due() < now && !yield(r) {
				return
			}
		}
		for _, r := range l.byEnd.all(earliest) {
			if r.end() >= now {
				return
			}
			if r.due() < now && !yield(r) {
				return
			}
		}
	}
}

// with returns the lane with r.
func (l lane) with(r *Request) lane {
	l.byDue, l.byEnd, l.priority = l.byDue.with(r.due(), r), l.byEnd.with(r.end(), r), r.Priority
	return l
}

// without returns the lane without r.
func (l lane) without(r Request) lane {
	l.byDue, l.byEnd = l.byDue.without(r.due(), r.Ticket), l.byEnd.without(r.end(), r.Ticket)
	return l
}

// group holds the requests for one key. It is immutable.
type group struct {
	// byAged holds the requests by the instants from which on they count as aged.
	byAged index
	flow   flow
	key    buckthorndyke.ModelKey
	lanes  buckthorndyke.Table[string, lane]
	// open counts the requests that are not restricted.
	open int
	// turn is the number of the last turn of aged requests that the key had, or 0.
	turn int
}

// with returns the group with r.
func (g group) with(r *Request) group {
	id := laneID(*r)
	l, _ := g.lanes.Get(id)
	g.byAged, g.key, g.lanes = g.byAged.with(r.agedAt(), r), r.Key, g.lanes.With(id, l.with(r))
	if !r.Restricted {
		g.open++
	}
	return g
}

// without returns the group without r.
func (g group) without(r Request) group {
	id := laneID(r)
	l, _ := g.lanes.Get(id)
	if l = l.without(r); l.byEnd.len() == 0 {
		g.lanes = g.lanes.Without(id)
	} else {
		g.lanes = g.lanes.With(id, l)
	}
	g.byAged = g.byAged.without(r.agedAt(), r.Ticket)
	if !r.Restricted {
		g.open--
	}
	if g.open == 0 {
		// Slots that are taken at once, beside requests that cannot take them, show how many
		// requests arrive, not how many slots become free.
		g.flow = flow{}
	}
	return g
}
