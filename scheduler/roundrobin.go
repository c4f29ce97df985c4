package scheduler

import "github.com/buckthorndyke/buckthorndyke"

// roundBits is the number of low bits of an order key that hold the ticket. The bits
// above them hold the round.
const roundBits = 32

// roundRobin orders the waiters of one rank so that callers take turns: in each
// round, every caller with waiting requests is served one. It is immutable.
type roundRobin struct {
	// keys holds the key in order of each waiting ticket.
	keys buckthorndyke.Table[buckthorndyke.TicketID, uint64]
	// lastRound is the round of each caller's last request.
	lastRound buckthorndyke.Table[buckthorndyke.CallerID, uint64]
	// order lists the waiting tickets in the order in which they are served.
	order buckthorndyke.Table[uint64, buckthorndyke.TicketID]
	// round is the latest round in which a request was served.
	round uint64
}

// with returns a copy in which w waits.
func (q roundRobin) with(w buckthorndyke.Waiter) roundRobin {
	round := q.round
	if last, ok := q.lastRound.Get(w.Caller); ok {
		round = max(round, last+1)
	}
	key := round<<roundBits | uint64(w.ID)&(1<<roundBits-1)
	q.lastRound = q.lastRound.With(w.Caller, round)
	q.keys = q.keys.With(w.ID, key)
	q.order = q.order.With(key, w.ID)
	return q
}

// withServed returns a copy in which w was served and waits no longer.
func (q roundRobin) withServed(w buckthorndyke.Waiter) roundRobin {
	if key, ok := q.keys.Get(w.ID); ok {
		q.round = max(q.round, key>>roundBits)
	}
	return q.without(w)
}

// without returns a copy in which w does not wait.
func (q roundRobin) without(w buckthorndyke.Waiter) roundRobin {
	key, ok := q.keys.Get(w.ID)
	if !ok {
		return q
	}
	q.keys = q.keys.Without(w.ID)
	q.order = q.order.Without(key)
	if q.order.Len() == 0 {
		return roundRobin{}
	}
	return q
}
