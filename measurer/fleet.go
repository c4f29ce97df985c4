package main

import (
	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/chooser"
	"github.com/buckthorndyke/buckthorndyke/placer"
)

// Times of what happens around the decisions.
const (
	// prefill is the time from a grant to the first token.
	prefillTime = 20 * buckthorndyke.Millisecond
	// revokeTime is the time that the holder of a revoked ticket takes to give
	// its slot back.
	revokeTime = 10 * buckthorndyke.Millisecond
)

// policies are what a run measures.
type policies struct {
	admission buckthorndyke.AdmissionPolicy
	keepWarm  buckthorndyke.KeepWarmPolicy
}

// span is a span of time; it ends before to.
type span struct {
	from, to buckthorndyke.Millis
}

// holds reports whether at is within s.
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

// fleet models the runners of one deployment in one run. It is a single-threaded
// event loop on a virtual clock.
type fleet struct {
	deployment deployment
	gate       *gate
	lastTicket buckthorndyke.TicketID
	loop       *eventLoop
	// measured bounds what is counted by its arrival.
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

// run plays requests, which are sorted by their arrival, and returns what
// happened until the last of them has ended.
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

// arriveNext lets the first of requests arrive in its time, and then the others.
func (f *fleet) scheduleArrivals(requests []request) {
	if len(requests) == 0 {
		return
	}
	f.loop.schedule(requests[0].at, func() {
		f.handleArrival(requests[0])
		f.scheduleArrivals(requests[1:])
	})
}

// arrive offers q to the runners in the order in which an entry VM asks them.
func (f *fleet) handleArrival(q request) {
	counted := f.measured.contains(q.at)
	if counted {
		f.tally.ranks[q.rank].arrived++
	}
	rule, _ := f.deployment.rules.Models.Get(q.model)
	homes := f.placements[rule.PlacementModel()]
	order := f.runnerOrder(q, homes)
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

// order returns the runners in the order in which q asks them.
func (f *fleet) runnerOrder(q request, homes []*runner) []*runner {
	candidates := make([]chooser.Candidate, len(homes))
	byID := make(map[buckthorndyke.RunnerID]*runner, len(homes))
	for i, r := range homes {
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

// offer offers q to r and reports whether it was queued.
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

// act does what the policies decide for r now.
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

// countIdle counts the idle time of r since it was last counted.
func (f *fleet) countIdle(r *runner) {
	from, to := max(r.idleSince, f.measured.from), min(f.loop.now, f.measured.to)
	r.idleSince = f.loop.now
	if to > from {
		f.tally.idle += float64(to-from) * float64(r.idleMB()) / runnerMemoryMB
	}
}

// end ends a running request.
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

// expire ends a waiting request that was refused before its deadline.
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

// wake has r act at the next deadline or at idle, whichever is first.
func (f *fleet) scheduleWake(r *runner, idle buckthorndyke.Millis) {
	at := idle
	if due, ok := r.admission.NextExpiry(); ok && (at == 0 || due < at) {
		at = due
	}
	// Nothing more is of interest after the measured span once no request waits.
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
