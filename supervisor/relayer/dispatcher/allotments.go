package dispatcher

import (
	"context"
	"maps"
	"math"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/apportioner"
	"github.com/buckthorndyke/buckthorndyke/reporter"
)

const (
	// maxGrantWaits bounds the requests that wait for a grant.
	maxGrantWaits = 2048
	// grantPatience is how long a request waits for a grant while the leader says that
	// there will be room soon.
	grantPatience = 300 * buckthorndyke.Millisecond
	// askInterval is the shortest time until the VM asks again after a reply that has left
	// requests waiting. It bounds the reports under a flood, and is shorter than the time
	// for which a VM asks at once (100 ms of the allotment).
	askInterval = 60 * buckthorndyke.Millisecond
	// lostInterval is the same after the VM has found no leader.
	lostInterval = 500 * buckthorndyke.Millisecond
	// chargeTTL is how long after the deadline of a request its charge is kept to be
	// refunded.
	chargeTTL = buckthorndyke.Minute
	// shareLogInterval is the shortest time between two lines on a caller's share.
	shareLogInterval = 5 * buckthorndyke.Second
	// shareLogStep is the smallest change of a share, in thousandths, that is logged.
	shareLogStep = 20
)

// Refusals of requests of callers with an allotment.
var (
	errAllotmentExceeded = buckthorndyke.NewRefusal(buckthorndyke.CodeAllotmentExceeded, buckthorndyke.NotRun,
		"the caller's allotment is used up")
	errAllotmentUnknown = buckthorndyke.NewRefusal(buckthorndyke.CodeAllotmentUnknown, buckthorndyke.NotRun,
		"no leader has said whether the caller's allotment has room")
)

// allotments is the part of the task's state that concerns callers' allotments.
type allotments struct {
	// askAt is the instant from which on the VM may ask for grants before its next report.
	askAt buckthorndyke.Millis
	// charges holds the charges of requests that may still be refunded.
	charges map[*job]charge
	// exhaustedAt and sharesLogged hold the last log line on each caller.
	exhaustedAt  map[buckthorndyke.CallerID]buckthorndyke.Millis
	sharesLogged map[buckthorndyke.CallerID]loggedShare
	usage        apportioner.Usage
	// waiting holds the requests that wait for a grant, in the order of their arrival.
	// They are not among those that wait for a server yet.
	waiting map[buckthorndyke.CallerID][]grantWait
	// waits is the number of requests in waiting.
	waits int
	// wakeAt is the instant at which a request that waits may be admitted or has waited
	// too long, or 0.
	wakeAt buckthorndyke.Millis
}

// charge is what a request was charged.
type charge struct {
	caller buckthorndyke.CallerID
	cost   float64
	// sent is set once the request was sent to a server.
	sent bool
	// until is the instant from which on the charge is no longer refunded.
	until buckthorndyke.Millis
}

// grantWait is a request that waits for a grant.
type grantWait struct {
	cost float64
	m    admissionRequested
	// roomUntil is the instant until which the request waits for room in the allotment,
	// and until the one until which it waits while the VM does not know of any.
	roomUntil, until buckthorndyke.Millis
}

// loggedShare is a share that was logged.
type loggedShare struct {
	at       buckthorndyke.Millis
	permille int
}

func newAllotments(bounds buckthorndyke.AllotmentBounds) allotments {
	return allotments{
		charges:      make(map[*job]charge),
		exhaustedAt:  make(map[buckthorndyke.CallerID]buckthorndyke.Millis),
		sharesLogged: make(map[buckthorndyke.CallerID]loggedShare),
		usage:        apportioner.NewUsage(bounds),
		waiting:      make(map[buckthorndyke.CallerID][]grantWait),
	}
}

// charge charges a request to its caller's allotment and reports whether it was admitted.
// One that was not waits for a grant, or was refused.
func (t *task) charge(m admissionRequested) bool {
	a := &t.allotments
	caller := m.job.request.Caller
	if !a.usage.Limits(caller) {
		return true
	}
	now := t.clock.Now()
	cost := a.usage.Cost(m.job.request)
	t.countAllotment(buckthorndyke.MetricAllotmentRequested, caller, cost)
	a.usage = a.usage.WithAsked(caller, cost, now)
	w := grantWait{cost: cost, m: m, roomUntil: now + grantPatience, until: t.grantWaitUntil(m)}
	if len(a.waiting[caller]) == 0 || !t.hasLeader {
		decision := t.decideCharge(w, now)
		if decision.Outcome == apportioner.Admitted {
			return true
		}
		if t.refuseUncharged(w, decision, now) {
			return false
		}
		t.scheduleGrant(w.next(decision, now))
	}
	if a.waits >= maxGrantWaits {
		t.refuseAllotment(w, errAllotmentUnknown, 0, now)
		return false
	}
	a.waiting[caller] = append(a.waiting[caller], w)
	a.waits++
	t.scheduleGrant(w.until)
	t.askForGrants(now)
	return false
}

// decideCharge charges a request if its caller's allotment admits it.
func (t *task) decideCharge(w grantWait, now buckthorndyke.Millis) apportioner.Decision {
	caller := w.m.job.request.Caller
	var decision apportioner.Decision
	t.allotments.usage, decision = t.allotments.usage.WithCharge(caller, w.cost, now)
	if decision.Outcome == apportioner.Admitted {
		t.allotments.charges[w.m.job] = charge{caller: caller, cost: w.cost, until: w.m.job.deadline + chargeTTL}
		t.countAllotment(buckthorndyke.MetricAllotmentAdmitted, caller, w.cost)
	}
	return decision
}

// refuseUncharged refuses a request if its caller's allotment has no room, or it has waited
// too long, and reports whether it did.
func (t *task) refuseUncharged(w grantWait, decision apportioner.Decision, now buckthorndyke.Millis) bool {
	known := t.hasLeader && decision.RoomIn > 0
	switch {
	case decision.Outcome == apportioner.Exceeded, known && now >= min(w.roomUntil, w.until):
		t.refuseAllotment(w, errAllotmentExceeded, decision.RoomIn, now)
	case now >= w.until:
		t.refuseAllotment(w, errAllotmentUnknown, decision.RoomIn, now)
	default:
		return false
	}
	return true
}

// refuseAllotment refuses a request with the time until there is room. Those of one caller
// are spread over as much time again, so that they do not return together.
func (t *task) refuseAllotment(w grantWait, refusal *buckthorndyke.RefusalError, roomIn, now buckthorndyke.Millis) {
	j := w.m.job
	wait := max(roomIn, minRetryAfter)
	wait += buckthorndyke.Millis(j.seed % uint64(wait))
	wait = max(min(wait, (j.deadline-now)/expectedDivisor), 1)
	w.m.reply.Answer(admission{err: refusal.WithRetryAfter(wait), final: true})
	caller := j.request.Caller
	if refusal.Code() != buckthorndyke.CodeAllotmentExceeded {
		t.countAllotment(buckthorndyke.MetricAllotmentUnknown, caller, w.cost)
		return
	}
	t.countAllotment(buckthorndyke.MetricAllotmentExceeded, caller, w.cost)
	if last, ok := t.allotments.exhaustedAt[caller]; ok && now < last+t.allotmentBounds.Window {
		return
	}
	t.allotments.exhaustedAt[caller] = now
	t.logger.Info().EmbedObject(reporter.EventAllotmentExhausted).Str("caller", string(caller)).Str("request", string(j.request.ID)).
		Float64("cost", w.cost).Int64("room-in-ms", int64(roomIn)).Send()
}

// grantWaitUntil returns the instant until which a request waits while the VM does not know
// whether there is room.
func (t *task) grantWaitUntil(m admissionRequested) buckthorndyke.Millis {
	until := min(m.limits.plain, m.limits.loading)
	if t.drain.waitUntil > 0 {
		until = min(until, t.drain.waitUntil)
	}
	return until
}

// next returns the instant at which a request that waits is decided on again.
func (w grantWait) next(decision apportioner.Decision, now buckthorndyke.Millis) buckthorndyke.Millis {
	if decision.RoomIn == 0 {
		return w.until
	}
	return max(min(now+decision.RoomIn, w.roomUntil, w.until), now+1)
}

// askForGrants makes the VM report early, if it may.
func (t *task) askForGrants(now buckthorndyke.Millis) {
	if now < t.allotments.askAt {
		t.scheduleGrant(t.allotments.askAt)
		return
	}
	t.signalWaiting()
}

// scheduleGrant makes the task decide again on the requests that wait for a grant, at the
// given instant or before.
func (t *task) scheduleGrant(at buckthorndyke.Millis) {
	if t.allotments.wakeAt == 0 || at < t.allotments.wakeAt {
		t.allotments.wakeAt = at
	}
}

// grantWake returns the time until the task has to decide again on requests that wait for a
// grant, at most wake.
func (t *task) grantWake(now, wake buckthorndyke.Millis) buckthorndyke.Millis {
	if t.allotments.wakeAt == 0 {
		return wake
	}
	return min(wake, max(t.allotments.wakeAt-now, 1))
}

// retryGrants decides on the requests that wait for a grant, if that is due or force is
// set.
func (t *task) retryGrants(now buckthorndyke.Millis, force bool) {
	a := &t.allotments
	if a.waits == 0 || !force && now < a.wakeAt {
		return
	}
	a.wakeAt = 0
	for caller, queue := range a.waiting {
		kept := t.retryQueue(queue, now)
		a.waits += len(kept) - len(queue)
		if len(kept) == 0 {
			delete(a.waiting, caller)
		} else {
			a.waiting[caller] = kept
		}
	}
	if a.waits > 0 {
		t.askForGrants(now)
	}
}

// retryQueue decides on the requests of one caller that wait for a grant, and returns those
// that still wait.
func (t *task) retryQueue(queue []grantWait, now buckthorndyke.Millis) []grantWait {
	var kept []grantWait
	blocked := false
	for _, w := range queue {
		if t.refuseQuarantined(w.m) || t.refuseStopping(w.m) {
			continue
		}
		w.until = min(w.until, t.grantWaitUntil(w.m))
		if blocked {
			// Requests are admitted in the order of their arrival.
			if now < w.until {
				kept = append(kept, w)
				t.scheduleGrant(w.until)
			} else {
				t.refuseAllotment(w, errAllotmentUnknown, 0, now)
			}
			continue
		}
		decision := t.decideCharge(w, now)
		switch {
		case decision.Outcome == apportioner.Admitted:
			t.admitCharged(w.m)
		case t.refuseUncharged(w, decision, now):
		default:
			kept = append(kept, w)
			t.scheduleGrant(w.next(decision, now))
			// Without a leader, a request that is larger than what the VM's share ever
			// fills does not hold up the others.
			blocked = t.hasLeader || decision.RoomIn > 0
		}
	}
	return kept
}

// cancelGrantWait removes a request that no longer waits for a grant.
func (t *task) cancelGrantWait(j *job) {
	a := &t.allotments
	caller := j.request.Caller
	queue := a.waiting[caller]
	for i, w := range queue {
		if w.m.job != j {
			continue
		}
		a.waits--
		if len(queue) == 1 {
			delete(a.waiting, caller)
			return
		}
		a.waiting[caller] = append(queue[:i:i], queue[i+1:]...)
		return
	}
}

// noteSent notes that a request was assigned a server: from now on its charge is spent.
func (t *task) noteSent(j *job) {
	c, ok := t.allotments.charges[j]
	if !ok || c.sent {
		return
	}
	c.sent = true
	t.allotments.charges[j] = c
	t.allotments.usage = t.allotments.usage.WithSent(c.caller, c.cost)
}

// endCharge refunds the charge of a request that has ended and that no server has run.
func (t *task) endCharge(m chargeEnded) {
	c, ok := t.allotments.charges[m.job]
	if !ok {
		return
	}
	delete(t.allotments.charges, m.job)
	if !m.ran {
		t.allotments.usage = t.allotments.usage.WithRefund(c.caller, c.cost, c.sent)
		t.retryGrants(t.clock.Now(), true)
	}
}

// allotmentUses adds what the VM has used of callers' allotments to a report.
func (t *task) allotmentUses(report *buckthorndyke.DemandReport, now buckthorndyke.Millis) {
	a := &t.allotments
	var waiting map[buckthorndyke.CallerID]float64
	if a.waits > 0 {
		report.Waiting = true
		waiting = make(map[buckthorndyke.CallerID]float64, len(a.waiting))
		for caller, queue := range a.waiting {
			limit, need := a.usage.AskLimit(caller), queue[0].cost
			for _, w := range queue[1:] {
				if need+w.cost > limit {
					break
				}
				need += w.cost
			}
			waiting[caller] = need
		}
	}
	a.usage, report.Allotments, report.Number = a.usage.WithReport(waiting, now)
	report.Granted, report.LeaderPosition = a.usage.Granted(), a.usage.LeaderPosition()
	for j, c := range a.charges {
		if now > c.until {
			delete(a.charges, j)
		}
	}
	for _, u := range report.Allotments {
		t.noteShare(u.Caller, now)
	}
}

// applyGrants applies the grants in the reply of a leader at a position.
func (t *task) applyGrants(grants []buckthorndyke.AllotmentGrant, position int64, now buckthorndyke.Millis) {
	t.allotments.usage = t.allotments.usage.WithGrants(grants, position, now)
	if len(grants) == 0 {
		return
	}
	t.allotments.askAt = now + askInterval
	t.retryGrants(now, true)
	if t.allotments.waits == 0 {
		t.allotments.askAt = 0
	}
}

// applyCallers applies the callers in another version of the configuration.
func (t *task) applyCallers(callers buckthorndyke.Callers) {
	a := &t.allotments
	a.usage = a.usage.WithCallers(callers)
	gone := func(caller buckthorndyke.CallerID) bool { return !a.usage.Limits(caller) }
	maps.DeleteFunc(a.exhaustedAt, func(c buckthorndyke.CallerID, _ buckthorndyke.Millis) bool { return gone(c) })
	maps.DeleteFunc(a.sharesLogged, func(c buckthorndyke.CallerID, _ loggedShare) bool { return gone(c) })
	t.retryGrants(t.clock.Now(), true)
}

// loseAllotments makes the VM go on by its shares, because no leader replies.
func (t *task) loseAllotments() {
	now := t.clock.Now()
	t.allotments.usage = t.allotments.usage.WithoutLeader(now)
	t.allotments.askAt = now + lostInterval
	t.retryGrants(now, true)
}

// noteShare records the VM's share of a caller's allotment, and logs a change.
func (t *task) noteShare(caller buckthorndyke.CallerID, now buckthorndyke.Millis) {
	share, age, ok := t.allotments.usage.Share(caller, now)
	if !ok {
		return
	}
	permille := int(math.Round(share * 1000))
	t.meter.Set(buckthorndyke.MetricAllotmentShare.Of(t.labels.ofCaller(caller)), int64(permille))
	t.meter.Set(buckthorndyke.MetricAllotmentShareAge.Of(t.labels.ofCaller(caller)), int64(age/buckthorndyke.Second))
	last := t.allotments.sharesLogged[caller]
	change := max(permille-last.permille, last.permille-permille)
	if change < shareLogStep || last.at > 0 && now < last.at+shareLogInterval {
		return
	}
	t.allotments.sharesLogged[caller] = loggedShare{at: now, permille: permille}
	cause := "the leader divides the allotment by the demand of VMs"
	if !t.hasLeader {
		cause = "the leader's last reply is too old"
	}
	t.logger.Info().EmbedObject(reporter.EventAllotmentShare).Str("caller", string(caller)).Int("share-permille", permille).
		Int("before-permille", last.permille).Int64("age-ms", int64(age)).Bool("leader", t.hasLeader).Str("cause", cause).Send()
}

// countAllotment counts an amount of a caller's allotment.
func (t *task) countAllotment(metric buckthorndyke.Metric, caller buckthorndyke.CallerID, cost float64) {
	t.meter.Count(metric.Of(t.labels.ofCaller(caller)), int64(math.Round(cost)))
}

// endCharge tells the task that the request has ended, so that its charge is refunded if no
// server has run it.
func (j *job) endCharge(ctx context.Context, err error) {
	if j.request.Caller == "" {
		return
	}
	notRun := err != nil && j.executions == 0 && (j.attempts == 0 || buckthorndyke.VerdictOf(err).RetryIsSafe())
	j.tell(ctx, chargeEnded{job: j, ran: !notRun})
}
