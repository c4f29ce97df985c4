package main

import (
	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/chooser"
	"github.com/buckthorndyke/buckthorndyke/placer"
)

// Simulated delays.
const (
	// prefillTime is the time from a grant to the first token.
	prefillTime = 20 * buckthorndyke.Millisecond
	// revokeTime is the time from the revocation of a ticket until its slot is
	// free.
	revokeTime = 10 * buckthorndyke.Millisecond
)

// policies are the policies under test in one run.
type policies struct {
	admission buckthorndyke.AdmissionPolicy
	keepWarm  buckthorndyke.KeepWarmPolicy
}

// span is the time from from, inclusive, to to, exclusive.
type span struct {
	from, to buckthorndyke.Millis
}

// contains reports whether at is within s.
func (s span) contains(at buckthorndyke.Millis) bool {
	return s.from <= at && at < s.to
}

// ticket is a request that waits or runs at a runner.
type ticket struct {
	// granted is the instant of the grant, or 0.
	granted buckthorndyke.Millis
	request request
	start   startKind
	waiter  buckthorndyke.Waiter
}

// fleet simulates the runners of one deployment in one run. It is
// single-threaded and runs on the virtual clock of its event loop.
type fleet struct {
	deployment deployment
	gate       *gate
	lastTicket buckthorndyke.TicketID
	loop       *eventLoop
	// measured is the span whose arrivals are counted.
	measured   span
	placements map[buckthorndyke.ModelID][]*runner
	runners    []*runner
	shares     *slotShares
	tally      *tally
	tickets    map[buckthorndyke.TicketID]*ticket
}

// newFleet returns a fleet without loaded models.
func newFleet(d deployment, seed uint64, p policies, measured span) *fleet {
	t := &eventLoop{}
	f := &fleet{
		deployment: d, gate: &gate{loop: t}, measured: measured,
		placements: make(map[buckthorndyke.ModelID][]*runner), shares: newSlotShares(d.rules, measured),
		tally: newTally(), tickets: make(map[buckthorndyke.TicketID]*ticket), loop: t,
	}
	byID := make(map[buckthorndyke.RunnerID]*runner)
	for _, r := range d.runners {
		byID[r.ID] = &runner{
			admission: p.admission, id: r.ID, keepWarm: p.keepWarm, rules: d.rules, tiers: randomTiers(d, seed, r.ID),
		}
		f.runners = append(f.runners, byID[r.ID])
	}
	for _, m := range d.models {
		for _, id := range placer.Desired(m, d.runners) {
			f.placements[m.ID] = append(f.placements[m.ID], byID[id])
		}
	}
	return f
}

// run simulates requests, which are sorted by arrival, and returns the counts
// once the last of them has ended.
func (f *fleet) run(requests []request) *tally {
	f.scheduleArrivals(requests)
	f.loop.schedule(f.measured.to, func() {
		for _, r := range f.runners {
			f.countIdle(r)
		}
	})
	f.loop.run()
	f.shares.addTo(f.tally)
	f.tally.peakModelLoads = f.gate.peakModels
	return f.tally
}

// scheduleArrivals schedules the arrival of the first request, which in turn
// schedules that of the next.
func (f *fleet) scheduleArrivals(requests []request) {
	if len(requests) == 0 {
		return
	}
	f.loop.schedule(requests[0].at, func() {
		f.handleArrival(requests[0])
		f.scheduleArrivals(requests[1:])
	})
}

// handleArrival offers q to the runners in the order in which an entry VM would
// try them, until one queues it.
func (f *fleet) handleArrival(q request) {
	counted := f.measured.contains(q.at)
	if counted {
		f.tally.ranks[q.rank].arrived++
	}
	rule, _ := f.deployment.rules.Models.Get(q.model)
	replicas := f.placements[rule.PlacementModel()]
	order := f.runnerOrder(q, replicas)
	for i, r := range order {
		if i == 0 {
			f.shares.addOffered(r.id, q)
		}
		if f.enqueue(r, q) {
			return
		}
	}
	if counted {
		f.tally.ranks[q.rank].refused++
	}
}

// runnerOrder returns the runners in the order in which q tries them.
func (f *fleet) runnerOrder(q request, replicas []*runner) []*runner {
	candidates := make([]chooser.Candidate, len(replicas))
	byID := make(map[buckthorndyke.RunnerID]*runner, len(replicas))
	for i, r := range replicas {
		byID[r.id] = r
		candidates[i] = chooser.Candidate{
			Live: true, Load: chooser.LoadOf(r.report(), q.rank), Loaded: r.loaded(q.model),
			Runner: r.id, Tier: r.tiers[q.model],
		}
	}
	var order []*runner
	for _, id := range chooser.Order(q.model, candidates, uint64(q.at)) {
		order = append(order, byID[id])
	}
	return order
}

// enqueue adds q to the queue of r and reports whether admission accepted it.
func (f *fleet) enqueue(r *runner, q request) bool {
	now := f.loop.now
	f.lastTicket++
	w := buckthorndyke.Waiter{
		Arrived: now, Caller: buckthorndyke.CallerID(q.rank.String()),
		Due: now + f.deployment.rules.RankRuleOf(q.rank).FirstToken, ID: f.lastTicket, Model: q.model, Rank: q.rank,
	}
	next, err := r.admission.Enqueue(r.view(now), w)
	if err != nil {
		return false
	}
	f.countIdle(r)
	r.admission = next
	f.tickets[w.ID] = &ticket{start: r.startKind(q.model), request: q, waiter: w}
	r.keepWarm = r.keepWarm.WithArrival(w.Model, now)
	if rule, _ := r.rules.Models.Get(w.Model); rule.IsAdapter() {
		r.keepWarm = r.keepWarm.WithArrival(rule.Base, now)
	}
	f.applyPolicies(r)
	return true
}

// applyPolicies runs the policies for r and applies their decisions.
func (f *fleet) applyPolicies(r *runner) {
	f.countIdle(r)
	p := newPlanner(r, f.loop.now).plan()
	f.execute(r, p)
	var d buckthorndyke.AdmissionDecision
	r.admission, d = r.admission.Decide(r.view(f.loop.now))
	for _, w := range d.Expired {
		f.expire(w)
	}
	for _, w := range d.Granted {
		f.grant(r, w)
	}
	for _, w := range d.Revoked {
		f.loop.schedule(f.loop.now+revokeTime, func() { f.end(r, w.ID, true) })
	}
	f.scheduleWake(r, p.wakeAt)
}

// countIdle adds the idle memory time of r since the previous call to the
// tally.
func (f *fleet) countIdle(r *runner) {
	from, to := max(r.idleSince, f.measured.from), min(f.loop.now, f.measured.to)
	r.idleSince = f.loop.now
	if to > from {
		f.tally.idle += float64(to-from) * float64(r.idleMB()) / runnerMemoryMB
	}
}

// end ends a running request, which was revoked or has completed.
func (f *fleet) end(r *runner, id buckthorndyke.TicketID, revoked bool) {
	t, ok := f.tickets[id]
	if !ok {
		return
	}
	f.countIdle(r)
	delete(f.tickets, id)
	r.admission = r.admission.Without(id, f.loop.now)
	r.recordUse(t.waiter, f.loop.now)
	f.shares.addKept(r.id, t, f.loop.now)
	if f.measured.contains(t.request.at) {
		wait := t.granted + prefillTime - t.request.at
		if revoked {
			f.tally.ranks[t.request.rank].revoked++
		} else {
			f.tally.addServed(t.request.rank, wait, t.start, t.granted <= t.waiter.Due)
		}
	}
	f.applyPolicies(r)
}

// expire ends a waiting request whose deadline is about to pass.
func (f *fleet) expire(w buckthorndyke.Waiter) {
	t := f.tickets[w.ID]
	delete(f.tickets, w.ID)
	if f.measured.contains(t.request.at) {
		f.tally.ranks[w.Rank].expired++
	}
}

// grant starts a request.
func (f *fleet) grant(r *runner, w buckthorndyke.Waiter) {
	t := f.tickets[w.ID]
	t.granted = f.loop.now
	r.recordUse(w, f.loop.now)
	f.loop.schedule(f.loop.now+t.request.hold, func() { f.end(r, w.ID, false) })
}

// scheduleWake schedules applyPolicies for the next expiry of a waiting request
// or for nextEviction, whichever is first. A nextEviction of 0 means that no
// eviction is due.
func (f *fleet) scheduleWake(r *runner, nextEviction buckthorndyke.Millis) {
	at := nextEviction
	if due, ok := r.admission.NextExpiry(); ok && (at == 0 || due < at) {
		at = due
	}
	// An hour after the measured span no request waits, and idle time no longer
	// counts.
	if at == 0 || at > f.measured.to+buckthorndyke.Hour || r.wakeAt > f.loop.now && r.wakeAt <= at {
		return
	}
	at = max(at, f.loop.now+1)
	r.wakeAt = at
	f.loop.schedule(at, func() {
		if r.wakeAt == at {
			r.wakeAt = 0
			f.applyPolicies(r)
		}
	})
}
