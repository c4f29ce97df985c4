package matrix_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/standin"
	"github.com/buckthorndyke/buckthorndyke/supervisor"
	"github.com/buckthorndyke/buckthorndyke/supervisor/follower"
	"github.com/buckthorndyke/buckthorndyke/tester"
)

const (
	nodes   = 3
	runners = 3
	// model is the model of the request that a fault strikes.
	model buckthorndyke.ModelID = "hall"

	checkpointAge     = 40 * buckthorndyke.Second
	checkpointRecords = 24
	// faultTime is how long a lasting fault lasts. It is longer than a lease.
	faultTime = 20 * buckthorndyke.Second
	// reachTime bounds the time until a step is reached.
	reachTime = 90 * buckthorndyke.Second
	// repeatTime is the time between two triggers of a fault that strikes twice.
	repeatTime = 3 * buckthorndyke.Second
	// settleTime is the time that the fleet has to recover.
	settleTime    = 45 * buckthorndyke.Second
	tokenInterval = 200 * buckthorndyke.Millisecond
)

// run is one cell while it runs.
type run struct {
	ctx    context.Context
	entry  buckthorndyke.VMID
	f      *tester.Fleet
	ledger *actor[ledger]
	// leave lets the callers of the first requests go.
	leave  context.CancelFunc
	caller context.Context
	owner  buckthorndyke.VMID
	runner buckthorndyke.RunnerID
	watch  *actor[watch]
}

// newRun starts a fleet that serves.
func newRun(t *testing.T, wiring tester.Wrappers, checksFence bool) *run {
	r := &run{ctx: t.Context(), ledger: newActor(ledger{}), watch: newActor(newWatch())}
	r.caller, r.leave = context.WithCancel(r.ctx)
	standin.Start(r.ctx, r.ledger, r.watch)
	r.f = tester.NewFleet(t, tester.Config{
		Engine: standin.EngineConfig{ChecksFencingToken: checksFence, TokenInterval: tokenInterval},
		Nodes:  nodes, Observer: observe(r.ctx, r.watch), Runners: runners, Wrappers: wiring,
		Options: []supervisor.Option{
			supervisor.WithFollower(follower.WithCheckpoints(checkpointRecords, checkpointAge)),
		},
	})
	r.f.ApplyRules(tester.Rules)
	r.f.AwaitServing()
	state := r.f.State(0)
	placement, _ := state.Placements.Get(model)
	r.runner = placement.Permitted()[0]
	ownership, _ := state.OwnershipOf(r.runner)
	r.owner = ownership.Owner
	for _, n := range r.f.Nodes {
		if n.Self.VM != r.owner {
			r.entry = n.Self.VM
		}
	}
	return r
}

// apply proposes new rules through the entry VM and does not wait.
func (r *run) apply() { r.propose(r.unchanged, r.node(r.entry)) }

// changedRules returns the rules with another line for a model and a new limit.
func (r *run) changedRules(gym string) string {
	n := get(r.ctx, r.ledger, func(l *ledger) int {
		l.rules++
		return l.rules
	})
	text := strings.Replace(tester.Rules, "gym memory-mb=8000 replicas=2", gym, 1)
	return strings.ReplaceAll(text, "max-tokens=1024", fmt.Sprintf("max-tokens=%d", 1024+n))
}

// drainOwner begins a planned stop of the owner.
func (r *run) drainOwner() {
	r.request()
	n := r.node(r.owner)
	r.watch.tell(r.ctx, func(s *watch) { s.killed[r.owner] = true })
	n.Tree.Drain()
}

// engine returns the engine of the runner that holds the model.
func (r *run) engine() *standin.MemoryEngine { return r.f.Engines[r.runner] }

// heal ends all faults.
func (r *run) heal() {
	_ = r.f.Log.SetFaults(r.ctx, standin.LogFaults{})
	_ = r.f.WeightStore.SetFaults(r.ctx, standin.StoreFaults{})
	_ = r.f.VMList.Set(r.ctx, r.f.VMs)
	for _, e := range r.f.Engines {
		_ = e.SetFaults(r.ctx, standin.EngineFaults{})
	}
	r.f.SetNetworkRule(func(_, _ buckthorndyke.Self) tester.Fault { return tester.Fault{} })
	for _, n := range r.f.Nodes {
		n.Process.Resume()
	}
}

// kill ends the process on a VM. Only the watch calls it.
func (r *run) kill(vm buckthorndyke.VMID) tester.Fault {
	r.watch.state.killed[vm] = true
	for i, n := range r.f.Nodes {
		if n.Self.VM == vm {
			r.f.Kill(i)
		}
	}
	return tester.Fault{}
}

// killOwner ends the owner's process.
func (r *run) killOwner() {
	r.request()
	r.sleep(buckthorndyke.Second)
	r.watch.tell(r.ctx, func(*watch) { r.kill(r.owner) })
}

// lateToken delays the third token of the next answer. Only the watch calls it.
func (r *run) lateToken() {
	s := &r.watch.state
	s.left++
	match, strike := s.match, s.strike
	s.match = isToken(false)
	s.strike = func(point) tester.Fault {
		s.match, s.strike = match, strike
		return tester.Fault{Delay: answerDelay}
	}
}

// node returns the current life of a node.
func (r *run) node(vm buckthorndyke.VMID) *tester.Node {
	for _, n := range r.f.Nodes {
		if n.Self.VM == vm {
			return n
		}
	}
	return nil
}

// other returns the process that works with the one on vm.
func (r *run) other(vm buckthorndyke.VMID) buckthorndyke.VMID {
	if vm == r.entry {
		return r.owner
	}
	return r.entry
}

// pause stops the process on a VM until heal. Only the watch calls it.
func (r *run) pause(vm buckthorndyke.VMID) tester.Fault {
	r.watch.state.paused[vm] = true
	r.node(vm).Process.Pause()
	return tester.Fault{}
}

// race lets two operators change the same version of the rules.
func (r *run) race() {
	r.propose(r.unchanged, r.f.Nodes[0], r.f.Nodes[1])
}

// reclaim announces that a VM is reclaimed and stops its process as planned.
// Only the watch calls it.
func (r *run) reclaim(vm buckthorndyke.VMID) tester.Fault {
	r.watch.state.killed[vm] = true
	var vms []buckthorndyke.VM
	for _, v := range r.f.VMs {
		v.Leaving = v.Leaving || v.ID == vm
		vms = append(vms, v)
	}
	_ = r.f.VMList.Set(r.ctx, vms)
	r.node(vm).Tree.Drain()
	return tester.Fault{}
}

// reduce lowers the replicas of a model, so that a permission is withdrawn.
func (r *run) reduce() {
	r.generate(r.ctx, r.node(r.entry), tester.OrdinaryToken, "gym", "")
	r.propose(func() string { return r.changedRules("gym memory-mb=8000 replicas=1") }, r.node(r.entry))
}

// restart starts the processes again that have ended.
func (r *run) restart() {
	r.watch.tell(r.ctx, func(s *watch) {
		for i, n := range r.f.Nodes {
			if s.killed[n.Self.VM] {
				n.Process.Kill()
				r.f.Restart(i)
			}
		}
	})
}

// sleep lets time pass.
func (r *run) sleep(d buckthorndyke.Millis) {
	<-r.f.Clock.After(d)
}

// unchanged returns new rules that change no model.
func (r *run) unchanged() string { return r.changedRules("gym memory-mb=8000 replicas=2") }
