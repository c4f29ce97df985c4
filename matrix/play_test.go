package matrix_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/tester"
)

const (
	// callTime is the time that bookings without a fault have.
	callTime = 5 * buckthorndyke.Second
	// restartTime is the time until killed processes are started again.
	restartTime = 5 * buckthorndyke.Second
	// stopTime is the time that requests run before a planned stop begins.
	stopTime = 500 * buckthorndyke.Millisecond
)

// cell is one fault, or several, at one step.
type cell struct {
	// abrupt ends the process at the planned stop at once.
	abrupt      bool
	checksFence bool
	faults      []fault
	step        step
	// times is how often the step is triggered and the faults strike.
	times  int
	wiring tester.Wrappers
}

// play runs a cell in a bubble of its own and returns what was not held.
func (c cell) play(t *testing.T) breaches {
	var found breaches
	synctest.Test(t, func(t *testing.T) {
		r := newRun(t, c.wiring, c.checksFence)
		watched := r.startMonitor(t)
		found.require(r.strike(c), promiseReached, "%s was not reached", c.step.name)
		r.recover()
		r.finish(&found, c.abrupt)
		found = append(found, watched()...)
		r.checkRunners(&found)
		r.checkRequests(&found)
		r.checkBookings(&found)
		r.checkApplies(&found)
	})
	return found
}

// strike triggers the step, lets the faults strike and reports whether they did.
func (r *run) strike(c cell) bool {
	struck := arm(r.ctx, r.watch, c.times, c.step.match, func(p point) tester.Fault {
		var all tester.Fault
		for _, f := range c.faults {
			fault := f.strike(r, p)
			all.Delay += fault.Delay
		}
		return all
	})
	for range c.times {
		c.step.trigger(r)
		r.sleep(repeatTime)
	}
	r.others()
	select {
	case <-struck:
	case <-r.f.Clock.After(reachTime):
		return false
	}
	r.sleep(faultTime)
	return true
}

// recover ends the faults and waits until the fleet has settled.
func (r *run) recover() {
	r.watch.tell(r.ctx, func(s *watch) { s.left = 0 })
	r.heal()
	r.sleep(restartTime)
	r.restart()
	r.sleep(settleTime)
}

// startMonitor watches the fleet and returns a function that ends that and
// returns what was found.
func (r *run) startMonitor(t *testing.T) func() breaches {
	ctx, cancel := context.WithCancel(t.Context())
	m := newMonitor()
	found := make(chan breaches, 1)
	go m.watch(ctx, r.f, found)
	seen := make(chan []rulesSeen, len(r.f.Nodes))
	for _, n := range r.f.Nodes {
		go watchRules(ctx, n, seen)
	}
	return func() breaches {
		cancel()
		b := <-found
		for range r.f.Nodes {
			m.checkRules(&b, <-seen)
		}
		return b
	}
}

// checkRules checks that the rules in force on a VM were accepted ones, and that
// none was replaced by an older one.
func (m *monitor) checkRules(b *breaches, seen []rulesSeen) {
	var newest buckthorndyke.Offset
	for _, s := range seen {
		b.require(s.version >= newest, promiseRules, "%s went back from %s to %s", s.vm, newest, s.version)
		newest = max(newest, s.version)
		text, ok := m.texts[s.version]
		b.require(s.version == buckthorndyke.NoOffset || ok && text == s.text, promiseRules,
			"%s has rules in force that were not accepted at %s", s.vm, s.version)
	}
}

// finish checks what a fleet must do that has recovered: take new rules, give a
// leaving backend server no work, and stop a process without cutting a request.
func (r *run) finish(b *breaches, abrupt bool) {
	r.checkApply(b)
	r.checkService()
	r.checkLeaving(b)
	r.checkStop(abrupt)
}

// checkApply applies new rules and checks that they are in force in time.
func (r *run) checkApply(b *breaches) {
	begun := r.f.Clock.Now()
	base := r.f.State(0).RulesVersion
	text := r.changedRules("gym memory-mb=8000 replicas=2")
	ctx, cancel := context.WithTimeout(r.ctx, (2 * rulesLimit).Duration())
	defer cancel()
	ruling, err := r.f.Nodes[0].Tree.Proposer().Propose(ctx,
		buckthorndyke.RulesChange{Base: base, Operator: "tester", Text: text})
	if err != nil || !ruling.Accepted {
		b.add(promiseRules, "after recovery the rules are refused: %v %s", err, ruling.Reason)
		return
	}
	for _, n := range r.f.Nodes {
		if !awaitRules(ctx, n, ruling.Offset) {
			b.add(promiseRules, "%s does not put version %s in force", n.Self.VM, ruling.Offset)
		}
	}
	took := r.f.Clock.Now() - begun
	b.require(took <= rulesLimit, promiseRules, "version %s was in force after %d ms", ruling.Offset, took)
}

// awaitRules waits until a version of the rules is in force on a node.
func awaitRules(ctx context.Context, n *tester.Node, version buckthorndyke.Offset) bool {
	progress := n.Tree.Follower().Subscribe(ctx)
	for {
		select {
		case p := <-progress:
			if p.State.RulesVersion >= version {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
}

// checkService checks that the fleet serves again through all nodes.
func (r *run) checkService() {
	for _, n := range r.f.Nodes {
		r.generate(r.ctx, n, tester.UrgentToken, model, promiseInTime)
		r.call(r.ctx, n, r.f.NewKey(), promiseInTime)
	}
	r.sleep(firstTokenLimit + callTime)
}

// checkLeaving lets a runner and a service's VM leave and checks that they get
// no new work after a few seconds.
func (r *run) checkLeaving(b *breaches) {
	var vms []buckthorndyke.VM
	leaving := map[string]bool{}
	for _, vm := range r.f.VMs {
		if vm.ID == buckthorndyke.VMID(r.runner) || vm.ID == "service-0" {
			vm.Leaving = true
			leaving[vm.Address] = true
		}
		vms = append(vms, vm)
	}
	_ = r.f.VMList.Set(r.ctx, vms)
	r.sleep(leavingLimit)
	since := r.f.Clock.Now()
	for i := range 2 * len(r.f.Nodes) {
		n := r.f.Nodes[i%len(r.f.Nodes)]
		r.generate(r.ctx, n, tester.OrdinaryToken, model, "")
		r.call(r.ctx, n, "", "")
	}
	r.sleep(firstTokenLimit + callTime)
	for _, d := range get(r.ctx, r.watch, func(s *watch) []delivery { return s.deliveries }) {
		b.require(d.at < since || !leaving[d.address], promiseLeaving,
			"%s got work %d ms after it was leaving", d.address, d.at-since+leavingLimit)
	}
	_ = r.f.VMList.Set(r.ctx, r.f.VMs)
	r.sleep(leavingLimit)
}

// checkStop stops a process as planned under requests, which must all be served.
func (r *run) checkStop(abrupt bool) {
	stopped := r.f.Nodes[len(r.f.Nodes)-1]
	for range 2 {
		for _, n := range r.f.Nodes {
			r.generate(r.ctx, n, tester.UrgentToken, model, promiseStop)
			r.call(r.ctx, n, r.f.NewKey(), promiseStop)
		}
	}
	r.sleep(stopTime)
	if abrupt {
		r.f.Kill(len(r.f.Nodes) - 1)
	} else {
		r.f.Drain(stopped)
	}
	for _, n := range r.f.Nodes[:len(r.f.Nodes)-1] {
		r.generate(r.ctx, n, tester.UrgentToken, "court", promiseStop)
	}
	r.sleep(firstTokenLimit + callTime)
}
