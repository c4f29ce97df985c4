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
	account   account
	admission buckthorndyke.AdmissionPolicy
	cached    map[buckthorndyke.ModelID]buckthorndyke.Tier
	// failures counts the status calls that failed since the last answer.
	failures int
	// fenced is set once the runner has refused an order for its fence.
	fenced bool
	// foreign is the number of jobs that belong to no ticket of the steward.
	foreign int
	freeing freeing
	// gone is set while the runner's VM is neither listed nor answers.
	gone     bool
	holders  map[buckthorndyke.TicketID]holder
	jobs     jobs
	keepWarm buckthorndyke.KeepWarmPolicy
	last     buckthorndyke.TicketID
	// newcomers are the tickets that were asked for since the last decision.
	newcomers []buckthorndyke.TicketID
	order     orderRun
	permit    permitRun
	phase     phase
	// phaseSince is the instant at which the phase began.
	phaseSince buckthorndyke.Millis
	plan       plan
	quiescing  bool
	retry      retries
	// silent is set once the steward has quiesced and gives no more orders.
	silent bool
	slots  int
	// started tells the engine's lives apart. It is 0 before the first status.
	started buckthorndyke.Incarnation
	status  statusRun
	times   loadTimes
	view    View
	wishes  wishes
	// yielding is set once the runner is handed over beneath its requests.
	yielding bool
}

// newTask returns the state at the start of a run.
func newTask(s *Steward) *task {
	now := s.clock.Now()
	t := &task{
		Steward:   s,
		admission: s.admission,
		freeing:   freeing{models: make(map[buckthorndyke.ModelID]bool)},
		holders:   make(map[buckthorndyke.TicketID]holder),
		keepWarm:  s.keepWarm,
		retry:     newRetries(),
		status:    statusRun{doubtful: certain},
		view:      s.view,
	}
	t.enter(phaseLease, now)
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
			t.takeBatch()
		case v := <-t.views:
			t.changeView(v)
		case <-t.clock.After(max(t.wake(now)-now, minWait)):
		}
	}
}

// canOrder reports whether an order can be given now.
func (t *task) canOrder(now buckthorndyke.Millis) bool {
	return t.account.order == nil && !t.yielding && !t.fenced && !t.silent && !t.gone && t.view.mayOrder(now)
}

// changeView takes over what the owner knows.
func (t *task) changeView(v View) {
	t.view = v
	t.Steward.view = v
}

// checkGone forgets the runner's memory once its VM is neither listed nor
// answers.
func (t *task) checkGone() {
	if t.gone || !t.view.Unlisted || t.failures < failureLimit {
		return
	}
	t.gone = true
	t.order.finish()
	t.account = account{}
	t.foreign = 0
	t.endAll(errEngine, errRunner)
}

// decide grants, revokes and expires tickets.
func (t *task) decide(now buckthorndyke.Millis) {
	next, d := t.admission.Decide(t.admissionView(now))
	t.admission = next
	for _, w := range d.Expired {
		t.refuse(w.ID, errExpired)
	}
	for _, w := range d.Granted {
		t.account = t.account.withUse(w.Model, w.Rank, now)
		h := t.holders[w.ID]
		h.put(occurrence{event: buckthorndyke.TicketEvent{
			Address: t.view.Ownership.Address, Cold: h.cold, Kind: buckthorndyke.TicketGranted, Report: t.report(),
		}})
	}
	for _, w := range d.Revoked {
		t.holders[w.ID].put(occurrence{event: buckthorndyke.TicketEvent{
			Kind: buckthorndyke.TicketRevoked, Report: t.report(),
		}})
	}
	t.announce()
}

// end refuses all tickets. The steward itself ends with ctx.
func (t *task) end(ctx context.Context) {
	t.endAll(errLost, errNotOwner)
	t.dropPermit()
	t.order.finish()
	if ctx.Err() == nil {
		return
	}
	t.Steward.end()
	// After a restart an order of an earlier run may be outstanding.
	if t.account.order == nil && t.runs == 1 {
		close(t.idle)
	}
}

// enter begins a phase.
func (t *task) enter(p phase, now buckthorndyke.Millis) {
	t.phase = p
	t.phaseSince = now
	t.status.at = now
}

// step does everything that the state calls for at now.
func (t *task) step(now buckthorndyke.Millis) {
	t.checkGone()
	t.wishes = t.wishes.withoutEnded(now)
	t.rebuild(now)
	t.refuseUnservable()
	t.plan = t.makePlan(now)
	t.decide(now)
	t.giveOrders(now)
	t.freeSlots(now)
	t.pollStatus(now)
	t.finishQuiesce()
}

// finishQuiesce reports the orderly end once nothing is left to do.
func (t *task) finishQuiesce() {
	if !t.quiescing || t.silent || t.account.order != nil || len(t.freeing.models) > 0 {
		return
	}
	if len(t.holders) > 0 && !t.yielding {
		return
	}
	t.silent = true
	t.dropPermit()
	close(t.quiesced)
}

// quiesce begins an orderly end.
func (t *task) quiesce(m quiesce) {
	t.quiescing = true
	t.yielding = t.yielding || m.yield
}

// makePlan returns the plan at now. Room for loads is made only if an order can
// be given.
func (t *task) makePlan(now buckthorndyke.Millis) plan {
	p := planner{
		account: t.account, admission: t.admission, cached: t.cached, evictable: t.settled(now),
		keepWarm: t.keepWarm, makeRoom: t.mayPlan(now), now: now, retryAt: t.retry.at, times: t.times, view: t.view,
		wishes: t.wishes,
	}.next()
	if !t.mayPlan(now) || t.account.order != nil || t.quiescing && len(t.holders) == 0 {
		p.evict = ""
	}
	if p.evict != "" {
		p.held[p.evict] = true
	}
	return p
}

// mayPlan reports whether orders can be given apart from an outstanding one.
func (t *task) mayPlan(now buckthorndyke.Millis) bool {
	return t.phase == phaseReady && !t.yielding && !t.fenced && !t.silent && !t.gone && t.view.mayOrder(now)
}

// settled reports whether all work on the runner is known, so that a model can
// be evicted.
func (t *task) settled(now buckthorndyke.Millis) bool {
	return t.phase == phaseReady && t.foreign == 0 && now >= t.settledAt()
}

// settledAt returns the instant from which the runner's report shows all that
// the previous owner did.
func (t *task) settledAt() buckthorndyke.Millis {
	if t.view.Ownership.PreviousOwner == "" {
		return t.phaseSince
	}
	return t.phaseSince + t.statusLag
}

// takeBatch applies messages that already wait.
func (t *task) takeBatch() {
	for range batchLimit {
		select {
		case m := <-t.box.Receive():
			m.apply(t)
		default:
			return
		}
	}
}

// wake returns the next instant at which the state calls for something.
func (t *task) wake(now buckthorndyke.Millis) buckthorndyke.Millis {
	wake := now + statusSlow
	consider := func(at buckthorndyke.Millis) {
		if at > now {
			wake = min(wake, at)
		}
	}
	if due, ok := t.admission.NextExpiry(); ok {
		consider(due)
	}
	consider(t.plan.wake)
	consider(t.retry.next(now))
	consider(t.wishes.next())
	consider(t.permit.retryAt)
	consider(t.freeing.retryAt)
	consider(t.leaseEnd())
	consider(t.settledAt())
	if !t.status.pending {
		consider(t.status.at)
	}
	return wake
}

// newOrderID returns a random order id.
func newOrderID() buckthorndyke.OrderID {
	return buckthorndyke.OrderID(uuid.NewString())
}
