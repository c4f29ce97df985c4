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
	// tick is the time between two looks at what should be taken or renewed.
	tick = 250 * buckthorndyke.Millisecond
	// listInterval is the time between two reads of the VM list.
	listInterval = buckthorndyke.Second
	// listTimeout bounds one read of the VM list.
	listTimeout = 5 * buckthorndyke.Second
)

// task is the state of one run of an owner. Only its goroutine touches it.
type task struct {
	*Owner
	// balanceAt is the instant from which a runner may be handed over.
	balanceAt buckthorndyke.Millis
	// calm is set while nothing is to be taken, renewed or handed over until the
	// outlook changes.
	calm bool
	// ctx ends with the run.
	ctx      context.Context
	draining bool
	drains   []mailer.Reply[struct{}]
	holdings map[buckthorndyke.RunnerID]*holding
	// listAt is the instant of the next read of the VM list.
	listAt      buckthorndyke.Millis
	listPending bool
	outlook     outlook
	// promised holds the instants until which runners are left alone.
	promised map[buckthorndyke.RunnerID]buckthorndyke.Millis
	// started is the instant at which the run began. Promises of earlier runs
	// may hold for a lease after it.
	started  buckthorndyke.Millis
	stewards *suture.Supervisor
	takes    map[buckthorndyke.RunnerID]take
	// vms is the newest VM list.
	vms []buckthorndyke.VM
}

// newTask returns the state at the start of a run.
func newTask(o *Owner) *task {
	return &task{
		Owner:    o,
		holdings: make(map[buckthorndyke.RunnerID]*holding),
		outlook:  outlook{self: o.self},
		promised: make(map[buckthorndyke.RunnerID]buckthorndyke.Millis),
		started:  o.clock.Now(),
		takes:    make(map[buckthorndyke.RunnerID]take),
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
	progress, liveness := t.follower.Subscribe(ctx), t.reports.Subscribe(ctx)
	timer := t.clock.After(0)
	for {
		select {
		case <-ctx.Done():
			return errors.CombineErrors(ctx.Err(), <-done)
		case p := <-progress:
			t.calm = t.calm && p.State.Offset == t.outlook.progress.State.Offset && p.CaughtUp == t.outlook.progress.CaughtUp
			t.outlook.progress = p
			t.reconcile()
		case l := <-liveness:
			t.outlook.liveness = l
			t.calm = false
		case m := <-t.box.Receive():
			m.apply(t)
		case <-timer:
			t.tick(t.clock.Now())
			timer = t.clock.After(tick)
		}
	}
}

// isCalm reports whether the outlook calls for nothing, now or later.
func (t *task) isCalm(now buckthorndyke.Millis) bool {
	if t.outlook.progress.LogDown || t.taking() || t.outlook.liveness.Suspects.Len() > 0 || !t.outlook.mayClaim() {
		return false
	}
	for _, h := range t.holdings {
		have, _ := t.outlook.progress.State.OwnershipOf(h.runner)
		if h.quiescing || t.outlook.lacksSuccessors(have) {
			return false
		}
	}
	return len(t.outlook.claims(now)) == 0 && !t.outlook.isOverloaded()
}

// listVMs takes over the platform's VM list. After an error the last one stays.
func (t *task) listVMs(m vmsListed) {
	t.listPending = false
	if m.err != nil {
		return
	}
	if t.outlook.listed && slices.Equal(m.vms, t.vms) {
		return
	}
	t.vms = m.vms
	t.outlook = t.outlook.withVMs(m.vms)
	t.calm = false
	t.updateAll()
}

// readList reads the platform's VM list when it is time.
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

// reconcile starts and stops stewards by the newest state.
func (t *task) reconcile() {
	state := t.outlook.progress.State
	if m, ok := state.Members.Get(t.self.VM); ok && m.Incarnation == t.self.Incarnation && m.Leaving {
		t.startDrain()
	}
	for runner, h := range t.holdings {
		if have, _ := state.OwnershipOf(runner); !have.OwnedBy(t.self.VM, t.self.Incarnation) {
			t.stop(runner, h)
		}
	}
	for runner, have := range state.Ownerships.All() {
		if have.OwnedBy(t.self.VM, t.self.Incarnation) && t.holdings[runner] == nil {
			t.start(have)
		}
	}
	t.updateAll()
	t.finishDrain()
}

// stewardOf returns the steward of runner, or nil.
func (t *task) stewardOf(runner buckthorndyke.RunnerID) *steward.Steward {
	if h, ok := t.holdings[runner]; ok {
		return h.steward
	}
	return nil
}

// tick does what time calls for.
func (t *task) tick(now buckthorndyke.Millis) {
	t.readList(now)
	t.askPromises(now)
	if !t.draining && !t.calm {
		t.takeClaims(now)
		t.renewSuccessors(now)
		t.balance(now)
		t.calm = t.isCalm(now)
	}
	t.releaseQuiesced(now)
	t.releaseGone(now)
}

// updateAll tells the stewards what is known now.
func (t *task) updateAll() {
	for _, h := range t.holdings {
		h.steward.Update(t.viewOf(h))
	}
}
