package steward

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// statusFast is the time between status calls while something is undecided.
	statusIntervalFast = 250 * buckthorndyke.Millisecond
	// defaultStatusLag bounds how far a runner's report lags behind the truth.
	defaultStatusLag = buckthorndyke.Second
	// statusSlow is the time between status calls otherwise.
	statusIntervalSlow = 2 * buckthorndyke.Second
	// statusTimeout bounds one status call.
	statusTimeout = 2 * buckthorndyke.Second
)

// statusRun is the standing of the status calls.
type statusPolling struct {
	// calls counts the calls that were sent.
	calls int
	// at is the instant of the next call.
	nextAt  buckthorndyke.Millis
	pending bool
	// doubtful is the value of calls when a job was broken off, until a report
	// that was asked for after that has come. Nothing starts before that. It is
	// -1 otherwise. Instants cannot tell a call apart that was sent in the same
	// millisecond as the job broke.
	staleUpTo int
}

// certain is the value of statusRun.doubtful while no job was broken off.
const noneStale = -1

// absorb adds residents that the account does not know, which an order of a
// previous owner has loaded.
func (t *task) addUnknownResidents(status buckthorndyke.EngineStatus, now buckthorndyke.Millis) {
	for _, r := range status.Residents {
		known, ok := t.memory.residents.Get(r.Model)
		switch {
		case ok && known.loading && !r.Loading:
			known.loading = false
			t.memory.residents = t.memory.residents.With(r.Model, known)
		case !ok && !t.memory.isPresent(r.Model) && t.memory.reservedMB > 0 && !t.order.evicted[r.Model]:
			t.memory = t.memory.withResident(r, now).withReserve(0)
		}
	}
}

// rebuild goes on to the next phase when the current one has ended.
func (t *task) advancePhase(now buckthorndyke.Millis) {
	if t.phase == phaseLease && now >= t.previousLeaseEnd() {
		if t.view.Ownership.ChecksFencingToken {
			t.enterPhase(phaseFence, now)
		} else {
			t.enterPhase(phaseRead, now)
		}
	}
	if t.phase == phaseFence && t.canOrder(now) {
		t.issueOrder(buckthorndyke.Order{Kind: buckthorndyke.OrderFence}, now)
	}
	if t.memory.reservedMB > 0 && !t.mustReserve() {
		t.memory = t.memory.withReserve(0)
	}
}

// finishRead ends phaseRead once a report that was asked for in it shows no
// order in progress.
func (t *task) finishRead(m statusReplied, now buckthorndyke.Millis) {
	if t.phase != phaseRead || m.askedAt < t.phaseSince+t.statusLag {
		return
	}
	for id, state := range m.status.Orders {
		if state == buckthorndyke.OrderRunning && (t.memory.order == nil || t.memory.order.ID != id) {
			return
		}
	}
	t.enterPhase(phaseReady, now)
	if t.mustReserve() {
		t.memory = t.memory.withReserve(t.view.largestOrderMB(t.memory))
	}
}

// answerStatus takes over a runner's report.
func (t *task) handleStatusReply(m statusReplied) {
	now := t.clock.Now()
	t.status.pending = false
	if m.err != nil {
		t.failures++
		t.status.nextAt = max(t.status.nextAt, now+statusIntervalFast)
		return
	}
	t.failures = 0
	if m.call > t.status.staleUpTo {
		t.status.staleUpTo = noneStale
	}
	if t.vmGone {
		t.vmGone = false
		t.enterPhase(phaseRead, now)
	}
	t.cached = m.status.Cached
	t.slots = m.status.Slots
	crashed := t.engineIncarnation != 0 && t.engineIncarnation != m.status.Incarnation
	t.engineIncarnation = m.status.Incarnation
	if crashed {
		t.refuseRunning()
	}
	if crashed || t.phase != phaseReady {
		t.memory = newAccount(m.status, now).withReserve(t.memory.reservedMB).withOrderOf(t.memory)
	}
	t.completeOrderByStatus(m)
	t.addUnknownResidents(m.status, now)
	t.ownJobs = t.ownJobs.withoutOld(m.askedAt - t.statusLag)
	t.foreignJobs = t.ownJobs.countForeign(m.status.Jobs, m.askedAt, t.statusLag)
	t.finishRead(m, now)
}

// mustReserve reports whether a previous owner may still have an order
// outstanding that the runner would carry out.
func (t *task) mustReserve() bool {
	o := t.view.Ownership
	return !o.ChecksFencingToken && o.PreviousOwner != "" && !t.view.PreviousGone
}

// pollStatus asks for the runner's report when it is time.
func (t *task) pollStatus(now buckthorndyke.Millis) {
	if t.status.pending || now < t.status.nextAt {
		return
	}
	t.status.pending = true
	t.status.nextAt = now + t.statusInterval()
	t.status.calls++
	call := t.status.calls
	go func() {
		ctx, cancel := context.WithTimeout(t.lifetimeCtx, statusTimeout.Duration())
		defer cancel()
		status, err := t.engine.Status(ctx)
		t.post(statusReplied{askedAt: now, call: call, err: err, status: status})
	}()
}

// leaseEnd returns the instant at which the previous owner's lease has ended.
func (t *task) previousLeaseEnd() buckthorndyke.Millis {
	if t.phase != phaseLease || !t.mustReserve() {
		return t.phaseSince
	}
	return t.takenAt + t.lease.WithDrift(t.driftPermille)
}

// endRunning ends the tickets of running requests after a crash.
func (t *task) refuseRunning() {
	for _, w := range t.admission.Running() {
		t.refuse(w.ID, errEngine)
	}
}

// statusInterval returns the time until the next status call.
func (t *task) statusInterval() buckthorndyke.Millis {
	loading := false
	for _, r := range t.memory.residents.All() {
		loading = loading || r.loading
	}
	if t.phase != phaseReady || t.memory.order != nil || t.foreignJobs > 0 || loading || t.failures > 0 {
		return statusIntervalFast
	}
	return statusIntervalSlow
}
