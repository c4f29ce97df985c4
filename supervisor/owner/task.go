package owner

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/thejerf/suture/v4"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/supervisor/owner/steward"
)

const (
	// tickInterval is the time between two checks of what should be taken, renewed or
	// released.
	tickInterval = 250 * buckthorndyke.Millisecond
	// listInterval is the time between two reads of the VM list.
	listInterval = buckthorndyke.Second
	// listTimeout limits one read of the VM list.
	listTimeout = 5 * buckthorndyke.Second
)

// task is the state of one run of an owner. Only its goroutine accesses it.
type task struct {
	*Owner
	// balanceAt is the earliest time of the next handover that balances runners.
	balanceAt buckthorndyke.Millis
	// converged is set while nothing has to be taken, renewed or handed over until
	// fleet changes.
	converged bool
	// ctx ends with the run.
	ctx          context.Context
	draining     bool
	drainReplies []mailer.Reply[struct{}]
	fleet        fleetView
	// listAt is the time of the next read of the VM list.
	listAt      buckthorndyke.Millis
	listPending bool
	owned       map[buckthorndyke.RunnerID]*ownedRunner
	// ownPromises holds the times until which this VM has promised not to take over
	// runners.
	ownPromises map[buckthorndyke.RunnerID]buckthorndyke.Millis
	// startedAt is the time at which the run began. Promises of earlier runs may hold
	// for one lease after it.
	startedAt buckthorndyke.Millis
	stewards  *suture.Supervisor
	takes     map[buckthorndyke.RunnerID]takeProposal
	// vms is the newest VM list.
	vms []buckthorndyke.VM
}

// newTask returns the state at the start of a run.
func newTask(o *Owner) *task {
	return &task{
		Owner:       o,
		fleet:       fleetView{self: o.self},
		owned:       make(map[buckthorndyke.RunnerID]*ownedRunner),
		ownPromises: make(map[buckthorndyke.RunnerID]buckthorndyke.Millis),
		startedAt:   o.clock.Now(),
		takes:       make(map[buckthorndyke.RunnerID]takeProposal),
	}
}

// run handles messages until ctx ends.
func (t *task) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t.ctx = ctx
	defer t.stopAll()
	t.stewards = suture.New("stewards", suture.Spec{EventHook: t.eventHook})
	done := t.stewards.ServeBackground(ctx)
	updates, liveness := t.follower.Subscribe(ctx), t.livenessReporter.Subscribe(ctx)
	timer := t.clock.After(0)
	for {
		select {
		case <-ctx.Done():
			return errors.CombineErrors(ctx.Err(), <-done)
		case u := <-updates:
			t.converged = t.converged && u.State.Offset == t.fleet.update.State.Offset && u.CaughtUp == t.fleet.update.CaughtUp
			t.fleet.update = u
			t.reconcile()
		case l := <-liveness:
			t.fleet.liveness = l
			t.converged = false
		case m := <-t.box.Receive():
			m.apply(t)
		case <-timer:
			t.tick(t.clock.Now())
			timer = t.clock.After(tickInterval)
		}
	}
}

// isConverged reports whether nothing has to be done, now or later, as long as
// fleet does not change.
func (t *task) isConverged(now buckthorndyke.Millis) bool {
	if t.fleet.update.LogDown || t.taking() || t.fleet.liveness.Suspects.Len() > 0 || !t.fleet.mayOwn() {
		return false
	}
	for _, r := range t.owned {
		ownership, _ := t.fleet.update.State.OwnershipOf(r.runner)
		if r.quiescing || t.fleet.lacksSuccessors(ownership) {
			return false
		}
	}
	return len(t.fleet.runnersToTake(now)) == 0 && !t.fleet.shouldHandOver()
}

// listVMs applies a new VM list. After an error the last list stays in use.
func (t *task) listVMs(m vmsListed) {
	t.listPending = false
	if m.err != nil {
		return
	}
	if t.fleet.vmListRead && slices.Equal(m.vms, t.vms) {
		return
	}
	t.vms = m.vms
	t.fleet = t.fleet.withVMs(m.vms)
	t.converged = false
	t.updateAll()
}

// readList starts a read of the platform's VM list when one is due.
func (t *task) readList(now buckthorndyke.Millis) {
	if t.listPending || now < t.listAt {
		return
	}
	t.listPending = true
	t.listAt = now + listInterval
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, listTimeout.Duration())
		defer cancel()
		vms, err := t.vmlist.List(ctx)
		t.post(vmsListed{err: err, vms: vms})
	}()
}

// reconcile starts and stops stewards according to the newest state.
func (t *task) reconcile() {
	state := t.fleet.update.State
	if m, ok := state.Members.Get(t.self.VM); ok && m.Incarnation == t.self.Incarnation && m.Leaving {
		t.startDrain()
	}
	for runner, r := range t.owned {
		if ownership, _ := state.OwnershipOf(runner); !ownership.OwnedBy(t.self.VM, t.self.Incarnation) {
			t.stop(runner, r)
		}
	}
	for runner, ownership := range state.Ownerships.All() {
		if ownership.OwnedBy(t.self.VM, t.self.Incarnation) && t.owned[runner] == nil {
			t.start(ownership)
		}
	}
	t.updateAll()
	t.finishDrain()
}

// stewardOf returns the steward of runner, or nil.
func (t *task) stewardOf(runner buckthorndyke.RunnerID) *steward.Steward {
	if r, ok := t.owned[runner]; ok {
		return r.steward
	}
	return nil
}

// tick does the periodic work.
func (t *task) tick(now buckthorndyke.Millis) {
	t.readList(now)
	t.askPromises(now)
	if !t.draining && !t.converged {
		t.takeRunners(now)
		t.renewSuccessors(now)
		t.balance(now)
		t.converged = t.isConverged(now)
	}
	t.releaseQuiesced(now)
	t.releaseGone(now)
}

// updateAll sends each steward its current view.
func (t *task) updateAll() {
	for _, r := range t.owned {
		r.steward.Update(t.viewOf(r))
	}
}
