package steward

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// statusFast is the time between status calls while something is undecided.
	statusFast = 250 * buckthorndyke.Millisecond
	// defaultStatusLag bounds how far a runner's report lags behind the truth.
	defaultStatusLag = buckthorndyke.Second
	// statusSlow is the time between status calls otherwise.
	statusSlow = 2 * buckthorndyke.Second
	// statusTimeout bounds one status call.
	statusTimeout = 2 * buckthorndyke.Second
)

// statusRun is the standing of the status calls.
type statusRun struct {
	// at is the instant of the next call.
	at buckthorndyke.Millis
	// calls counts the calls that were sent.
	calls int
	// doubtful is the value of calls when a job was broken off, until a report
	// that was asked for after that has come. Nothing starts before that. It is
	// -1 otherwise. Instants cannot tell a call apart that was sent in the same
	// millisecond as the job broke.
	doubtful int
	pending  bool
}

// certain is the value of statusRun.doubtful while no job was broken off.
const certain = -1

// answerStatus takes over a runner's report.
func (t *task) answerStatus(m statusAnswered) {
	now := t.clock.Now()
	t.status.pending = false
	if m.err != nil {
		t.failures++
		t.status.at = max(t.status.at, now+statusFast)
		return
	}
	t.failures = 0
	if m.call > t.status.doubtful {
		t.status.doubtful = certain
	}
	if t.gone {
		t.gone = false
		t.enter(phaseRead, now)
	}
	t.cached = m.status.Cached
	t.slots = m.status.Slots
	crashed := t.started != 0 && t.started != m.status.Incarnation
	t.started = m.status.Incarnation
	if crashed {
		t.endRunning()
	}
	if crashed || t.phase != phaseReady {
		t.account = newAccount(m.status, now).withReserve(t.account.reservedMB).withPending(t.account)
	}
	t.settleByStatus(m)
	t.absorb(m.status, now)
	t.jobs = t.jobs.withoutOld(m.asked - t.statusLag)
	t.foreign = t.jobs.foreign(m.status.Jobs, m.asked, t.statusLag)
	t.finishRead(m, now)
}

// absorb adds residents that the account does not know, which an order of a
// previous owner has loaded.
func (t *task) absorb(status buckthorndyke.EngineStatus, now buckthorndyke.Millis) {
	for _, r := range status.Residents {
		have, ok := t.account.residents.Get(r.Model)
		switch {
		case ok && have.loading && !r.Loading:
			have.loading = false
			t.account.residents = t.account.residents.With(r.Model, have)
		case !ok && !t.account.has(r.Model) && t.account.reservedMB > 0 && !t.order.evicted[r.Model]:
			t.account = t.account.withResident(r, now).withReserve(0)
		}
	}
}

// endRunning ends the tickets of running requests after a crash.
func (t *task) endRunning() {
	for _, w := range t.admission.Running() {
		t.refuse(w.ID, errEngine)
	}
}

// finishRead ends phaseRead once a report that was asked for in it shows no
// order in progress.
func (t *task) finishRead(m statusAnswered, now buckthorndyke.Millis) {
	if t.phase != phaseRead || m.asked < t.phaseSince+t.statusLag {
		return
	}
	for id, state := range m.status.Orders {
		if state == buckthorndyke.OrderRunning && (t.account.order == nil || t.account.order.ID != id) {
			return
		}
	}
	t.enter(phaseReady, now)
	if t.mustReserve() {
		t.account = t.account.withReserve(t.view.largestOrderMB(t.account))
	}
}

// leaseEnd returns the instant at which the previous owner's lease has ended.
func (t *task) leaseEnd() buckthorndyke.Millis {
	if t.phase != phaseLease || !t.mustReserve() {
		return t.phaseSince
	}
	return t.taken + t.lease.WithDrift(t.drift)
}

// mustReserve reports whether a previous owner may still have an order
// outstanding that the runner would carry out.
func (t *task) mustReserve() bool {
	o := t.view.Ownership
	return !o.ChecksFencingToken && o.PreviousOwner != "" && !t.view.PreviousGone
}

// pollStatus asks for the runner's report when it is time.
func (t *task) pollStatus(now buckthorndyke.Millis) {
	if t.status.pending || now < t.status.at {
		return
	}
	t.status.pending = true
	t.status.at = now + t.statusInterval()
	t.status.calls++
	call := t.status.calls
	go func() {
		ctx, cancel := context.WithTimeout(t.life, statusTimeout.Duration())
		defer cancel()
		status, err := t.engine.Status(ctx)
		t.post(statusAnswered{asked: now, call: call, err: err, status: status})
	}()
}

// rebuild goes on to the next phase when the current one has ended.
func (t *task) rebuild(now buckthorndyke.Millis) {
	if t.phase == phaseLease && now >= t.leaseEnd() {
		if t.view.Ownership.ChecksFencingToken {
			t.enter(phaseFence, now)
		} else {
			t.enter(phaseRead, now)
		}
	}
	if t.phase == phaseFence && t.canOrder(now) {
		t.giveOrder(buckthorndyke.Order{Kind: buckthorndyke.OrderFence}, now)
	}
	if t.account.reservedMB > 0 && !t.mustReserve() {
		t.account = t.account.withReserve(0)
	}
}

// statusInterval returns the time until the next status call.
func (t *task) statusInterval() buckthorndyke.Millis {
	loading := false
	for _, r := range t.account.residents.All() {
		loading = loading || r.loading
	}
	if t.phase != phaseReady || t.account.order != nil || t.foreign > 0 || loading || t.failures > 0 {
		return statusFast
	}
	return statusSlow
}
