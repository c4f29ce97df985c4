package matrix_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/tester"
)

const (
	// serviceCallTime bounds a service call without a fault.
	serviceCallTime = 5 * buckthorndyke.Second
	// restartDelay is the time from the end of the faults to the restart of the killed
	// processes.
	restartDelay = 5 * buckthorndyke.Second
	// preStopTime is how long requests run before a planned stop begins.
	preStopTime = 500 * buckthorndyke.Millisecond
)

// cell is one or more faults at one step.
type cell struct {
	checksFencingToken bool
	faults             []fault
	// killAtStop kills the process instead of the planned stop.
	killAtStop bool
	step       step
	// times is how often the step is triggered and the faults are injected.
	times    int
	wrappers tester.Wrappers
}

// run runs the cell in a synctest bubble and returns the violations.
func (c cell) run(t *testing.T) violations {
	var found violations
	synctest.Test(t, func(t *testing.T) {
		r := newRun(t, c.wrappers, c.checksFencingToken)
		stopMonitor := r.startMonitor(t)
		found.require(r.injectFaults(c), guaranteeReached, "%s was not reached", c.step.name)
		r.recover()
		r.checkRecovered(&found, c.killAtStop)
		found = append(found, stopMonitor()...)
		r.checkRunners(&found)
		r.checkRequests(&found)
		r.checkServiceCalls(&found)
		r.checkRulesRaces(&found)
	})
	return found
}

// injectFaults triggers the step, injects the faults when it is reached, sends other
// requests meanwhile, and reports whether the step was reached in time.
func (r *run) injectFaults(c cell) bool {
	triggered := arm(r.ctx, r.observer, c.times, c.step.match, func(ev decodedEvent) tester.Fault {
		var all tester.Fault
		for _, f := range c.faults {
			fault := f.start(r, ev)
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
	case <-triggered:
	case <-r.fleet.Clock.After(reachTime):
		return false
	}
	r.sleep(faultTime)
	return true
}

// recover ends the faults, restarts killed processes and gives the fleet time to
// recover.
func (r *run) recover() {
	r.observer.update(r.ctx, func(s *observerState) { s.remaining = 0 })
	r.clearFaults()
	r.sleep(restartDelay)
	r.restart()
	r.sleep(settleTime)
}

// startMonitor starts the monitor of the fleet. The function that it returns stops
// the monitor and returns the violations.
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
		v := <-found
		for range r.fleet.Nodes {
			m.checkRules(&v, <-seen)
		}
		return v
	}
}

// checkRules checks that each version in force on a VM was accepted, and that none
// was replaced by an older one.
func (m *monitor) checkRules(v *violations, seen []activeRules) {
	var newest buckthorndyke.Offset
	for _, s := range seen {
		v.require(s.version >= newest, guaranteeRules, "%s went back from version %s to %s", s.vm, newest, s.version)
		newest = max(newest, s.version)
		text, ok := m.rulesTexts[s.version]
		v.require(s.version == buckthorndyke.NoOffset || ok && text == s.text, guaranteeRules,
			"%s has rules in force that differ from accepted version %s", s.vm, s.version)
	}
}

// checkRecovered checks a fleet after its recovery: new rules come into force,
// requests are served, a leaving backend server gets no work, and a planned stop
// fails no request.
func (r *run) checkRecovered(v *violations, killAtStop bool) {
	r.checkRulesChange(v)
	r.sendToAllNodes()
	r.checkLeaving(v)
	r.checkStop(killAtStop)
}

// checkRulesChange proposes new rules and checks that they are in force on all nodes
// within rulesLimit.
func (r *run) checkRulesChange(v *violations) {
	begun := r.fleet.Clock.Now()
	base := r.fleet.State(0).RulesVersion
	text := r.rulesWith("gym memory-mb=8000 replicas=2")
	ctx, cancel := context.WithTimeout(r.ctx, (2 * rulesLimit).Duration())
	defer cancel()
	result, err := r.fleet.Nodes[0].Tree.Proposer().Propose(ctx,
		buckthorndyke.RulesChange{Base: base, Operator: "tester", Text: text})
	if err != nil || !result.Accepted {
		v.add(guaranteeRules, "rules are rejected after recovery: %v %s", err, result.Reason)
		return
	}
	for _, n := range r.fleet.Nodes {
		if !awaitRules(ctx, n, result.Offset) {
			v.add(guaranteeRules, "%s has not put version %s in force", n.Self.VM, result.Offset)
		}
	}
	took := r.fleet.Clock.Now() - begun
	v.require(took <= rulesLimit, guaranteeRules, "version %s was in force only after %d ms", result.Offset, took)
}

// awaitRules waits until a version of the rules is in force on a node.
func awaitRules(ctx context.Context, n *tester.Node, version buckthorndyke.Offset) bool {
	updates := n.Tree.Follower().Subscribe(ctx)
	for {
		select {
		case u := <-updates:
			if u.State.RulesVersion >= version {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
}

// sendToAllNodes sends requests and service calls that must be served through each
// node. Their results are checked with all others.
func (r *run) sendToAllNodes() {
	for _, n := range r.fleet.Nodes {
		r.generate(r.ctx, n, tester.UrgentToken, model, guaranteeInTime)
		r.callService(r.ctx, n, r.fleet.NewKey(), guaranteeInTime)
	}
	r.sleep(firstTokenLimit + serviceCallTime)
}

// checkLeaving marks a runner and a VM of the service as leaving and checks that they
// receive no new work after leavingLimit.
func (r *run) checkLeaving(v *violations) {
	var vms []buckthorndyke.VM
	leaving := map[string]bool{}
	for _, vm := range r.fleet.VMs {
		if vm.ID == buckthorndyke.VMID(r.runner) || vm.ID == "service-0" {
			vm.Leaving = true
			leaving[vm.Address] = true
		}
		vms = append(vms, vm)
	}
	_ = r.fleet.VMList.Set(r.ctx, vms)
	r.sleep(leavingLimit)
	since := r.fleet.Clock.Now()
	for i := range 2 * len(r.fleet.Nodes) {
		n := r.fleet.Nodes[i%len(r.fleet.Nodes)]
		r.generate(r.ctx, n, tester.OrdinaryToken, model, "")
		r.callService(r.ctx, n, "", "")
	}
	r.sleep(firstTokenLimit + serviceCallTime)
	for _, d := range get(r.ctx, r.observer, func(s *observerState) []delivery { return s.deliveries }) {
		v.require(d.at < since || !leaving[d.address], guaranteeLeaving,
			"%s received work %d ms after it was marked as leaving", d.address, d.at-since+leavingLimit)
	}
	_ = r.fleet.VMList.Set(r.ctx, r.fleet.VMs)
	r.sleep(leavingLimit)
}

// checkStop performs a planned stop of a process while requests run, which must all be
// served.
func (r *run) checkStop(killAtStop bool) {
	stopped := r.fleet.Nodes[len(r.fleet.Nodes)-1]
	for range 2 {
		for _, n := range r.fleet.Nodes {
			r.generate(r.ctx, n, tester.UrgentToken, model, guaranteeStop)
			r.callService(r.ctx, n, r.fleet.NewKey(), guaranteeStop)
		}
	}
	r.sleep(preStopTime)
	if killAtStop {
		r.fleet.Kill(len(r.fleet.Nodes) - 1)
	} else {
		r.fleet.Drain(stopped)
	}
	for _, n := range r.fleet.Nodes[:len(r.fleet.Nodes)-1] {
		r.generate(r.ctx, n, tester.UrgentToken, "court", guaranteeStop)
	}
	r.sleep(firstTokenLimit + serviceCallTime)
}
