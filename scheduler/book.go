// Package scheduler decides which requests of one runner start, wait or are
// refused. Its policies are immutable values behind
// buckthorndyke.AdmissionPolicy.
package scheduler

import (
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// RefusalMargin is how long before its deadline a waiting request is refused,
	// so that the refusal reaches the caller in time.
	RefusalMargin = 50 * buckthorndyke.Millisecond
	// minRetryAfter is the shortest wait that a refusal asks for.
	minRetryAfter = 100 * buckthorndyke.Millisecond
	// dueSequenceBits is the part of a due key that tells equal instants apart.
	dueSequenceBits = 20
	// serviceWeight is the weight of the newest service time in the mean.
	serviceWeight = 0.2
)

// job is a running request.
type job struct {
	revoked bool
	started buckthorndyke.Millis
	waiter  buckthorndyke.Waiter
}

// book keeps the waiting and running requests of one runner. It is immutable.
type book struct {
	// due lists the waiting requests by their deadline.
	due     buckthorndyke.Table[uint64, buckthorndyke.TicketID]
	running buckthorndyke.Table[buckthorndyke.TicketID, job]
	// service is the mean time that a request holds a slot, or 0 if unknown.
	service float64
	waiting buckthorndyke.Table[buckthorndyke.TicketID, buckthorndyke.Waiter]
	counts  [buckthorndyke.RankCount]int
}

// Demand implements buckthorndyke.AdmissionPolicy.
func (b book) Demand() []buckthorndyke.ModelDemand {
	found := make(map[buckthorndyke.ModelID]int)
	var demands []buckthorndyke.ModelDemand
	for _, w := range b.waiting.All() {
		at, ok := found[w.Model]
		if !ok {
			found[w.Model] = len(demands)
			demands = append(demands, buckthorndyke.ModelDemand{
				Arrived: w.Arrived, Model: w.Model, Rank: w.Rank, Waiting: 1,
			})
			continue
		}
		demands[at].Waiting++
		if w.Rank < demands[at].Rank {
			demands[at].Rank = w.Rank
			demands[at].Arrived = w.Arrived
		}
	}
	slices.SortStableFunc(demands, func(a, b buckthorndyke.ModelDemand) int {
		if a.Rank != b.Rank {
			return int(a.Rank) - int(b.Rank)
		}
		return int(a.Arrived - b.Arrived)
	})
	return demands
}

// InFlight implements buckthorndyke.AdmissionPolicy.
func (b book) InFlight(model buckthorndyke.ModelID) int {
	n := 0
	for _, j := range b.running.All() {
		if j.waiter.Model == model {
			n++
		}
	}
	return n
}

// NextExpiry implements buckthorndyke.AdmissionPolicy.
func (b book) NextExpiry() (buckthorndyke.Millis, bool) {
	for key := range b.due.All() {
		return buckthorndyke.Millis(key>>dueSequenceBits) - RefusalMargin, true
	}
	return 0, false
}

// Running implements buckthorndyke.AdmissionPolicy.
func (b book) Running() []buckthorndyke.Waiter {
	running := make([]buckthorndyke.Waiter, 0, b.running.Len())
	for _, j := range b.running.All() {
		running = append(running, j.waiter)
	}
	return running
}

// Waiting implements buckthorndyke.AdmissionPolicy.
func (b book) Waiting() []buckthorndyke.Waiter {
	waiting := make([]buckthorndyke.Waiter, 0, b.waiting.Len())
	for _, w := range b.waiting.All() {
		waiting = append(waiting, w)
	}
	return waiting
}

// WaitingByRank implements buckthorndyke.AdmissionPolicy.
func (b book) WaitingByRank() [buckthorndyke.RankCount]int {
	return b.counts
}

// check refuses w if its rank's queue is full or if it would wait past its
// deadline.
func (b book) check(view buckthorndyke.AdmissionView, w buckthorndyke.Waiter, wait buckthorndyke.Millis) error {
	if limit := view.Rules.RankRuleOf(w.Rank).QueueLimit; b.counts[w.Rank] >= limit {
		return overloaded("the rank's queue on this runner is full", max(wait, minRetryAfter))
	}
	left := w.Due - RefusalMargin - view.Now
	if left <= 0 {
		return buckthorndyke.NewRefusal(buckthorndyke.CodeDeadline, buckthorndyke.NotRun, "no time is left")
	}
	if wait > left {
		return overloaded("the predicted wait exceeds the deadline", max(wait-left, minRetryAfter))
	}
	return nil
}

// expired returns the waiting requests whose deadline is about to pass.
func (b book) expired(now buckthorndyke.Millis) []buckthorndyke.Waiter {
	var expired []buckthorndyke.Waiter
	for key, id := range b.due.All() {
		if buckthorndyke.Millis(key>>dueSequenceBits)-RefusalMargin > now {
			break
		}
		w, _ := b.waiting.Get(id)
		expired = append(expired, w)
	}
	return expired
}

// loadWait returns the predicted time until model can start work.
func loadWait(view buckthorndyke.AdmissionView, model buckthorndyke.ModelID) buckthorndyke.Millis {
	if view.Loaded(model) {
		return 0
	}
	return view.LoadWait(model)
}

// suspectRuns reports whether a crash suspect is running.
func (b book) suspectRuns() bool {
	for _, j := range b.running.All() {
		if j.waiter.Suspect {
			return true
		}
	}
	return false
}

// withEnded returns a book without a running request.
func (b book) withEnded(id buckthorndyke.TicketID, now buckthorndyke.Millis) book {
	j, ok := b.running.Get(id)
	if !ok {
		return b
	}
	b.running = b.running.Without(id)
	if j.revoked {
		return b
	}
	took := float64(now - j.started)
	if b.service == 0 {
		b.service = took
	} else {
		b.service += serviceWeight * (took - b.service)
	}
	return b
}

// withJob returns a book in which a waiting request runs.
func (b book) withJob(w buckthorndyke.Waiter, now buckthorndyke.Millis) book {
	b = b.withoutWaiter(w)
	b.running = b.running.With(w.ID, job{started: now, waiter: w})
	return b
}

// withRevoked returns a book in which a running request has to make room.
func (b book) withRevoked(id buckthorndyke.TicketID) book {
	j, _ := b.running.Get(id)
	j.revoked = true
	b.running = b.running.With(id, j)
	return b
}

// withWaiter returns a book in which w waits.
func (b book) withWaiter(w buckthorndyke.Waiter) book {
	b.waiting = b.waiting.With(w.ID, w)
	b.due = b.due.With(dueKey(w), w.ID)
	b.counts[w.Rank]++
	return b
}

// withoutWaiter returns a book in which w does not wait.
func (b book) withoutWaiter(w buckthorndyke.Waiter) book {
	b.waiting = b.waiting.Without(w.ID)
	b.due = b.due.Without(dueKey(w))
	b.counts[w.Rank]--
	return b
}

// dueKey orders waiters by their deadline.
func dueKey(w buckthorndyke.Waiter) uint64 {
	return uint64(w.Due)<<dueSequenceBits | uint64(w.ID)&(1<<dueSequenceBits-1)
}

// overloaded returns a refusal for want of capacity.
func overloaded(message string, retryAfter buckthorndyke.Millis) error {
	return buckthorndyke.NewRefusal(buckthorndyke.CodeOverloaded, buckthorndyke.NotRun, message).WithRetryAfter(retryAfter)
}
