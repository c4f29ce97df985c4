package steward

import (
	"context"

	"github.com/google/uuid"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// batchLimit bounds the messages that are taken before the next decision.
	batchLimit = 32
	// minWait keeps timers from firing without pause.
	minWait = 5 * buckthorndyke.Millisecond
	// failureLimit is the number of failed status calls in a row after which the
	// runner takes no work.
	failureLimit = 3
)

// Phases of a steward.
const (
	// phaseLease waits until the previous owner's lease has ended.
	phaseLease phase = iota
	// phaseFence raises the runner's fencing number. Nothing starts before that,
	// since a previous owner's order could still evict a model.
	phaseFence
	// phaseRead waits until the runner carries out no order of a previous owner.
	phaseRead
	// phaseReady gives orders.
	phaseReady
)

// phase says how far a steward has rebuilt its state.
type phase uint8

// task is the state of one run of a steward. Only its goroutine touches it.
type task struct {
	*Steward
	admission buckthorndyke.AdmissionPolicy
	cached    map[buckthorndyke.ModelID]buckthorndyke.Tier
	// started tells the engine's lives apart. It is 0 before the first status.
	engineIncarnation buckthorndyke.Incarnation
	// failures counts the status calls that failed since the last answer.
	failures int
	// fenced is set once the runner has refused an order for its fence.
	fenced bool
	// foreign is the number of jobs that belong to no ticket of the steward.
	foreignJobs   int
	freeProposals freeSlotProposals
	keepWarm      buckthorndyke.KeepWarmPolicy
	lastTicket    buckthorndyke.TicketID
	memory        memoryAccount
	// newcomers are the tickets that were asked for since the last decision.
	newTickets []buckthorndyke.TicketID
	order      orderProgress
	// silent is set once the steward has quiesced and gives no more orders.
	ordersStopped bool
	ownJobs       ownJobs
	permit        permitRequest
	phase         phase
	// phaseSince is the instant at which the phase began.
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
	// gone is set while the runner's VM is neither listed nor answers.
	vmGone bool
	// yielding is set once the runner is handed over beneath its requests.
	yielding bool
}

// newTask returns the state at the start of a run.
func newTask(s *Steward) *task {
	now := s.clock.Now()
	t := &task{
		admission:     s.admission,
		freeProposals: freeSlotProposals{pending: make(map[buckthorndyke.ModelID]bool)},
		keepWarm:      s.keepWarm,
		retry:         newRetries(),
		status:        statusPolling{staleUpTo: noneStale},
		Steward:       s,
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

// settled reports whether all work on the runner is known, so that a model can
// be evicted.
func (t *task) allWorkKnown(now buckthorndyke.Millis) bool {
	return t.phase == phaseReady && t.foreignJobs == 0 && now >= t.workKnownAt()
}

// decide grants, revokes and expires tickets.
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

// takeBatch applies messages that already wait.
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

// canOrder reports whether an order can be given now.
func (t *task) canOrder(now buckthorndyke.Millis) bool {
	return t.memory.order == nil && !t.yielding && !t.fenced && !t.ordersStopped && !t.vmGone && t.view.mayOrder(now)
}

// checkGone forgets the runner's memory once its VM is neither listed nor
// answers.
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

// enter begins a phase.
func (t *task) enterPhase(p phase, now buckthorndyke.Millis) {
	t.phase = p
	t.phaseSince = now
	t.status.nextAt = now
}

// finishQuiesce reports the orderly end once nothing is left to do.
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

// makePlan returns the plan at now. Room for loads is made only if an order can
// be given.
func (t *task) makePlan(now buckthorndyke.Millis) plan {
	p := planner{
		memory: t.memory, admission: t.admission, cached: t.cached, evictable: t.allWorkKnown(now),
		keepWarm: t.keepWarm, makeRoom: t.ordersAllowed(now), now: now, retryAt: t.retry.at, times: t.times, view: t.view,
		refusedDemands: t.refusedDemands,
	}.next()
	if !t.ordersAllowed(now) || t.memory.order != nil || t.quiescing && len(t.tickets) == 0 {
		p.evict = ""
	}
	if p.evict != "" {
		p.paused[p.evict] = true
	}
	return p
}

// mayPlan reports whether orders can be given apart from an outstanding one.
func (t *task) ordersAllowed(now buckthorndyke.Millis) bool {
	return t.phase == phaseReady && !t.yielding && !t.fenced && !t.ordersStopped && !t.vmGone && t.view.mayOrder(now)
}

// changeView takes over what the owner knows.
func (t *task) setView(v View) {
	t.view = v
	t.Steward.view = v
}

// end refuses all tickets. The steward itself ends with ctx.
func (t *task) shutDown(ctx context.Context) {
	t.refuseAll(errLost, errNotOwner)
	t.releasePermit()
	t.order.release()
	if ctx.Err() == nil {
		return
	}
	t.cancelLifetime()
	// After a restart an order of an earlier run may be outstanding.
	if t.memory.order == nil && t.runs == 1 {
		close(t.idle)
	}
}

// quiesce begins an orderly end.
func (t *task) startQuiesce(m quiesceRequested) {
	t.quiescing = true
	t.yielding = t.yielding || m.yield
}

// step does everything that the state calls for at now.
func (t *task) step(now buckthorndyke.Millis) {
	t.checkVMGone()
	t.refusedDemands = t.refusedDemands.withoutEnded(now)
	t.advancePhase(now)
	t.refuseUnservable()
	t.plan = t.makePlan(now)
	t.applyAdmission(now)
	t.issueOrders(now)
	t.freeSlots(now)
	t.pollStatus(now)
	t.finishQuiesce()
}

// wake returns the next instant at which the state calls for something.
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
	consider(t.refusedDemands.next())
	consider(t.permit.retryAt)
	consider(t.freeProposals.retryAt)
	consider(t.previousLeaseEnd())
	consider(t.workKnownAt())
	if !t.status.pending {
		consider(t.status.nextAt)
	}
	return wake
}

// settledAt returns the instant from which the runner's report shows all that
// the previous owner did.
func (t *task) workKnownAt() buckthorndyke.Millis {
	if t.view.Ownership.PreviousOwner == "" {
		return t.phaseSince
	}
	return t.phaseSince + t.statusLag
}

// newOrderID returns a random order id.
func newOrderID() buckthorndyke.OrderID {
	return buckthorndyke.OrderID(uuid.NewString())
}
