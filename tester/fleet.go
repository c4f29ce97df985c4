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
	// domains is the number of failure domains.
	domains = 3
	// Service is the plain service of the fleet.
	Service buckthorndyke.ServiceID = "bookings"
)

// Config says what a fleet has.
type Config struct {
	// Engine configures all runners.
	Engine standin.EngineConfig
	Nodes  int
	// Observer is shown the calls of all processes, unless it is nil.
	Observer Observer
	Options  []supervisor.Option
	Runners  int
	Wiring   Wiring
}

// Fleet is several entry VMs over one set of stand-ins.
type Fleet struct {
	Clock   buckthorndyke.Clock
	Engines map[buckthorndyke.RunnerID]*standin.MemoryEngine
	List    *standin.MemoryVMList
	Log     *standin.MemoryLog
	Nodes   []*Node
	Service *standin.MemoryService
	Store   *standin.MemoryWeightStore
	VMs     []buckthorndyke.VM

	cfg     Config
	ctx     context.Context
	engines standin.MemoryEngines
	network *network
	starts  buckthorndyke.Incarnation
	t       testing.TB
}

// Node is one entry VM of a fleet.
type Node struct {
	Link *Link
	Self buckthorndyke.Self
	Tree *supervisor.Tree

	done  chan struct{}
	front *front
	stop  context.CancelFunc
}

// NewFleet starts a fleet in the current bubble. It runs until the test's
// context ends.
func NewFleet(t testing.TB, cfg Config) *Fleet {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	clock := timekeeper.NewRealClock()
	f := &Fleet{
		Clock: clock, Engines: map[buckthorndyke.RunnerID]*standin.MemoryEngine{},
		Log: standin.NewMemoryLog(clock), Service: standin.NewMemoryService(clock),
		Store: standin.NewMemoryWeightStore(clock),
		cfg:   cfg, ctx: ctx, network: newNetwork(), t: t,
	}
	f.addRunners()
	for i := range domains {
		f.VMs = append(f.VMs, buckthorndyke.VM{
			Address: fmt.Sprintf("service-%d", i), Domain: domain(i),
			ID: buckthorndyke.VMID(fmt.Sprintf("service-%d", i)), Role: buckthorndyke.RoleService, Service: Service,
		})
	}
	for i := range cfg.Nodes {
		vm := vmOf(i)
		f.VMs = append(f.VMs, buckthorndyke.VM{
			Address: address(vm), Domain: domain(i), ID: vm, Role: buckthorndyke.RoleEntry,
		})
	}
	f.List = standin.NewMemoryVMList(clock, standin.WithVMs(f.VMs...))
	standin.Start(ctx, f.Log, f.Service, f.Store, f.List, f.network)
	for i := range cfg.Nodes {
		f.Nodes = append(f.Nodes, f.start(i))
	}
	t.Cleanup(func() { f.close(cancel) })
	return f
}

// Apply proposes rules at the first node that takes them, and waits until all
// nodes that run have them in force.
func (f *Fleet) Apply(text string) {
	f.t.Helper()
	base := f.State(0).RulesVersion
	ruling, err := f.Nodes[0].Tree.Proposer().Propose(f.ctx, buckthorndyke.RulesChange{Base: base, Operator: "tester", Text: text})
	asserter.NoError(f.t, err)
	asserter.True(f.t, ruling.Accepted, "the rules were rejected: "+ruling.Reason)
	for i := range f.Nodes {
		f.Await(i, func(p buckthorndyke.StateUpdate) bool { return p.State.RulesVersion >= ruling.Offset })
	}
}

// Await waits until the progress of a node satisfies ok.
func (f *Fleet) Await(node int, ok func(buckthorndyke.StateUpdate) bool) buckthorndyke.StateUpdate {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.ctx, (2 * buckthorndyke.Minute).Duration())
	defer cancel()
	progress := f.Nodes[node].Tree.Follower().Subscribe(ctx)
	for {
		select {
		case p := <-progress:
			if ok(p) {
				return p
			}
		case <-ctx.Done():
			f.t.Fatalf("node %d did not reach the awaited state", node)
		}
	}
}

// AwaitServing waits until all nodes are ready, all runners have owners and all
// models have placements.
func (f *Fleet) AwaitServing() {
	f.t.Helper()
	for i := range f.Nodes {
		f.Await(i, func(p buckthorndyke.StateUpdate) bool {
			return p.CaughtUp && f.owned(p.State) && f.placed(p.State)
		})
	}
}

// AwaitEnd waits until a node's process has ended by itself.
func (f *Fleet) AwaitEnd(node int) {
	<-f.Nodes[node].done
}

// Drain asks a node's process to stop as planned.
func (f *Fleet) Drain(n *Node) { n.Tree.Drain() }

// Kill ends a node's process at once.
func (f *Fleet) Kill(node int) {
	f.Nodes[node].Link.Kill()
	f.Nodes[node].stop()
}

// Reclaim announces on the VM list that the platform takes a node's VM back.
func (f *Fleet) Reclaim(node int) {
	f.t.Helper()
	for i := range f.VMs {
		if f.VMs[i].ID == f.Nodes[node].Self.VM {
			f.VMs[i].Leaving = true
		}
	}
	asserter.NoError(f.t, f.List.Set(f.ctx, slices.Clone(f.VMs)))
}

// Restart starts the next life of a node whose process has ended.
func (f *Fleet) Restart(node int) {
	f.Nodes[node] = f.start(node)
}

// SetNetwork decides from now on what happens to messages between nodes.
func (f *Fleet) SetNetwork(rule Rule) {
	f.network.set(f.ctx, rule)
}

// State returns the newest state of a node.
func (f *Fleet) State(node int) buckthorndyke.State {
	f.t.Helper()
	return f.Await(node, func(p buckthorndyke.StateUpdate) bool { return p.CaughtUp }).State
}

// Stop asks a node's process to stop as planned, and waits until it has.
func (f *Fleet) Stop(node int) {
	f.Nodes[node].stop()
	<-f.Nodes[node].done
}

// addRunners starts the runners' engines.
func (f *Fleet) addRunners() {
	for i := range f.cfg.Runners {
		runner := buckthorndyke.RunnerID(fmt.Sprintf("runner-%d", i))
		engine := standin.NewMemoryEngine(f.Clock, f.Store, f.cfg.Engine)
		standin.Start(f.ctx, engine)
		f.Engines[runner] = engine
		f.engines = f.engines.With(address(runner), f.wired(runner, engine))
		f.VMs = append(f.VMs, buckthorndyke.VM{
			Address: address(runner), Domain: domain(i), ID: buckthorndyke.VMID(runner), Role: buckthorndyke.RoleRunner,
		})
	}
}

// close ends all processes, then the stand-ins.
func (f *Fleet) close(cancel context.CancelFunc) {
	for i := range f.Nodes {
		f.Kill(i)
	}
	cancel()
	for _, n := range f.Nodes {
		<-n.done
	}
}

// nodeAt returns the node that serves peers at an address, or nil.
func (f *Fleet) nodeAt(at string) *Node {
	return f.network.node(f.ctx, at)
}

// owned reports whether each runner has an owner that is a member.
func (f *Fleet) owned(s buckthorndyke.State) bool {
	for runner := range f.Engines {
		o, _ := s.OwnershipOf(runner)
		if !s.Members.Has(o.Owner) {
			return false
		}
	}
	return true
}

// placed reports whether each model is permitted somewhere.
func (f *Fleet) placed(s buckthorndyke.State) bool {
	for id, rule := range s.Rules.Models.All() {
		placement, _ := s.Placements.Get(id)
		if !rule.IsAdapter() && len(placement.Permitted()) == 0 {
			return false
		}
	}
	return true
}

// start starts one life of a node.
func (f *Fleet) start(i int) *Node {
	f.starts++
	vm := vmOf(i)
	n := &Node{
		Link: newLink(f.ctx, f.Clock, vm, f.cfg.Observer),
		Self: buckthorndyke.Self{Domain: domain(i), Incarnation: f.starts, PeerAddress: address(vm), VM: vm},
		done: make(chan struct{}), front: newFront(),
	}
	rules := parser.NewRules()
	checks := func(buckthorndyke.RunnerID) bool { return f.cfg.Engine.ChecksFence }
	options := append([]supervisor.Option{
		supervisor.WithOwner(owner.WithFenceChecks(checks)),
	}, f.cfg.Options...)
	n.Tree = supervisor.New(n.Self, supervisor.Platform{
		Engines: &linkEngines{engines: f.engines, link: n.Link},
		Log:     &linkLog{link: n.Link, log: f.log(vm)},
		Peers:   &linkPeers{fleet: f, from: n},
		Service: &linkService{link: n.Link, service: f.service()},
		VMList:  &linkVMList{link: n.Link, list: f.list()},
	}, arbiter.New(rules, arbiter.WithDifference(parser.Diff)), encoder.NewProto(rules), f.Clock, options...)
	n.Tree.AddFront(n.front)
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
	return buckthorndyke.DomainID(string(rune('a' + i%domains)))
}

func vmOf(i int) buckthorndyke.VMID {
	return buckthorndyke.VMID(fmt.Sprintf("entry-%d", i))
}
