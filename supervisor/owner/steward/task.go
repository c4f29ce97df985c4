package steward

import (
	"context"

	"github.com/google/uuid"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// batchLimit is the maximum number of messages that are applied before the next
	// decision.
	batchLimit = 32
	// minWait is the minimum timer duration, so that the task does not spin.
	minWait = 5 * buckthorndyke.Millisecond
	// failureLimit is the number of consecutive failed status calls after which the
	// runner counts as unavailable.
	failureLimit = 3
)

// Phases of a steward, in this order.
const (
	// phaseLease waits for the end of the previous owner's lease.
	phaseLease phase = iota
	// phaseFence raises the runner's fencing token. No requests start before that,
	// since an order of the previous owner could still unload a model.
	phaseFence
	// phaseRead waits until the runner executes no order of a previous owner.
	phaseRead
	// phaseReady issues orders.
	phaseReady
)

// phase is the progress of a steward in taking over a runner.
type phase uint8

// task is the state of one run of a steward. Only its goroutine accesses it.
type task struct {
	*Steward
	admission buckthorndyke.AdmissionPolicy
	cached    map[buckthorndyke.ModelID]buckthorndyke.Tier
	// engineIncarnation is the engine's incarnation, or 0 before the first status.
	engineIncarnation buckthorndyke.Incarnation
	// failures is the number of consecutive failed status calls.
	failures int
	// fenced is set once the runner has refused an order because of its fencing token.
	fenced bool
	// foreignJobs is the number of jobs on the runner that belong to no ticket of the
	// steward.
	foreignJobs   int
	freeProposals freeSlotProposals
	keepWarm      buckthorndyke.KeepWarmPolicy
	lastTicket    buckthorndyke.TicketID
	memory        memoryAccount
	// newTickets are the tickets requested since the last decision.
	newTickets []buckthorndyke.TicketID
	order      orderProgress
	// ordersStopped is set once the steward has quiesced and issues no more orders.
	ordersStopped bool
	ownJobs       ownJobs
	permit        permitRequest
	phase         phase
	// phaseSince is the start of the phase.
	phaseSince     buckthorndyke.Millis
	plan           plan
	quiescing      bool
	refusedDemands refusedDemands
	retry          retries
	slots          int
	status         statusPolling
	tickets        map[buckthorndyke.TicketID]ticketState
	times          loadTimes
	view           View
	// vmGone is set while the runner's VM is unlisted and does not respond.
	vmGone bool
	// yielding is set once the runner is being handed over without waiting for its
	// running requests.
	yielding bool
}

// newTask returns the state at the start of a run.
func newTask(s *Steward) *task {
	now := s.clock.Now()
	t := &task{
		Steward:       s,
		admission:     s.admission,
		freeProposals: freeSlotProposals{pending: make(map[buckthorndyke.ModelID]bool)},
		keepWarm:      s.keepWarm,
		retry:         newRetries(),
		status:        statusPolling{staleUpTo: noneStale},
		tickets:       make(map[buckthorndyke.TicketID]ticketState),
		view:          s.view,
	}
	t.enterPhase(phaseLease, now)
	return t
}

// run handles messages until ctx ends.
func (t *task) run(ctx context.Context) error {
	for {
		now := t.clock.Now()
		t.step(now)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-t.box.Receive():
			m.apply(t)
			t.applyBatch()
		case v := <-t.views:
			t.setView(v)
		case <-t.clock.After(max(t.wakeAt(now)-now, minWait)):
		}
	}
}

// allWorkKnown reports whether all jobs on the runner belong to tickets of the
// steward, so that models can be evicted.
func (t *task) allWorkKnown(now buckthorndyke.Millis) bool {
	return t.phase == phaseReady && t.foreignJobs == 0 && now >= t.workKnownAt()
}

// applyAdmission grants, revokes and expires tickets as the admission policy decides.
func (t *task) applyAdmission(now buckthorndyke.Millis) {
	next, d := t.admission.Decide(t.admissionView(now))
	t.admission = next
	for _, w := range d.Expired {
		t.refuse(w.ID, errExpired)
	}
	for _, w := range d.Granted {
		t.memory = t.memory.withUse(w.Model, w.Rank, now)
		s := t.tickets[w.ID]
		s.send(eventOrError{event: buckthorndyke.TicketEvent{
			Address: t.view.Ownership.Address, Cold: s.cold, Kind: buckthorndyke.TicketGranted, Report: t.report(),
		}})
	}
	for _, w := range d.Revoked {
		t.tickets[w.ID].send(eventOrError{event: buckthorndyke.TicketEvent{
			Kind: buckthorndyke.TicketRevoked, Report: t.report(),
		}})
	}
	t.announceQueued()
}

// applyBatch applies up to batchLimit messages that are already in the mailbox.
func (t *task) applyBatch() {
	for range batchLimit {
		select {
		case m := <-t.box.Receive():
			m.apply(t)
		default:
			return
		}
	}
}

// canOrder reports whether an order can be issued now.
func (t *task) canOrder(now buckthorndyke.Millis) bool {
	return t.memory.order == nil && !t.yielding && !t.fenced && !t.ordersStopped && !t.vmGone && t.view.mayOrder(now)
}

// checkVMGone clears the memory account and refuses all tickets once the runner's VM
// is unlisted and does not respond.
func (t *task) checkVMGone() {
	if t.vmGone || !t.view.Unlisted || t.failures < failureLimit {
		return
	}
	t.vmGone = true
	t.order.release()
	t.memory = memoryAccount{}
	t.foreignJobs = 0
	t.refuseAll(errEngine, errRunner)
}

// enterPhase starts phase p and makes a status call due.
func (t *task) enterPhase(p phase, now buckthorndyke.Millis) {
	t.phase = p
	t.phaseSince = now
	t.status.nextAt = now
}

// finishQuiesce closes quiesced once no order and no proposal is outstanding and,
// unless yielding, no ticket is open.
func (t *task) finishQuiesce() {
	if !t.quiescing || t.ordersStopped || t.memory.order != nil || len(t.freeProposals.pending) > 0 {
		return
	}
	if len(t.tickets) > 0 && !t.yielding {
		return
	}
	t.ordersStopped = true
	t.releasePermit()
	close(t.quiesced)
}

// makePlan returns the plan at now. It evicts models only if an order can be issued.
func (t *task) makePlan(now buckthorndyke.Millis) plan {
	p := planner{
		admission: t.admission, cached: t.cached, evictable: t.allWorkKnown(now), keepWarm: t.keepWarm,
		makeRoom: t.ordersAllowed(now), memory: t.memory, now: now, refusedDemands: t.refusedDemands,
		retryAt: t.retry.at, times: t.times, view: t.view,
	}.next()
	if !t.ordersAllowed(now) || t.memory.order != nil || t.quiescing && len(t.tickets) == 0 {
		p.evict = ""
	}
	if p.evict != "" {
		p.paused[p.evict] = true
	}
	return p
}

// ordersAllowed reports whether orders can be issued, except that one may be
// outstanding.
func (t *task) ordersAllowed(now buckthorndyke.Millis) bool {
	return t.phase == phaseReady && !t.yielding && !t.fenced && !t.ordersStopped && !t.vmGone && t.view.mayOrder(now)
}

// setView replaces the view, also for later runs.
func (t *task) setView(v View) {
	t.view = v
	t.Steward.view = v
}

// startQuiesce starts quiescing or yielding.
func (t *task) startQuiesce(m quiesceRequested) {
	t.quiescing = true
	t.yielding = t.yielding || m.yield
}

// step does everything that is due at now.
func (t *task) step(now buckthorndyke.Millis) {
	t.checkVMGone()
	t.refusedDemands = t.refusedDemands.withoutExpired(now)
	t.advancePhase(now)
	t.refuseUnservable()
	t.plan = t.makePlan(now)
	t.applyAdmission(now)
	t.issueOrders(now)
	t.freeSlots(now)
	t.pollStatus(now)
	t.finishQuiesce()
}

// stop refuses all tickets at the end of a run. If ctx has ended, it stops the
// steward, which otherwise runs again.
func (t *task) stop(ctx context.Context) {
	t.refuseAll(errLost, errNotOwner)
	t.releasePermit()
	t.order.release()
	if ctx.Err() == nil {
		return
	}
	t.Steward.stop()
	// An order of an earlier run may be outstanding after a restart of the task.
	if t.memory.order == nil && t.runs == 1 {
		close(t.idle)
	}
}

// wakeAt returns the next time at which something may be due.
func (t *task) wakeAt(now buckthorndyke.Millis) buckthorndyke.Millis {
	wake := now + statusIntervalSlow
	consider := func(at buckthorndyke.Millis) {
		if at > now {
			wake = min(wake, at)
		}
	}
	if due, ok := t.admission.NextExpiry(); ok {
		consider(due)
	}
	consider(t.plan.wakeAt)
	consider(t.retry.next(now))
	consider(t.refusedDemands.nextExpiry())
	consider(t.permit.retryAt)
	consider(t.freeProposals.retryAt)
	consider(t.previousLeaseEnd())
	consider(t.workKnownAt())
	if !t.status.pending {
		consider(t.status.nextAt)
	}
	return wake
}

// workKnownAt returns the time from which the runner's status reflects everything
// that the previous owner did.
func (t *task) workKnownAt() buckthorndyke.Millis {
	if t.view.Ownership.PreviousOwner == "" {
		return t.phaseSince
	}
	return t.phaseSince + t.statusLag
}

// newOrderID returns a random order ID.
func newOrderID() buckthorndyke.OrderID {
	return buckthorndyke.OrderID(uuid.NewString())
}
