package scheduler

import "github.com/buckthorndyke/buckthorndyke"

// roundBits is the position of the round in a turn key.
const roundBits = 32

// turns orders the waiters of one rank so that callers take turns: in each
// round every caller with waiting requests gets one. It is immutable.
type roundRobin struct {
	keys buckthorndyke.Table[buckthorndyke.TicketID, uint64]
	// last is the round of each caller's last request.
	lastRound buckthorndyke.Table[buckthorndyke.CallerID, uint64]
	order     buckthorndyke.Table[uint64, buckthorndyke.TicketID]
	round     uint64
}

// with returns turns in which w waits.
func (t roundRobin) with(w buckthorndyke.Waiter) roundRobin {
	round := t.round
	if last, ok := t.lastRound.Get(w.Caller); ok {
		round = max(round, last+1)
	}
	key := round<<roundBits | uint64(w.ID)&(1<<roundBits-1)
	t.lastRound = t.lastRound.With(w.Caller, round)
	t.keys = t.keys.With(w.ID, key)
	t.order = t.order.With(key, w.ID)
	return t
}

// withTaken returns turns in which w has had its turn.
func (t roundRobin) withServed(w buckthorndyke.Waiter) roundRobin {
	if key, ok := t.keys.Get(w.ID); ok {
		t.round = max(t.round, key>>roundBits)
	}
	return t.without(w)
}

// without returns turns in which w does not wait.
func (t roundRobin) without(w buckthorndyke.Waiter) roundRobin {
	key, ok := t.keys.Get(w.ID)
	if !ok {
		return t
	}
	t.keys = t.keys.Without(w.ID)
	t.order = t.order.Without(key)
	if t.order.Len() == 0 {
		return roundRobin{}
	}
	return t
}
