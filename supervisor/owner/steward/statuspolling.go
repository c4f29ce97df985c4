package steward

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// statusIntervalFast is the time between status calls while the steward waits for
	// a change on the runner.
	statusIntervalFast = 250 * buckthorndyke.Millisecond
	// defaultStatusLag is the default maximum lag of a runner's status.
	defaultStatusLag = buckthorndyke.Second
	// statusIntervalSlow is the time between status calls otherwise.
	statusIntervalSlow = 2 * buckthorndyke.Second
	// statusTimeout limits one status call.
	statusTimeout = 2 * buckthorndyke.Second
)

// statusPolling is the state of the status calls to the runner.
type statusPolling struct {
	// calls is the number of calls sent.
	calls int
	// nextAt is the time of the next call.
	nextAt  buckthorndyke.Millis
	pending bool
	// staleUpTo is the value of calls at the time when a job ended by a crash. No
	// requests start until the reply to a later call has arrived, which resets it to
	// noneStale, that is -1. It is a call number because times cannot distinguish
	// calls sent before and after the crash in the same millisecond.
	staleUpTo int
}

// noneStale is the value of statusPolling.staleUpTo while no status call has to be
// awaited after a crash.
const noneStale = -1

// addUnknownResidents adds residents that are missing in the memory account, which
// an order of a previous owner has loaded, and releases the memory reserved for
// that order.
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

// advancePhase enters the next phase if the current one has ended.
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

// finishRead ends phaseRead once a status that was requested at least the status lag
// after the start of the phase shows no order of a previous owner in progress.
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

// handleStatusReply applies a runner's status.
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
		t.memory = newMemoryAccount(m.status, now).withReserve(t.memory.reservedMB).withOrderOf(t.memory)
	}
	t.completeOrderByStatus(m)
	t.addUnknownResidents(m.status, now)
	t.ownJobs = t.ownJobs.withoutOld(m.askedAt - t.statusLag)
	t.foreignJobs = t.ownJobs.countForeign(m.status.Jobs, m.askedAt, t.statusLag)
	t.finishRead(m, now)
}

// mustReserve reports whether a previous owner may have an outstanding order that
// the runner would execute.
func (t *task) mustReserve() bool {
	o := t.view.Ownership
	return !o.ChecksFencingToken && o.PreviousOwner != "" && !t.view.PreviousGone
}

// pollStatus requests the runner's status when a call is due.
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

// previousLeaseEnd returns the time at which the lease of the previous owner ends,
// or a past time if the steward need not wait for it.
func (t *task) previousLeaseEnd() buckthorndyke.Millis {
	if t.phase != phaseLease || !t.mustReserve() {
		return t.phaseSince
	}
	return t.takenAt + t.lease.WithDrift(t.driftPermille)
}

// refuseRunning ends the tickets of running requests after a crash of the engine.
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
