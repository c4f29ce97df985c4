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
	serviceCallTime = 5 * buckthorndyke.Second
	// restartTime is the time until killed processes are started again.
	restartDelay = 5 * buckthorndyke.Second
	// stopTime is the time that requests run before a planned stop begins.
	preStopTime = 500 * buckthorndyke.Millisecond
)

// cell is one fault, or several, at one step.
type cell struct {
	// abrupt ends the process at the planned stop at once.
	killAtStop      bool
	checksFencingToken bool
	faults      []fault
	step        step
	// times is how often the step is triggered and the faults strike.
	times  int
	wiring tester.Wiring
}

// play runs a cell in a bubble of its own and returns what was not held.
func (c cell) run(t *testing.T) violations {
	var found violations
	synctest.Test(t, func(t *testing.T) {
		r := newRun(t, c.wiring, c.checksFencingToken)
		watched := r.startMonitor(t)
		found.require(r.injectFaults(c), guaranteeReached, "%s was not reached", c.step.name)
		r.recover()
		r.checkRecovered(&found, c.killAtStop)
		found = append(found, watched()...)
		r.checkRunners(&found)
		r.checkRequests(&found)
		r.checkServiceCalls(&found)
		r.checkRulesRaces(&found)
	})
	return found
}

// strike triggers the step, lets the faults strike and reports whether they did.
func (r *run) injectFaults(c cell) bool {
	struck := arm(r.ctx, r.observer, c.times, c.step.match, func(p decodedEvent) tester.Fault {
		var all tester.Fault
		for _, f := range c.faults {
			fault := f.start(r, p)
			all.Delay += fault.Delay
		}
		return all
	})
	for range c.times {
		c.step.trigger(r)
		r.sleep(repeatTime)
	}
	r.sendConcurrentRequests()
	select {
	case <-struck:
	case <-r.fleet.Clock.After(reachTime):
		return false
	}
	r.sleep(faultTime)
	return true
}

// recover ends the faults and waits until the fleet has settled.
func (r *run) recover() {
	r.observer.update(r.ctx, func(s *observerState) { s.remaining = 0 })
	r.clearFaults()
	r.sleep(restartDelay)
	r.restart()
	r.sleep(settleTime)
}

// startMonitor watches the fleet and returns a function that ends that and
// returns what was found.
func (r *run) startMonitor(t *testing.T) func() violations {
	ctx, cancel := context.WithCancel(t.Context())
	m := newMonitor()
	found := make(chan violations, 1)
	go m.run(ctx, r.fleet, found)
	seen := make(chan []activeRules, len(r.fleet.Nodes))
	for _, n := range r.fleet.Nodes {
		go watchRules(ctx, n, seen)
	}
	return func() violations {
		cancel()
		b := <-found
		for range r.fleet.Nodes {
			m.checkRules(&b, <-seen)
		}
		return b
	}
}

// checkRules checks that the rules in force on a VM were accepted ones, and that
// none was replaced by an older one.
func (m *monitor) checkRules(b *violations, seen []activeRules) {
	var newest buckthorndyke.Offset
	for _, s := range seen {
		b.require(s.version >= newest, guaranteeRules, "%s went back from %s to %s", s.vm, newest, s.version)
		newest = max(newest, s.version)
		text, ok := m.rulesTexts[s.version]
		b.require(s.version == buckthorndyke.NoOffset || ok && text == s.text, guaranteeRules,
			"%s has rules in force that were not accepted at %s", s.vm, s.version)
	}
}

// finish checks what a fleet must do that has recovered: take new rules, give a
// leaving backend server no work, and stop a process without cutting a request.
func (r *run) checkRecovered(b *violations, abrupt bool) {
	r.checkRulesChange(b)
	r.sendToAllNodes()
	r.checkLeaving(b)
	r.checkStop(abrupt)
}

// checkApply applies new rules and checks that they are in force in time.
func (r *run) checkRulesChange(b *violations) {
	begun := r.fleet.Clock.Now()
	base := r.fleet.State(0).RulesVersion
	text := r.rulesWith("gym memory-mb=8000 replicas=2")
	ctx, cancel := context.WithTimeout(r.ctx, (2 * rulesLimit).Duration())
	defer cancel()
	ruling, err := r.fleet.Nodes[0].Tree.Proposer().Propose(ctx,
		buckthorndyke.RulesChange{Base: base, Operator: "tester", Text: text})
	if err != nil || !ruling.Accepted {
		b.add(guaranteeRules, "after recovery the rules are refused: %v %s", err, ruling.Reason)
		return
	}
	for _, n := range r.fleet.Nodes {
		if !awaitRules(ctx, n, ruling.Offset) {
			b.add(guaranteeRules, "%s does not put version %s in force", n.Self.VM, ruling.Offset)
		}
	}
	took := r.fleet.Clock.Now() - begun
	b.require(took <= rulesLimit, guaranteeRules, "version %s was in force after %d ms", ruling.Offset, took)
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
func (r *run) sendToAllNodes() {
	for _, n := range r.fleet.Nodes {
		r.generate(r.ctx, n, tester.UrgentToken, model, guaranteeInTime)
		r.callService(r.ctx, n, r.fleet.NewKey(), guaranteeInTime)
	}
	r.sleep(firstTokenLimit + serviceCallTime)
}

// checkLeaving lets a runner and a service's VM leave and checks that they get
// no new work after a few seconds.
func (r *run) checkLeaving(b *violations) {
	var vms []buckthorndyke.VM
	leaving := map[string]bool{}
	for _, vm := range r.fleet.VMs {
		if vm.ID == buckthorndyke.VMID(r.runner) || vm.ID == "service-0" {
			vm.Leaving = true
			leaving[vm.Address] = true
		}
		vms = append(vms, vm)
	}
	_ = r.fleet.List.Set(r.ctx, vms)
	r.sleep(leavingLimit)
	since := r.fleet.Clock.Now()
	for i := range 2 * len(r.fleet.Nodes) {
		n := r.fleet.Nodes[i%len(r.fleet.Nodes)]
		r.generate(r.ctx, n, tester.OrdinaryToken, model, "")
		r.callService(r.ctx, n, "", "")
	}
	r.sleep(firstTokenLimit + serviceCallTime)
	for _, d := range get(r.ctx, r.observer, func(s *observerState) []delivery { return s.deliveries }) {
		b.require(d.at < since || !leaving[d.address], guaranteeLeaving,
			"%s got work %d ms after it was leaving", d.address, d.at-since+leavingLimit)
	}
	_ = r.fleet.List.Set(r.ctx, r.fleet.VMs)
	r.sleep(leavingLimit)
}

// checkStop stops a process as planned under requests, which must all be served.
func (r *run) checkStop(abrupt bool) {
	stopped := r.fleet.Nodes[len(r.fleet.Nodes)-1]
	for range 2 {
		for _, n := range r.fleet.Nodes {
			r.generate(r.ctx, n, tester.UrgentToken, model, guaranteeStop)
			r.callService(r.ctx, n, r.fleet.NewKey(), guaranteeStop)
		}
	}
	r.sleep(preStopTime)
	if abrupt {
		r.fleet.Kill(len(r.fleet.Nodes) - 1)
	} else {
		r.fleet.Drain(stopped)
	}
	for _, n := range r.fleet.Nodes[:len(r.fleet.Nodes)-1] {
		r.generate(r.ctx, n, tester.UrgentToken, "court", guaranteeStop)
	}
	r.sleep(firstTokenLimit + serviceCallTime)
}
