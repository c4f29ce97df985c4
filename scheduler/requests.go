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
	deadlineSequenceBits = 20
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
type requests struct {
	// due lists the waiting requests by their deadline.
	deadlines buckthorndyke.Table[uint64, buckthorndyke.TicketID]
	// service is the mean time that a request holds a slot, or 0 if unknown.
	meanServiceTime float64
	running         buckthorndyke.Table[buckthorndyke.TicketID, job]
	waiting         buckthorndyke.Table[buckthorndyke.TicketID, buckthorndyke.Waiter]
	waitingCounts   [buckthorndyke.RankCount]int
}

// Demand implements buckthorndyke.AdmissionPolicy.
func (b requests) Demand() []buckthorndyke.ModelDemand {
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
func (b requests) InFlight(model buckthorndyke.ModelID) int {
	n := 0
	for _, j := range b.running.All() {
		if j.waiter.Model == model {
			n++
		}
	}
	return n
}

// NextExpiry implements buckthorndyke.AdmissionPolicy.
func (b requests) NextExpiry() (buckthorndyke.Millis, bool) {
	for key := range b.deadlines.All() {
		return buckthorndyke.Millis(key>>deadlineSequenceBits) - RefusalMargin, true
	}
	return 0, false
}

// Running implements buckthorndyke.AdmissionPolicy.
func (b requests) Running() []buckthorndyke.Waiter {
	running := make([]buckthorndyke.Waiter, 0, b.running.Len())
	for _, j := range b.running.All() {
		running = append(running, j.waiter)
	}
	return running
}

// Waiting implements buckthorndyke.AdmissionPolicy.
func (b requests) Waiting() []buckthorndyke.Waiter {
	waiting := make([]buckthorndyke.Waiter, 0, b.waiting.Len())
	for _, w := range b.waiting.All() {
		waiting = append(waiting, w)
	}
	return waiting
}

// WaitingByRank implements buckthorndyke.AdmissionPolicy.
func (b requests) WaitingByRank() [buckthorndyke.RankCount]int {
	return b.waitingCounts
}

// check refuses w if its rank's queue is full or if it would wait past its
// deadline.
func (b requests) check(view buckthorndyke.AdmissionView, w buckthorndyke.Waiter, wait buckthorndyke.Millis) error {
	if limit := view.Rules.RankRuleOf(w.Rank).QueueLimit; b.waitingCounts[w.Rank] >= limit {
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
func (b requests) expired(now buckthorndyke.Millis) []buckthorndyke.Waiter {
	var expired []buckthorndyke.Waiter
	for key, id := range b.deadlines.All() {
		if buckthorndyke.Millis(key>>deadlineSequenceBits)-RefusalMargin > now {
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
func (b requests) suspectRuns() bool {
	for _, j := range b.running.All() {
		if j.waiter.Suspect {
			return true
		}
	}
	return false
}

// withEnded returns a book without a running request.
func (b requests) withEnded(id buckthorndyke.TicketID, now buckthorndyke.Millis) requests {
	j, ok := b.running.Get(id)
	if !ok {
		return b
	}
	b.running = b.running.Without(id)
	if j.revoked {
		return b
	}
	took := float64(now - j.started)
	if b.meanServiceTime == 0 {
		b.meanServiceTime = took
	} else {
		b.meanServiceTime += serviceWeight * (took - b.meanServiceTime)
	}
	return b
}

// withJob returns a book in which a waiting request runs.
func (b requests) withJob(w buckthorndyke.Waiter, now buckthorndyke.Millis) requests {
	b = b.withoutWaiter(w)
	b.running = b.running.With(w.ID, job{started: now, waiter: w})
	return b
}

// withRevoked returns a book in which a running request has to make room.
func (b requests) withRevoked(id buckthorndyke.TicketID) requests {
	j, _ := b.running.Get(id)
	j.revoked = true
	b.running = b.running.With(id, j)
	return b
}

// withWaiter returns a book in which w waits.
func (b requests) withWaiter(w buckthorndyke.Waiter) requests {
	b.waiting = b.waiting.With(w.ID, w)
	b.deadlines = b.deadlines.With(deadlineKey(w), w.ID)
	b.waitingCounts[w.Rank]++
	return b
}

// withoutWaiter returns a book in which w does not wait.
func (b requests) withoutWaiter(w buckthorndyke.Waiter) requests {
	b.waiting = b.waiting.Without(w.ID)
	b.deadlines = b.deadlines.Without(deadlineKey(w))
	b.waitingCounts[w.Rank]--
	return b
}

// dueKey orders waiters by their deadline.
func deadlineKey(w buckthorndyke.Waiter) uint64 {
	return uint64(w.Due)<<deadlineSequenceBits | uint64(w.ID)&(1<<deadlineSequenceBits-1)
}

// overloaded returns a refusal for want of capacity.
func overloaded(message string, retryAfter buckthorndyke.Millis) error {
	return buckthorndyke.NewRefusal(buckthorndyke.CodeOverloaded, buckthorndyke.NotRun, message).WithRetryAfter(retryAfter)
}
