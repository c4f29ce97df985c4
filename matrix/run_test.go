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
	// model is the model of the request during which a fault is injected.
	model buckthorndyke.ModelID = "hall"

	checkpointAge     = 40 * buckthorndyke.Second
	checkpointRecords = 24
	// faultTime is how long lasting faults last. It is longer than a lease.
	faultTime = 20 * buckthorndyke.Second
	// reachTime bounds the time until a step is reached.
	reachTime = 90 * buckthorndyke.Second
	// repeatTime is the time between the triggers of a cell with more than one.
	repeatTime = 3 * buckthorndyke.Second
	// settleTime is the time in which the fleet must recover.
	settleTime    = 45 * buckthorndyke.Second
	tokenInterval = 200 * buckthorndyke.Millisecond
)

// run is the execution of one cell.
type run struct {
	callerCtx context.Context
	// cancelCaller ends callerCtx, the context of the requests that trigger steps.
	cancelCaller context.CancelFunc
	ctx          context.Context
	entry        buckthorndyke.VMID
	fleet        *tester.Fleet
	history      *actor[history]
	observer     *actor[observerState]
	owner        buckthorndyke.VMID
	runner       buckthorndyke.RunnerID
}

// newRun starts a fleet, waits until it serves, and picks the runner of model, the
// runner's owner, and another VM as the entry VM.
func newRun(t *testing.T, wrappers tester.Wrappers, checksFencingToken bool) *run {
	r := &run{ctx: t.Context(), history: newActor(history{}), observer: newActor(newObserverState())}
	r.callerCtx, r.cancelCaller = context.WithCancel(r.ctx)
	standin.Start(r.ctx, r.history, r.observer)
	r.fleet = tester.NewFleet(t, tester.Config{
		Engine: standin.EngineConfig{ChecksFencingToken: checksFencingToken, TokenInterval: tokenInterval},
		Nodes:  nodes, Observer: observe(r.ctx, r.observer), Runners: runners, Wrappers: wrappers,
		Options: []supervisor.Option{
			supervisor.WithFollower(follower.WithCheckpoints(checkpointRecords, checkpointAge)),
		},
	})
	r.fleet.ApplyRules(tester.Rules)
	r.fleet.AwaitServing()
	state := r.fleet.State(0)
	placement, _ := state.Placements.Get(model)
	r.runner = placement.Permitted()[0]
	ownership, _ := state.OwnershipOf(r.runner)
	r.owner = ownership.Owner
	for _, n := range r.fleet.Nodes {
		if n.Self.VM != r.owner {
			r.entry = n.Self.VM
		}
	}
	return r
}

// clearFaults ends all faults and resumes paused processes.
func (r *run) clearFaults() {
	_ = r.fleet.Log.SetFaults(r.ctx, standin.LogFaults{})
	_ = r.fleet.WeightStore.SetFaults(r.ctx, standin.StoreFaults{})
	_ = r.fleet.VMList.Set(r.ctx, r.fleet.VMs)
	for _, e := range r.fleet.Engines {
		_ = e.SetFaults(r.ctx, standin.EngineFaults{})
	}
	r.fleet.SetNetworkRule(func(_, _ buckthorndyke.Self) tester.Fault { return tester.Fault{} })
	for _, n := range r.fleet.Nodes {
		n.Process.Resume()
	}
}

// counterpart returns the owner if vm is the entry VM, else the entry VM.
func (r *run) counterpart(vm buckthorndyke.VMID) buckthorndyke.VMID {
	if vm == r.entry {
		return r.owner
	}
	return r.entry
}

// delayToken delays the third token of the next response. Only the observer's task may
// call it.
func (r *run) delayToken() {
	s := &r.observer.state
	s.remaining++
	match, inject := s.match, s.inject
	s.match = isToken(false)
	s.inject = func(decodedEvent) tester.Fault {
		s.match, s.inject = match, inject
		return tester.Fault{Delay: tokenDelay}
	}
}

// drainOwner sends a request and begins a planned stop of the owner.
func (r *run) drainOwner() {
	r.request()
	n := r.node(r.owner)
	r.observer.update(r.ctx, func(s *observerState) { s.killed[r.owner] = true })
	n.Tree.Drain()
}

// engine returns the engine of the runner that may load the model.
func (r *run) engine() *standin.MemoryEngine { return r.fleet.Engines[r.runner] }

// equivalentRules returns new rules that change no model's settings.
func (r *run) equivalentRules() string { return r.rulesWith("gym memory-mb=8000 replicas=2") }

// kill kills the process on a VM. Only the observer's task may call it.
func (r *run) kill(vm buckthorndyke.VMID) tester.Fault {
	r.observer.state.killed[vm] = true
	for i, n := range r.fleet.Nodes {
		if n.Self.VM == vm {
			r.fleet.Kill(i)
		}
	}
	return tester.Fault{}
}

// killOwner sends a request and kills the owner's process a second later.
func (r *run) killOwner() {
	r.request()
	r.sleep(buckthorndyke.Second)
	r.observer.update(r.ctx, func(*observerState) { r.kill(r.owner) })
}

// node returns the current incarnation of the node on a VM, or nil.
func (r *run) node(vm buckthorndyke.VMID) *tester.Node {
	for _, n := range r.fleet.Nodes {
		if n.Self.VM == vm {
			return n
		}
	}
	return nil
}

// pause pauses the process on a VM until clearFaults. Only the observer's task may call
// it.
func (r *run) pause(vm buckthorndyke.VMID) tester.Fault {
	r.observer.state.paused[vm] = true
	r.node(vm).Process.Pause()
	return tester.Fault{}
}

// proposeEquivalentRules proposes equivalentRules through the entry VM and does not
// wait.
func (r *run) proposeEquivalentRules() { r.propose(r.equivalentRules, r.node(r.entry)) }

// raceRulesChanges proposes two concurrent changes of the same rules version.
func (r *run) raceRulesChanges() {
	r.propose(r.equivalentRules, r.fleet.Nodes[0], r.fleet.Nodes[1])
}

// reclaim marks a VM as leaving and begins a planned stop of its process. Only the
// observer's task may call it.
func (r *run) reclaim(vm buckthorndyke.VMID) tester.Fault {
	r.observer.state.killed[vm] = true
	var vms []buckthorndyke.VM
	for _, v := range r.fleet.VMs {
		v.Leaving = v.Leaving || v.ID == vm
		vms = append(vms, v)
	}
	_ = r.fleet.VMList.Set(r.ctx, vms)
	r.node(vm).Tree.Drain()
	return tester.Fault{}
}

// reduceReplicas lowers the replicas of a model, so that a permission is withdrawn.
func (r *run) reduceReplicas() {
	r.generate(r.ctx, r.node(r.entry), tester.OrdinaryToken, "gym", "")
	r.propose(func() string { return r.rulesWith("gym memory-mb=8000 replicas=1") }, r.node(r.entry))
}

// restart restarts the processes that were killed or stopped.
func (r *run) restart() {
	r.observer.update(r.ctx, func(s *observerState) {
		for i, n := range r.fleet.Nodes {
			if s.killed[n.Self.VM] {
				n.Process.Kill()
				r.fleet.Restart(i)
			}
		}
	})
}

// rulesWith returns tester.Rules with gym as the settings of the model gym, and with a
// max-tokens limit that makes the text unique.
func (r *run) rulesWith(gym string) string {
	n := get(r.ctx, r.history, func(h *history) int {
		h.ruleVariants++
		return h.ruleVariants
	})
	text := strings.Replace(tester.Rules, "gym memory-mb=8000 replicas=2", gym, 1)
	return strings.ReplaceAll(text, "max-tokens=1024", fmt.Sprintf("max-tokens=%d", 1024+n))
}

// sleep waits for d on the fleet's clock.
func (r *run) sleep(d buckthorndyke.Millis) {
	<-r.fleet.Clock.After(d)
}
