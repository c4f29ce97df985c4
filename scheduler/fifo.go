package scheduler

import "github.com/buckthorndyke/buckthorndyke"

// FIFO serves requests in the order of their arrival, regardless of their rank. It is
// the baseline for measurements of FairShareScheduler.
type FIFO struct {
	requests
}

// NewFIFO returns a FIFO without requests.
func NewFIFO() FIFO {
	return FIFO{}
}

// Decide implements buckthorndyke.AdmissionPolicy.
func (f FIFO) Decide(view buckthorndyke.AdmissionView) (buckthorndyke.AdmissionPolicy, buckthorndyke.AdmissionDecision) {
	var d buckthorndyke.AdmissionDecision
	d.Expired = f.expired(view.Now)
	for _, w := range d.Expired {
		f.requests = f.withoutWaiter(w)
	}
	for _, w := range f.waiting.All() {
		running := f.running.Len() + view.PreviousOwnerSlots
		if running >= view.Slots || f.suspectRuns() {
			break
		}
		if !view.Loaded(w.Model) || view.StartsPaused(w.Model) {
			continue
		}
		if w.Suspect && running > 0 {
			break
		}
		f.requests = f.withJob(w, view.Now)
		d.Granted = append(d.Granted, w)
	}
	return f, d
}

// Enqueue implements buckthorndyke.AdmissionPolicy.
func (f FIFO) Enqueue(view buckthorndyke.AdmissionView, w buckthorndyke.Waiter) (buckthorndyke.AdmissionPolicy, error) {
	ahead := f.waiting.Len() + f.running.Len() + view.PreviousOwnerSlots + 1 - view.Slots
	queue := buckthorndyke.Millis(float64(max(ahead, 0)) * f.meanServiceTime / float64(max(view.Slots, 1)))
	if err := f.check(view, w, max(queue, loadWait(view, w.Model))); err != nil {
		return f, err
	}
	f.requests = f.withWaiter(w)
	return f, nil
}

// Without implements buckthorndyke.AdmissionPolicy.
func (f FIFO) Without(id buckthorndyke.TicketID, now buckthorndyke.Millis) buckthorndyke.AdmissionPolicy {
	if w, ok := f.waiting.Get(id); ok {
		f.requests = f.withoutWaiter(w)
		return f
	}
	f.requests = f.withEnded(id, now)
	return f
}
