package gatekeeper

import "github.com/buckthorndyke/buckthorndyke"

// limits restricts the loads of one kind: models or adapters.
type limits struct {
	// concurrent is the maximum number of concurrent loads.
	concurrent int
	// interval is the minimum time between the starts of two loads, or 0.
	interval buckthorndyke.Millis
}

// share returns the share of l that one of n members may use. It allows at least one load
// at a time, and a start every maxInterval.
func (l limits) share(n int) limits {
	n = max(n, 1)
	return limits{concurrent: max(l.concurrent/n, 1), interval: min(l.interval*buckthorndyke.Millis(n), maxInterval)}
}

// queue holds the loads in progress and the waiting requests of one kind, ordered by rank
// and then by arrival. It is immutable.
type queue struct {
	active buckthorndyke.Table[uint64, buckthorndyke.Rank]
	// startAt is the earliest instant at which the next load may start.
	startAt buckthorndyke.Millis
	waiting [buckthorndyke.RankCount]buckthorndyke.Table[uint64, struct{}]
}

// next returns the request to grant at now, if any, and the queue in which it is active.
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

// nextStart returns the earliest instant at which next can return a request. It returns
// false if that depends on the end of a load or on a new request.
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

// with returns a copy of q in which request id of the given rank waits.
func (q queue) with(id uint64, rank buckthorndyke.Rank) queue {
	rank = min(rank, buckthorndyke.RankFree)
	q.waiting[rank] = q.waiting[rank].With(id, struct{}{})
	return q
}

// without returns a copy of q without request id.
func (q queue) without(id uint64) queue {
	q.active = q.active.Without(id)
	for rank := range q.waiting {
		q.waiting[rank] = q.waiting[rank].Without(id)
	}
	return q
}
