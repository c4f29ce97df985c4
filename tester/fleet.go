package tester

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/arbiter"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/encoder"
	"github.com/buckthorndyke/buckthorndyke/parser"
	"github.com/buckthorndyke/buckthorndyke/standin"
	"github.com/buckthorndyke/buckthorndyke/supervisor"
	"github.com/buckthorndyke/buckthorndyke/supervisor/owner"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

const (
	// domainCount is the number of failure domains over which VMs are spread.
	domainCount = 3
	// Service is the plain service whose backend servers run in each failure domain.
	Service buckthorndyke.ServiceID = "bookings"
)

// Config configures a fleet. Nodes is the number of entry VMs and Runners the number
// of runners.
type Config struct {
	// Engine configures all runners.
	Engine standin.EngineConfig
	Nodes  int
	// Observer is called for the call events of all processes, unless it is nil.
	Observer Observer
	Options  []supervisor.Option
	Runners  int
	Wrappers Wrappers
}

// Fleet is a set of entry VMs that share one set of fakes.
type Fleet struct {
	Clock       buckthorndyke.Clock
	Engines     map[buckthorndyke.RunnerID]*standin.MemoryEngine
	Log         *standin.MemoryLog
	Nodes       []*Node
	Service     *standin.MemoryService
	VMList      *standin.MemoryVMList
	VMs         []buckthorndyke.VM
	WeightStore *standin.MemoryWeightStore

	cfg             Config
	ctx             context.Context
	engines         standin.MemoryEngines
	lastIncarnation buckthorndyke.Incarnation
	network         *network
	t               testing.TB
}

// Node is one incarnation of an entry VM of a fleet.
type Node struct {
	Process *Process
	Self    buckthorndyke.Self
	Tree    *supervisor.Tree

	done     chan struct{}
	listener *listener
	stop     context.CancelFunc
}

// NewFleet starts a fleet in the current synctest bubble. It runs until the end of
// the test.
func NewFleet(t testing.TB, cfg Config) *Fleet {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	clock := timekeeper.NewRealClock()
	f := &Fleet{
		Clock: clock, Engines: map[buckthorndyke.RunnerID]*standin.MemoryEngine{},
		Log: standin.NewMemoryLog(clock), Service: standin.NewMemoryService(clock),
		WeightStore: standin.NewMemoryWeightStore(clock),
		cfg:         cfg, ctx: ctx, network: newNetwork(), t: t,
	}
	f.addRunners()
	for i := range domainCount {
		f.VMs = append(f.VMs, buckthorndyke.VM{
			Address: fmt.Sprintf("service-%d", i), Domain: domain(i),
			ID: buckthorndyke.VMID(fmt.Sprintf("service-%d", i)), Role: buckthorndyke.RoleService, Service: Service,
		})
	}
	for i := range cfg.Nodes {
		vm := entryVMID(i)
		f.VMs = append(f.VMs, buckthorndyke.VM{
			Address: address(vm), Domain: domain(i), ID: vm, Role: buckthorndyke.RoleEntry,
		})
	}
	f.VMList = standin.NewMemoryVMList(clock, standin.WithVMs(f.VMs...))
	standin.Start(ctx, f.Log, f.Service, f.WeightStore, f.VMList, f.network)
	for i := range cfg.Nodes {
		f.Nodes = append(f.Nodes, f.start(i))
	}
	t.Cleanup(func() { f.close(cancel) })
	return f
}

// ApplyRules proposes rules through node 0 and waits until all nodes have applied
// them. It fails the test if they are rejected.
func (f *Fleet) ApplyRules(text string) {
	f.t.Helper()
	base := f.State(0).RulesVersion
	result, err := f.Nodes[0].Tree.Proposer().Propose(f.ctx, buckthorndyke.RulesChange{Base: base, Operator: "tester", Text: text})
	asserter.NoError(f.t, err)
	asserter.True(f.t, result.Accepted, "the rules were rejected: "+result.Reason)
	for i := range f.Nodes {
		f.Await(i, func(u buckthorndyke.StateUpdate) bool { return u.State.RulesVersion >= result.Offset })
	}
}

// Await waits until a state update of a node satisfies ok, and returns it. It fails
// the test after 2 minutes.
func (f *Fleet) Await(node int, ok func(buckthorndyke.StateUpdate) bool) buckthorndyke.StateUpdate {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.ctx, (2 * buckthorndyke.Minute).Duration())
	defer cancel()
	updates := f.Nodes[node].Tree.Follower().Subscribe(ctx)
	for {
		select {
		case u := <-updates:
			if ok(u) {
				return u
			}
		case <-ctx.Done():
			f.t.Fatalf("node %d did not reach the expected state", node)
		}
	}
}

// AwaitExit waits until a node's process has ended on its own.
func (f *Fleet) AwaitExit(node int) {
	<-f.Nodes[node].done
}

// AwaitServing waits until all nodes are caught up, all runners have owners and all
// models have placements.
func (f *Fleet) AwaitServing() {
	f.t.Helper()
	for i := range f.Nodes {
		f.Await(i, func(u buckthorndyke.StateUpdate) bool {
			return u.CaughtUp && f.owned(u.State) && f.placed(u.State)
		})
	}
}

// Drain makes a node's process start a planned stop.
func (f *Fleet) Drain(n *Node) { n.Tree.Drain() }

// Kill ends a node's process immediately.
func (f *Fleet) Kill(node int) {
	f.Nodes[node].Process.Kill()
	f.Nodes[node].stop()
}

// Reclaim marks a node's VM on the VM list as leaving, as the platform does before it
// reclaims the VM.
func (f *Fleet) Reclaim(node int) {
	f.t.Helper()
	for i := range f.VMs {
		if f.VMs[i].ID == f.Nodes[node].Self.VM {
			f.VMs[i].Leaving = true
		}
	}
	asserter.NoError(f.t, f.VMList.Set(f.ctx, slices.Clone(f.VMs)))
}

// Restart starts the next incarnation of a node whose process has ended.
func (f *Fleet) Restart(node int) {
	f.Nodes[node] = f.start(node)
}

// SetNetworkRule replaces the rule that decides on faults of messages between nodes.
func (f *Fleet) SetNetworkRule(rule NetworkRule) {
	f.network.set(f.ctx, rule)
}

// State waits until a node is caught up and returns its state.
func (f *Fleet) State(node int) buckthorndyke.State {
	f.t.Helper()
	return f.Await(node, func(u buckthorndyke.StateUpdate) bool { return u.CaughtUp }).State
}

// Stop makes a node's process start a planned stop and waits until it has ended.
func (f *Fleet) Stop(node int) {
	f.Nodes[node].stop()
	<-f.Nodes[node].done
}

// addRunners starts the runners' engines and adds the runners to the VM list.
func (f *Fleet) addRunners() {
	for i := range f.cfg.Runners {
		runner := buckthorndyke.RunnerID(fmt.Sprintf("runner-%d", i))
		engine := standin.NewMemoryEngine(f.Clock, f.WeightStore, f.cfg.Engine)
		standin.Start(f.ctx, engine)
		f.Engines[runner] = engine
		f.engines = f.engines.With(address(runner), f.wrappedEngine(runner, engine))
		f.VMs = append(f.VMs, buckthorndyke.VM{
			Address: address(runner), Domain: domain(i), ID: buckthorndyke.VMID(runner), Role: buckthorndyke.RoleRunner,
		})
	}
}

// close kills all processes, stops the fakes and waits until all processes have
// ended.
func (f *Fleet) close(cancel context.CancelFunc) {
	for i := range f.Nodes {
		f.Kill(i)
	}
	cancel()
	for _, n := range f.Nodes {
		<-n.done
	}
}

// nodeAt returns the node whose process listens for peers on an address, or nil.
func (f *Fleet) nodeAt(address string) *Node {
	return f.network.node(f.ctx, address)
}

// owned reports whether the owner of each runner is a member.
func (f *Fleet) owned(s buckthorndyke.State) bool {
	for runner := range f.Engines {
		o, _ := s.OwnershipOf(runner)
		if !s.Members.Has(o.Owner) {
			return false
		}
	}
	return true
}

// placed reports whether each model has a permit on at least one runner.
func (f *Fleet) placed(s buckthorndyke.State) bool {
	for id, rule := range s.Rules.Models.All() {
		placement, _ := s.Placements.Get(id)
		if !rule.IsAdapter() && len(placement.Permitted()) == 0 {
			return false
		}
	}
	return true
}

// start starts a new incarnation of the node with index i.
func (f *Fleet) start(i int) *Node {
	f.lastIncarnation++
	vm := entryVMID(i)
	n := &Node{
		Process: newProcess(f.ctx, f.Clock, vm, f.cfg.Observer),
		Self:    buckthorndyke.Self{Domain: domain(i), Incarnation: f.lastIncarnation, PeerAddress: address(vm), VM: vm},
		done:    make(chan struct{}), listener: newListener(),
	}
	rules := parser.NewRules()
	checksFencingToken := func(buckthorndyke.RunnerID) bool { return f.cfg.Engine.ChecksFencingToken }
	options := append([]supervisor.Option{
		supervisor.WithOwner(owner.WithFencingTokenChecks(checksFencingToken)),
	}, f.cfg.Options...)
	n.Tree = supervisor.New(n.Self, supervisor.Platform{
		Engines: &processEngines{engines: f.engines, process: n.Process},
		Log:     &processLog{log: f.log(vm), process: n.Process},
		Peers:   &processPeers{fleet: f, from: n},
		Service: &processService{process: n.Process, service: f.service()},
		VMList:  &processVMList{list: f.list(), process: n.Process},
	}, arbiter.New(rules, arbiter.WithDiff(parser.Diff)), encoder.NewProto(rules), f.Clock, options...)
	n.Tree.AddFront(n.listener)
	f.network.add(f.ctx, n)
	ctx, stop := context.WithCancel(context.WithoutCancel(f.ctx))
	n.stop = stop
	go func() {
		defer close(n.done)
		_ = n.Tree.Serve(ctx)
	}()
	return n
}

func address[ID ~string](id ID) string { return "at-" + string(id) }

func domain(i int) buckthorndyke.DomainID {
	return buckthorndyke.DomainID(string(rune('a' + i%domainCount)))
}

func entryVMID(i int) buckthorndyke.VMID {
	return buckthorndyke.VMID(fmt.Sprintf("entry-%d", i))
}
