package scheduler

import "github.com/buckthorndyke/buckthorndyke"

// percentScale is the number of percent in a whole.
const percentScale = 100

// FairShareScheduler serves requests in the order of their ranks. Each paid rank
// keeps its share of the slots while another is overloaded, and the other ranks can
// use what it leaves. The free rank only uses slots that paid requests leave, and its
// running requests are revoked for paid ones. Callers of one rank take turns.
type FairShareScheduler struct {
	requests
	// grantedShares holds the number of grants of each paid rank divided by its share. Only
	// grants while both paid ranks have waiting requests count.
	grantedShares [buckthorndyke.RankCount]float64
	// queues holds the order of the waiting requests of each rank.
	queues [buckthorndyke.RankCount]roundRobin
}

// NewFairShareScheduler returns a FairShareScheduler without requests.
func NewFairShareScheduler() FairShareScheduler {
	return FairShareScheduler{}
}

// Decide implements buckthorndyke.AdmissionPolicy.
func (s FairShareScheduler) Decide(view buckthorndyke.AdmissionView) (buckthorndyke.AdmissionPolicy, buckthorndyke.AdmissionDecision) {
	var d buckthorndyke.AdmissionDecision
	d.Expired = s.expired(view.Now)
	for _, w := range d.Expired {
		s = s.withoutWaiting(w)
	}
	for {
		w, ok := s.next(view)
		if !ok || !s.fits(view, w) {
			break
		}
		s = s.withGranted(view, w)
		d.Granted = append(d.Granted, w)
	}
	return s.withRevocations(view, d)
}

// Enqueue implements buckthorndyke.AdmissionPolicy.
func (s FairShareScheduler) Enqueue(view buckthorndyke.AdmissionView, w buckthorndyke.Waiter) (buckthorndyke.AdmissionPolicy, error) {
	wait := max(s.queueWait(view, w.Rank), loadWait(view, w.Model))
	if err := s.check(view, w, wait); err != nil {
		return s, err
	}
	s.requests = s.withWaiter(w)
	s.queues[w.Rank] = s.queues[w.Rank].with(w)
	return s, nil
}

// Without implements buckthorndyke.AdmissionPolicy. It removes a waiting or running
// request.
func (s FairShareScheduler) Without(id buckthorndyke.TicketID, now buckthorndyke.Millis) buckthorndyke.AdmissionPolicy {
	if w, ok := s.waiting.Get(id); ok {
		return s.withoutWaiting(w)
	}
	s.requests = s.withEnded(id, now)
	return s
}

// eligible returns the next waiter of rank whose model can serve requests.
func (s FairShareScheduler) eligible(view buckthorndyke.AdmissionView, rank buckthorndyke.Rank) (buckthorndyke.Waiter, bool) {
	for _, id := range s.queues[rank].order.All() {
		w, _ := s.waiting.Get(id)
		if view.Loaded(w.Model) && !view.StartsPaused(w.Model) {
			return w, true
		}
	}
	return buckthorndyke.Waiter{}, false
}

// fits reports whether w can start now. A suspect, a request that may have crashed a
// runner, only starts while no other request runs, and no other starts while a suspect
// runs.
func (s FairShareScheduler) fits(view buckthorndyke.AdmissionView, w buckthorndyke.Waiter) bool {
	running := s.running.Len() + view.PreviousOwnerSlots
	if w.Suspect && running > 0 {
		return false
	}
	return running < view.Slots && !s.suspectRuns()
}

// next returns the waiter to start next. Paid ranks that use less than their share come
// first. Of these, the rank that uses the smallest part of its share is served, and if
// they use the same part, the one with fewer granted shares. If no rank is below its
// share, the most urgent rank is served.
func (s FairShareScheduler) next(view buckthorndyke.AdmissionView) (buckthorndyke.Waiter, bool) {
	var chosen buckthorndyke.Waiter
	var chosenUse float64
	found, chosenBelowShare := false, false
	for rank := buckthorndyke.RankUrgent; rank.Paid(); rank++ {
		w, ok := s.eligible(view, rank)
		if !ok {
			continue
		}
		use, belowShare := s.shareUse(view, rank)
		switch {
		case !found, belowShare && !chosenBelowShare:
		case belowShare && chosenBelowShare && use < chosenUse:
		case belowShare && chosenBelowShare && use == chosenUse && s.grantedShares[rank] < s.grantedShares[chosen.Rank]:
		default:
			continue
		}
		chosen, chosenUse, found, chosenBelowShare = w, use, true, belowShare
	}
	if found {
		return chosen, true
	}
	return s.eligible(view, buckthorndyke.RankFree)
}

// queueWait predicts how long a new request of rank waits for a slot.
func (s FairShareScheduler) queueWait(view buckthorndyke.AdmissionView, rank buckthorndyke.Rank) buckthorndyke.Millis {
	slots := float64(max(view.Slots, 1))
	running, waiting := view.PreviousOwnerSlots, s.waitingCounts[rank]
	for r := buckthorndyke.RankUrgent; r < buckthorndyke.RankCount; r++ {
		if rank.Paid() && !r.Paid() {
			continue
		}
		running += s.runningCount(r)
		if r < rank {
			waiting += s.waitingCounts[r]
		}
	}
	if running+waiting < view.Slots {
		return 0
	}
	ahead := float64(waiting + 1)
	wait := ahead * s.meanServiceTime / slots
	if share := view.Rules.RankRuleOf(rank).SharePercent; share > 0 {
		ownAhead := float64(s.waitingCounts[rank] + 1)
		wait = min(wait, ownAhead*s.meanServiceTime*percentScale/(slots*float64(share)))
	}
	return buckthorndyke.Millis(wait)
}

// revocationOrder returns the running requests of the free rank in the order in which
// they are revoked: first those already revoked, then the others from the newest to the
// oldest.
func (s FairShareScheduler) revocationOrder() []job {
	var revoked, others []job
	for _, j := range s.running.All() {
		switch {
		case j.waiter.Rank.Paid():
		case j.revoked:
			revoked = append(revoked, j)
		default:
			others = append([]job{j}, others...)
		}
	}
	return append(revoked, others...)
}

// runningCount returns the number of running requests of rank.
func (s FairShareScheduler) runningCount(rank buckthorndyke.Rank) int {
	n := 0
	for _, j := range s.running.All() {
		if j.waiter.Rank == rank {
			n++
		}
	}
	return n
}

// shareUse returns the part of its share that a rank uses, and whether it is less
// than 1.
func (s FairShareScheduler) shareUse(view buckthorndyke.AdmissionView, rank buckthorndyke.Rank) (float64, bool) {
	share := view.Rules.RankRuleOf(rank).SharePercent
	if share <= 0 {
		return 1, false
	}
	use := float64(s.runningCount(rank)*percentScale) / float64(view.Slots*share)
	return use, use < 1
}

// wantedSlots returns the number of slots that free requests have to leave to waiting
// paid ones. A suspect needs all slots.
func (s FairShareScheduler) wantedSlots(view buckthorndyke.AdmissionView) int {
	wanted := 0
	for rank := buckthorndyke.RankUrgent; rank.Paid(); rank++ {
		for _, id := range s.queues[rank].order.All() {
			w, _ := s.waiting.Get(id)
			if !view.Loaded(w.Model) || view.StartsPaused(w.Model) {
				continue
			}
			if w.Suspect {
				return s.running.Len()
			}
			wanted++
			if wanted >= view.Slots {
				return wanted
			}
		}
	}
	return wanted
}

// withGranted returns a copy in which w is running.
func (s FairShareScheduler) withGranted(view buckthorndyke.AdmissionView, w buckthorndyke.Waiter) FairShareScheduler {
	if s.waitingCounts[buckthorndyke.RankUrgent] == 0 || s.waitingCounts[buckthorndyke.RankOrdinary] == 0 {
		s.grantedShares = [buckthorndyke.RankCount]float64{}
	} else if share := view.Rules.RankRuleOf(w.Rank).SharePercent; share > 0 {
		s.grantedShares[w.Rank] += 1 / float64(share)
	}
	s.queues[w.Rank] = s.queues[w.Rank].withServed(w)
	s.requests = s.withJob(w, view.Now)
	return s
}

// withRevocations revokes running requests of the free rank, the newest first, for
// waiting paid requests that could use their slots. It returns the changed copy, and d
// with the revoked requests.
func (s FairShareScheduler) withRevocations(view buckthorndyke.AdmissionView, d buckthorndyke.AdmissionDecision) (buckthorndyke.AdmissionPolicy, buckthorndyke.AdmissionDecision) {
	wanted := s.wantedSlots(view)
	free := s.revocationOrder()
	for _, j := range free {
		if wanted <= 0 && !view.PreemptFree(j.waiter.Model) {
			continue
		}
		if !j.revoked {
			s.requests = s.withRevoked(j.waiter.ID)
			d.Revoked = append(d.Revoked, j.waiter)
		}
		wanted--
	}
	return s, d
}

// withoutWaiting returns a copy in which w does not wait.
func (s FairShareScheduler) withoutWaiting(w buckthorndyke.Waiter) FairShareScheduler {
	s.requests = s.withoutWaiter(w)
	s.queues[w.Rank] = s.queues[w.Rank].without(w)
	return s
}
