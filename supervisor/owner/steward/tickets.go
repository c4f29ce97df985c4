package steward

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/scheduler"
)

// admissionView returns the input of the admission policy at now.
func (t *task) admissionView(now buckthorndyke.Millis) buckthorndyke.AdmissionView {
	slots := t.slots
	if t.status.staleUpTo != noneStale || t.phase == phaseFence {
		slots = 0
	}
	return buckthorndyke.AdmissionView{
		Loaded:             t.memory.loaded,
		LoadWait:           func(m buckthorndyke.ModelID) buckthorndyke.Millis { return t.loadWait(m, now) },
		Now:                now,
		PreemptFree:        func(m buckthorndyke.ModelID) bool { return t.plan.preempted[m] },
		PreviousOwnerSlots: t.foreignJobs,
		Rules:              t.view.State.Rules,
		Slots:              slots,
		StartsPaused:       func(m buckthorndyke.ModelID) bool { return t.plan.paused[m] },
	}
}

// announceQueued sends TicketQueued to the holders of new tickets that wait.
func (t *task) announceQueued() {
	waiting := make(map[buckthorndyke.TicketID]bool)
	if len(t.newTickets) > 0 {
		for _, w := range t.admission.Waiting() {
			waiting[w.ID] = true
		}
	}
	for _, id := range t.newTickets {
		if s, ok := t.tickets[id]; ok && waiting[id] {
			s.send(eventOrError{event: buckthorndyke.TicketEvent{
				Cold: s.cold, Kind: buckthorndyke.TicketQueued, Report: t.report(),
			}})
		}
	}
	t.newTickets = nil
}

// closeTicket releases the place or slot of a ticket.
func (t *task) closeTicket(m ticketClosed) {
	s, ok := t.tickets[m.id]
	if !ok {
		return
	}
	now := t.clock.Now()
	s.stopWatch()
	delete(t.tickets, m.id)
	t.ownJobs = t.ownJobs.withoutTicket(s.request, now)
	t.admission = t.admission.Without(m.id, now)
	if m.outcome == buckthorndyke.TicketCrashed {
		t.status.nextAt = now
		t.status.staleUpTo = t.status.calls
	}
}

// handleTicketRequest queues a request or refuses it.
func (t *task) handleTicketRequest(m ticketRequested) {
	now := t.clock.Now()
	if refusal := t.refusalOf(m.request); refusal != nil {
		m.reply.Answer(ticketReply{err: refusal})
		return
	}
	w := buckthorndyke.Waiter{
		Arrived: now, Caller: m.request.Caller, Due: now + m.request.Deadline, ID: t.lastTicket + 1,
		Model: m.request.Model, Rank: m.request.Rank, Suspect: m.request.Suspect,
	}
	next, err := t.admission.Enqueue(t.admissionView(now), w)
	if err != nil {
		t.recordRefusedDemand(w, now)
		m.reply.Answer(ticketReply{err: err})
		return
	}
	t.admission = next
	t.lastTicket = w.ID
	t.recordArrival(w, now)
	events := make(chan eventOrError, eventBufferSize)
	t.tickets[w.ID] = ticketState{
		cold:      !t.memory.loaded(w.Model),
		events:    events,
		request:   m.request.Request,
		stopWatch: context.AfterFunc(m.ctx, func() { t.post(ticketClosed{id: w.ID}) }),
	}
	t.ownJobs = t.ownJobs.withTicket(m.request.Request)
	t.newTickets = append(t.newTickets, w.ID)
	m.reply.Answer(ticketReply{ticket: &ticket{events: events, id: w.ID, steward: t.Steward}})
}

// loadWait estimates the time until model can serve requests.
func (t *task) loadWait(model buckthorndyke.ModelID, now buckthorndyke.Millis) buckthorndyke.Millis {
	wait := max(t.previousLeaseEnd()-now, 0)
	rule, ok := t.view.State.Rules.Models.Get(model)
	if !ok {
		return wait
	}
	if o := t.memory.order; o != nil && o.Kind == buckthorndyke.OrderLoad {
		wait += max(t.order.sentAt+t.optimisticLoadTime(o.Model, o.MemoryMB)-now, 0)
	}
	if rule.IsAdapter() && !t.memory.isPresent(rule.Base) {
		base, _ := t.view.State.Rules.Models.Get(rule.Base)
		wait += t.optimisticLoadTime(base.ID, base.MemoryMB)
	}
	if !t.memory.isPresent(model) {
		wait += t.optimisticLoadTime(model, rule.MemoryMB)
	}
	return wait
}

// optimisticLoadTime returns the optimistic estimate of the load time of model.
func (t *task) optimisticLoadTime(model buckthorndyke.ModelID, memoryMB int) buckthorndyke.Millis {
	return t.times.optimistic(tierOf(t.cached, model), memoryMB)
}

// recordArrival records the arrival of a request with the keep-warm policy.
func (t *task) recordArrival(w buckthorndyke.Waiter, now buckthorndyke.Millis) {
	t.keepWarm = t.keepWarm.WithArrival(w.Model, now)
	if rule, ok := t.view.State.Rules.Models.Get(w.Model); ok && rule.IsAdapter() {
		t.keepWarm = t.keepWarm.WithArrival(rule.Base, now)
	}
}

// recordRefusedDemand records the demand of a refused paid request for a model whose
// load takes longer than the request could wait.
func (t *task) recordRefusedDemand(w buckthorndyke.Waiter, now buckthorndyke.Millis) {
	wait := t.loadWait(w.Model, now)
	if w.Rank.Paid() && !t.memory.loaded(w.Model) && wait > w.Due-now-scheduler.RefusalMargin {
		t.refusedDemands = t.refusedDemands.with(w, wait)
		t.recordArrival(w, now)
	}
}

// refusalOf returns the refusal of a request that cannot be queued, or nil.
func (t *task) refusalOf(r buckthorndyke.TicketRequest) error {
	switch {
	case t.fenced || t.lifetimeCtx.Err() != nil:
		return errNotOwner
	case t.quiescing:
		return errDraining
	case t.view.Leaving || t.failures >= failureLimit:
		return errRunner
	case !t.view.permits(r.Model):
		return errUnplaced
	case t.view.State.Quarantines.Has(r.Fingerprint):
		return buckthorndyke.NewRefusal(buckthorndyke.CodeQuarantined, buckthorndyke.NotRun, "the request is quarantined because it has crashed runners")
	default:
		return nil
	}
}

// refuse ends a ticket with err.
func (t *task) refuse(id buckthorndyke.TicketID, err error) {
	s, ok := t.tickets[id]
	if !ok {
		return
	}
	s.stopWatch()
	s.send(eventOrError{err: err})
	delete(t.tickets, id)
	now := t.clock.Now()
	t.ownJobs = t.ownJobs.withoutTicket(s.request, now)
	t.admission = t.admission.Without(id, now)
}

// refuseAll ends all tickets: those of running requests with the error running, the
// others with the error waiting.
func (t *task) refuseAll(running, waiting error) {
	for _, w := range t.admission.Running() {
		t.refuse(w.ID, running)
	}
	for _, w := range t.admission.Waiting() {
		t.refuse(w.ID, waiting)
	}
}

// refuseUnservable refuses waiting requests that the runner can no longer serve, so
// that other runners can serve them.
func (t *task) refuseUnservable() {
	for _, w := range t.admission.Waiting() {
		switch {
		case t.fenced:
			t.refuse(w.ID, errNotOwner)
		case t.yielding:
			t.refuse(w.ID, errDraining)
		case t.view.Leaving || t.failures >= failureLimit:
			t.refuse(w.ID, errRunner)
		case !t.view.permits(w.Model):
			t.refuse(w.ID, errUnplaced)
		}
	}
}

// report returns a summary of the runner's state for callers.
func (t *task) report() buckthorndyke.RunnerReport {
	return buckthorndyke.RunnerReport{
		Busy:      len(t.admission.Running()) + t.foreignJobs,
		Epoch:     t.view.Ownership.Epoch,
		Residents: t.memory.models(),
		Runner:    t.view.Ownership.Runner,
		Slots:     t.slots,
		Waiting:   t.admission.WaitingByRank(),
	}
}
