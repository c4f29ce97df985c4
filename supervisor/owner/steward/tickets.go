package steward

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/scheduler"
)

// admissionView returns what admission needs to know at now.
func (t *task) admissionView(now buckthorndyke.Millis) buckthorndyke.AdmissionView {
	slots := t.slots
	if t.status.doubtful != certain || t.phase == phaseFence {
		slots = 0
	}
	return buckthorndyke.AdmissionView{
		PreemptFree:        func(m buckthorndyke.ModelID) bool { return t.plan.cleared[m] },
		PreviousOwnerSlots: t.foreign,
		StartsPaused:       func(m buckthorndyke.ModelID) bool { return t.plan.held[m] },
		Loaded:             t.account.loaded,
		LoadWait:           func(m buckthorndyke.ModelID) buckthorndyke.Millis { return t.loadWait(m, now) },
		Now:                now,
		Rules:              t.view.State.Rules,
		Slots:              slots,
	}
}

// announce tells the holders of new tickets that still wait.
func (t *task) announce() {
	waiting := make(map[buckthorndyke.TicketID]bool)
	if len(t.newcomers) > 0 {
		for _, w := range t.admission.Waiting() {
			waiting[w.ID] = true
		}
	}
	for _, id := range t.newcomers {
		if h, ok := t.holders[id]; ok && waiting[id] {
			h.put(occurrence{event: buckthorndyke.TicketEvent{
				Cold: h.cold, Kind: buckthorndyke.TicketQueued, Report: t.report(),
			}})
		}
	}
	t.newcomers = nil
}

// askTicket queues a request or refuses it.
func (t *task) askTicket(m ticketAsked) {
	now := t.clock.Now()
	if refusal := t.refusalOf(m.request); refusal != nil {
		m.reply.Answer(ticketAnswer{err: refusal})
		return
	}
	w := buckthorndyke.Waiter{
		Arrived: now, Caller: m.request.Caller, Due: now + m.request.Deadline, ID: t.last + 1,
		Model: m.request.Model, Rank: m.request.Rank, Suspect: m.request.Suspect,
	}
	next, err := t.admission.Enqueue(t.admissionView(now), w)
	if err != nil {
		t.wish(w, now)
		m.reply.Answer(ticketAnswer{err: err})
		return
	}
	t.admission = next
	t.last = w.ID
	t.observe(w, now)
	events := make(chan occurrence, eventLimit)
	t.holders[w.ID] = holder{
		cold:    !t.account.loaded(w.Model),
		events:  events,
		request: m.request.Request,
		stop:    context.AfterFunc(m.ctx, func() { t.post(ticketClosed{id: w.ID}) }),
	}
	t.jobs = t.jobs.withHeld(m.request.Request)
	t.newcomers = append(t.newcomers, w.ID)
	m.reply.Answer(ticketAnswer{ticket: &ticket{events: events, id: w.ID, steward: t.Steward}})
}

// closeTicket gives a ticket's place back.
func (t *task) closeTicket(m ticketClosed) {
	h, ok := t.holders[m.id]
	if !ok {
		return
	}
	now := t.clock.Now()
	h.stop()
	delete(t.holders, m.id)
	t.jobs = t.jobs.withEnded(h.request, now)
	t.admission = t.admission.Without(m.id, now)
	if m.outcome == buckthorndyke.TicketCrashed {
		t.status.at = now
		t.status.doubtful = t.status.calls
	}
}

// endAll refuses all tickets: those of running requests with running, the
// others with waiting.
func (t *task) endAll(running, waiting error) {
	for _, w := range t.admission.Running() {
		t.refuse(w.ID, running)
	}
	for _, w := range t.admission.Waiting() {
		t.refuse(w.ID, waiting)
	}
}

// loadWait predicts the time until model can start work.
func (t *task) loadWait(model buckthorndyke.ModelID, now buckthorndyke.Millis) buckthorndyke.Millis {
	wait := max(t.leaseEnd()-now, 0)
	rule, ok := t.view.State.Rules.Models.Get(model)
	if !ok {
		return wait
	}
	if o := t.account.order; o != nil && o.Kind == buckthorndyke.OrderLoad {
		wait += max(t.order.sent+t.predict(o.Model, o.MemoryMB)-now, 0)
	}
	if rule.IsAdapter() && !t.account.has(rule.Base) {
		base, _ := t.view.State.Rules.Models.Get(rule.Base)
		wait += t.predict(base.ID, base.MemoryMB)
	}
	if !t.account.has(model) {
		wait += t.predict(model, rule.MemoryMB)
	}
	return wait
}

// observe records the arrival of a request.
func (t *task) observe(w buckthorndyke.Waiter, now buckthorndyke.Millis) {
	t.keepWarm = t.keepWarm.WithArrival(w.Model, now)
	if rule, ok := t.view.State.Rules.Models.Get(w.Model); ok && rule.IsAdapter() {
		t.keepWarm = t.keepWarm.WithArrival(rule.Base, now)
	}
}

// predict predicts the load time of model.
func (t *task) predict(model buckthorndyke.ModelID, memoryMB int) buckthorndyke.Millis {
	return t.times.predict(tierOf(t.cached, model), memoryMB)
}

// refusalOf returns why a request cannot be queued, or nil.
func (t *task) refusalOf(r buckthorndyke.TicketRequest) error {
	switch {
	case t.fenced || t.life.Err() != nil:
		return errNotOwner
	case t.quiescing:
		return errDraining
	case t.view.Leaving || t.failures >= failureLimit:
		return errRunner
	case !t.view.permits(r.Model):
		return errUnplaced
	case t.view.State.Quarantines.Has(r.Fingerprint):
		return buckthorndyke.NewRefusal(buckthorndyke.CodeQuarantined, buckthorndyke.NotRun, "the request crashes runners")
	default:
		return nil
	}
}

// refuse ends a ticket with err.
func (t *task) refuse(id buckthorndyke.TicketID, err error) {
	h, ok := t.holders[id]
	if !ok {
		return
	}
	h.stop()
	h.put(occurrence{err: err})
	delete(t.holders, id)
	now := t.clock.Now()
	t.jobs = t.jobs.withEnded(h.request, now)
	t.admission = t.admission.Without(id, now)
}

// refuseUnservable refuses waiting requests that the runner can no longer
// serve, so that they can be served elsewhere.
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

// report returns the summary of the runner.
func (t *task) report() buckthorndyke.RunnerReport {
	return buckthorndyke.RunnerReport{
		Busy:      len(t.admission.Running()) + t.foreign,
		Epoch:     t.view.Ownership.Epoch,
		Residents: t.account.models(),
		Runner:    t.view.Ownership.Runner,
		Slots:     t.slots,
		Waiting:   t.admission.WaitingByRank(),
	}
}

// wish remembers the load that a refused paid request would have needed, if it
// takes longer than the request could wait.
func (t *task) wish(w buckthorndyke.Waiter, now buckthorndyke.Millis) {
	wait := t.loadWait(w.Model, now)
	if w.Rank.Paid() && !t.account.loaded(w.Model) && wait > w.Due-now-scheduler.RefusalMargin {
		t.wishes = t.wishes.with(w, wait)
		t.observe(w, now)
	}
}
