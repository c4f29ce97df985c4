package gatekeeper

import "github.com/buckthorndyke/buckthorndyke"

// limits bound the loads of one kind.
type limits struct {
	// atOnce is the number of loads at once.
	concurrent int
	// interval is the least time between the starts of two loads, or 0.
	interval buckthorndyke.Millis
}

// share returns the part of l that falls to one of n members. Each may load at
// least one at once, however slowly.
func (l limits) share(n int) limits {
	n = max(n, 1)
	return limits{concurrent: max(l.concurrent/n, 1), interval: min(l.interval*buckthorndyke.Millis(n), maxInterval)}
}

// queue orders the requests for loads of one kind by rank and then by arrival.
// It is immutable.
type queue struct {
	active buckthorndyke.Table[uint64, buckthorndyke.Rank]
	// startAt is the instant from which the next load may start.
	startAt buckthorndyke.Millis
	waiting [buckthorndyke.RankCount]buckthorndyke.Table[uint64, struct{}]
}

// next returns the request to permit at now, if any, and the queue after it.
func (q queue) next(l limits, now buckthorndyke.Millis) (uint64, queue, bool) {
	if q.active.Len() >= l.concurrent || now < q.startAt {
		return 0, q, false
	}
	for rank := buckthorndyke.RankUrgent; rank < buckthorndyke.RankCount; rank++ {
		for id := range q.waiting[rank].All() {
			q.waiting[rank] = q.waiting[rank].Without(id)
			q.active = q.active.With(id, rank)
			q.startAt = now + l.interval
			return id, q, true
		}
	}
	return 0, q, false
}

// wake returns the instant at which next may permit a request, or false if only
// the end of a load can bring that about.
func (q queue) nextStart(l limits) (buckthorndyke.Millis, bool) {
	if q.active.Len() >= l.concurrent {
		return 0, false
	}
	for _, waiting := range q.waiting {
		if waiting.Len() > 0 {
			return q.startAt, true
		}
	}
	return 0, false
}

// with returns a queue in which request id of rank waits.
func (q queue) with(id uint64, rank buckthorndyke.Rank) queue {
	rank = min(rank, buckthorndyke.RankFree)
	q.waiting[rank] = q.waiting[rank].With(id, struct{}{})
	return q
}

// without returns a queue without request id.
func (q queue) without(id uint64) queue {
	q.active = q.active.Without(id)
	for rank := range q.waiting {
		q.waiting[rank] = q.waiting[rank].Without(id)
	}
	return q
}
