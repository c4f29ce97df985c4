// Package scheduler decides which requests of one runner start, wait or are refused.
// Its policies are immutable values that implement buckthorndyke.AdmissionPolicy.
package scheduler

import (
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// RefusalMargin is how long before its deadline a waiting request is refused, so
	// that the refusal reaches the caller in time.
	RefusalMargin = 50 * buckthorndyke.Millisecond
	// minRetryAfter is the shortest wait that a refusal asks for.
	minRetryAfter = 100 * buckthorndyke.Millisecond
	// deadlineSequenceBits is the number of bits of a deadline key that distinguish
	// requests with the same deadline.
	deadlineSequenceBits = 20
	// serviceWeight is the weight of the latest service time in the moving average.
	serviceWeight = 0.2
)

// job is a running request.
type job struct {
	revoked bool
	started buckthorndyke.Millis
	waiter  buckthorndyke.Waiter
}

// requests holds the waiting and running requests of one runner. It is immutable.
type requests struct {
	// deadlines lists the waiting requests by deadline.
	deadlines buckthorndyke.Table[uint64, buckthorndyke.TicketID]
	// meanServiceTime is the average time in milliseconds for which a request takes a
	// slot, or 0 if unknown.
	meanServiceTime float64
	running         buckthorndyke.Table[buckthorndyke.TicketID, job]
	waiting         buckthorndyke.Table[buckthorndyke.TicketID, buckthorndyke.Waiter]
	// waitingCounts is the number of waiting requests of each rank.
	waitingCounts [buckthorndyke.RankCount]int
}

// Demand implements buckthorndyke.AdmissionPolicy.
func (r requests) Demand() []buckthorndyke.ModelDemand {
	found := make(map[buckthorndyke.ModelID]int)
	var demands []buckthorndyke.ModelDemand
	for _, w := range r.waiting.All() {
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
func (r requests) InFlight(model buckthorndyke.ModelID) int {
	n := 0
	for _, j := range r.running.All() {
		if j.waiter.Model == model {
			n++
		}
	}
	return n
}

// NextExpiry implements buckthorndyke.AdmissionPolicy.
func (r requests) NextExpiry() (buckthorndyke.Millis, bool) {
	for key := range r.deadlines.All() {
		return buckthorndyke.Millis(key>>deadlineSequenceBits) - RefusalMargin, true
	}
	return 0, false
}

// Running implements buckthorndyke.AdmissionPolicy.
func (r requests) Running() []buckthorndyke.Waiter {
	running := make([]buckthorndyke.Waiter, 0, r.running.Len())
	for _, j := range r.running.All() {
		running = append(running, j.waiter)
	}
	return running
}

// Waiting implements buckthorndyke.AdmissionPolicy.
func (r requests) Waiting() []buckthorndyke.Waiter {
	waiting := make([]buckthorndyke.Waiter, 0, r.waiting.Len())
	for _, w := range r.waiting.All() {
		waiting = append(waiting, w)
	}
	return waiting
}

// WaitingByRank implements buckthorndyke.AdmissionPolicy.
func (r requests) WaitingByRank() [buckthorndyke.RankCount]int {
	return r.waitingCounts
}

// check refuses w if the queue of its rank is full or if its predicted wait exceeds
// its deadline.
func (r requests) check(view buckthorndyke.AdmissionView, w buckthorndyke.Waiter, wait buckthorndyke.Millis) error {
	if limit := view.Rules.RankRuleOf(w.Rank).QueueLimit; r.waitingCounts[w.Rank] >= limit {
		return overloaded("the queue of this rank is full on the runner", max(wait, minRetryAfter))
	}
	left := w.Due - RefusalMargin - view.Now
	if left <= 0 {
		return buckthorndyke.NewRefusal(buckthorndyke.CodeDeadline, buckthorndyke.NotRun, "no time is left before the deadline")
	}
	if wait > left {
		return overloaded("the request would wait beyond its deadline", max(wait-left, minRetryAfter))
	}
	return nil
}

// expired returns the waiting requests whose deadline is about to pass.
func (r requests) expired(now buckthorndyke.Millis) []buckthorndyke.Waiter {
	var expired []buckthorndyke.Waiter
	for key, id := range r.deadlines.All() {
		if buckthorndyke.Millis(key>>deadlineSequenceBits)-RefusalMargin > now {
			break
		}
		w, _ := r.waiting.Get(id)
		expired = append(expired, w)
	}
	return expired
}

// loadWait returns the predicted time until requests for model can start.
func loadWait(view buckthorndyke.AdmissionView, model buckthorndyke.ModelID) buckthorndyke.Millis {
	if view.Loaded(model) {
		return 0
	}
	return view.LoadWait(model)
}

// suspectRuns reports whether a request that may have crashed a runner is running.
func (r requests) suspectRuns() bool {
	for _, j := range r.running.All() {
		if j.waiter.Suspect {
			return true
		}
	}
	return false
}

// withEnded returns a copy without a running request. Revoked requests do not count
// for the average service time.
func (r requests) withEnded(id buckthorndyke.TicketID, now buckthorndyke.Millis) requests {
	j, ok := r.running.Get(id)
	if !ok {
		return r
	}
	r.running = r.running.Without(id)
	if j.revoked {
		return r
	}
	took := float64(now - j.started)
	if r.meanServiceTime == 0 {
		r.meanServiceTime = took
	} else {
		r.meanServiceTime += serviceWeight * (took - r.meanServiceTime)
	}
	return r
}

// withJob returns a copy in which a waiting request is running.
func (r requests) withJob(w buckthorndyke.Waiter, now buckthorndyke.Millis) requests {
	r = r.withoutWaiter(w)
	r.running = r.running.With(w.ID, job{started: now, waiter: w})
	return r
}

// withRevoked returns a copy in which a running request is marked as revoked.
func (r requests) withRevoked(id buckthorndyke.TicketID) requests {
	j, _ := r.running.Get(id)
	j.revoked = true
	r.running = r.running.With(id, j)
	return r
}

// withWaiter returns a copy in which w waits.
func (r requests) withWaiter(w buckthorndyke.Waiter) requests {
	r.waiting = r.waiting.With(w.ID, w)
	r.deadlines = r.deadlines.With(deadlineKey(w), w.ID)
	r.waitingCounts[w.Rank]++
	return r
}

// withoutWaiter returns a copy in which w does not wait.
func (r requests) withoutWaiter(w buckthorndyke.Waiter) requests {
	r.waiting = r.waiting.Without(w.ID)
	r.deadlines = r.deadlines.Without(deadlineKey(w))
	r.waitingCounts[w.Rank]--
	return r
}

// deadlineKey returns a table key that orders waiters by deadline.
func deadlineKey(w buckthorndyke.Waiter) uint64 {
	return uint64(w.Due)<<deadlineSequenceBits | uint64(w.ID)&(1<<deadlineSequenceBits-1)
}

// overloaded returns a refusal because of missing capacity.
func overloaded(message string, retryAfter buckthorndyke.Millis) error {
	return buckthorndyke.NewRefusal(buckthorndyke.CodeOverloaded, buckthorndyke.NotRun, message).WithRetryAfter(retryAfter)
}
