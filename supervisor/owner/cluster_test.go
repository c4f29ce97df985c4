package owner_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/arbiter"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/encoder"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/parser"
	"github.com/buckthorndyke/buckthorndyke/standin"
	"github.com/buckthorndyke/buckthorndyke/supervisor/follower"
	"github.com/buckthorndyke/buckthorndyke/supervisor/owner"
	"github.com/buckthorndyke/buckthorndyke/supervisor/proposer"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

const (
	hall  = buckthorndyke.ModelID("hall")
	gym   = buckthorndyke.ModelID("gym")
	choir = buckthorndyke.ModelID("choir")
	// memoryMB is the memory of a runner, into which two of the models fit.
	memoryMB  = 24000
	rulesText = `model hall memory-mb=10000 replicas=6 # asked for by A
model gym memory-mb=10000 replicas=6 # asked for by A
model choir memory-mb=10000 replicas=6 # asked for by A
`
)

// cluster is a set of entry VMs before some runners, in a bubble.
type cluster struct {
	clock   buckthorndyke.Clock
	ctx     context.Context
	engines standin.MemoryEngines
	list    *standin.MemoryVMList
	log     *standin.MemoryLog
	nodes   map[buckthorndyke.VMID]*node
	runners map[buckthorndyke.RunnerID]*standin.MemoryEngine
	t       *testing.T
	vms     []buckthorndyke.VM
}

// node is one entry VM.
type node struct {
	cancel   context.CancelFunc
	liveness *mailer.Feed[buckthorndyke.Liveness]
	owner    *owner.Owner
	progress <-chan buckthorndyke.StateUpdate
	proposer *proposer.Proposer
	self     buckthorndyke.Self
	state    buckthorndyke.State
	valve    valve
}

// inCluster runs test with n entry VMs that share the given number of runners.
func inCluster(t *testing.T, n, runners int, cfg standin.EngineConfig, test func(c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		clock := timekeeper.NewRealClock()
		c := &cluster{
			clock: clock, ctx: ctx, list: standin.NewMemoryVMList(clock), log: standin.NewMemoryLog(clock),
			nodes:   make(map[buckthorndyke.VMID]*node),
			runners: make(map[buckthorndyke.RunnerID]*standin.MemoryEngine), t: t,
		}
		standin.Start(ctx, c.list, c.log)
		cfg.MemoryMB = memoryMB
		for i := range runners {
			c.addRunner(buckthorndyke.RunnerID(fmt.Sprintf("r%d", i)), cfg)
		}
		for i := range n {
			c.addNode(buckthorndyke.VMID(fmt.Sprintf("vm%d", i)), 1, cfg.ChecksFencingToken)
		}
		c.setVMs(c.vms)
		c.wait(5 * buckthorndyke.Second)
		c.permitAll()
		test(c)
	})
}

// addNode starts an entry VM and joins it.
func (c *cluster) addNode(vm buckthorndyke.VMID, incarnation buckthorndyke.Incarnation, checksFence bool) *node {
	ctx, cancel := context.WithCancel(c.ctx)
	n := &node{
		cancel: cancel, liveness: mailer.NewFeed[buckthorndyke.Liveness](), valve: newValve(),
		self: buckthorndyke.Self{
			Domain: buckthorndyke.DomainID(vm), Incarnation: incarnation, PeerAddress: string(vm), VM: vm,
		},
	}
	log := valveLog{log: c.log, valve: n.valve}
	rules := parser.NewRules()
	codec := encoder.NewProto(rules)
	f := follower.New(log, arbiter.New(rules), codec, c.clock)
	n.proposer = proposer.New(log, codec, f, n.self, c.clock)
	n.owner = owner.New(n.self, f, n.proposer, n.liveness, c.list, valveEngines{engines: c.engines, valve: n.valve, world: c.ctx},
		clusterPeers{c: c, valve: n.valve}, openGate{}, c.clock,
		owner.WithFenceChecks(func(buckthorndyke.RunnerID) bool { return checksFence }))
	standin.Start(ctx, f, n.liveness, n.owner)
	n.progress = f.Subscribe(ctx)
	c.nodes[vm] = n
	c.vms = append(c.vms, buckthorndyke.VM{Address: string(vm), ID: vm, Role: buckthorndyke.RoleEntry})
	member := buckthorndyke.Member{Domain: n.self.Domain, Incarnation: incarnation, PeerAddress: string(vm), VM: vm}
	c.propose(n, buckthorndyke.JoinChange{Member: member})
	return n
}

func (c *cluster) addRunner(id buckthorndyke.RunnerID, cfg standin.EngineConfig) {
	store := standin.NewMemoryWeightStore(c.clock)
	engine := standin.NewMemoryEngine(c.clock, store, cfg)
	standin.Start(c.ctx, store, engine)
	c.runners[id] = engine
	c.engines = c.engines.With(string(id), engine)
	c.vms = append(c.vms, buckthorndyke.VM{
		Address: string(id), ID: buckthorndyke.VMID(id), Role: buckthorndyke.RoleRunner,
	})
}

// ask asks the owner of r0 for a ticket.
func (c *cluster) ask(n *node, model buckthorndyke.ModelID) (buckthorndyke.Ticket, error) {
	return n.owner.Ticket(c.ctx, buckthorndyke.TicketRequest{
		Caller: "clerk", Deadline: buckthorndyke.Minute, Model: model, Rank: buckthorndyke.RankUrgent, Runner: "r0",
	})
}

// assertSafe checks what must hold on every runner whatever happened.
func (c *cluster) assertSafe() {
	c.t.Helper()
	for _, engine := range c.runners {
		j, err := engine.Journal(c.ctx)
		asserter.NoError(c.t, err)
		asserter.True(c.t, !j.Overcommitted, "memory was overcommitted")
		asserter.Equal(c.t, j.JobsAbortedByUnload, 0)
	}
}

// grant asks n for a ticket of r0 and waits until it is granted.
func (c *cluster) grant(n *node, model buckthorndyke.ModelID) buckthorndyke.Ticket {
	c.t.Helper()
	ticket, err := c.ask(n, model)
	asserter.NoError(c.t, err)
	for {
		event, err := ticket.Next(c.ctx)
		asserter.NoError(c.t, err)
		if event.Kind == buckthorndyke.TicketGranted {
			return ticket
		}
	}
}

// orders returns the orders that r0 has received.
func (c *cluster) orders() []standin.OrderRecord {
	j, err := c.runners["r0"].Journal(c.ctx)
	asserter.NoError(c.t, err)
	return j.Orders
}

// owned returns the ownership of r0 as n knows it.
func (c *cluster) owned(n *node) buckthorndyke.Ownership {
	synctest.Wait()
	select {
	case p := <-n.progress:
		n.state = p.State
	default:
	}
	o, _ := n.state.OwnershipOf("r0")
	return o
}

// ownerOf returns the node that owns r0.
func (c *cluster) ownerOf() *node {
	c.t.Helper()
	o := c.owned(c.nodes["vm0"])
	asserter.True(c.t, o.Owner != "", "nobody owns the runner")
	return c.nodes[o.Owner]
}

// other returns a node that is not n.
func (c *cluster) other(n *node) *node {
	for _, vm := range []buckthorndyke.VMID{"vm0", "vm1"} {
		if vm != n.self.VM {
			return c.nodes[vm]
		}
	}
	return nil
}

// permitAll permits all models on all runners.
func (c *cluster) permitAll() {
	n := c.nodes["vm0"]
	c.propose(n, buckthorndyke.RulesChange{Operator: "A", Text: rulesText})
	var runners []buckthorndyke.RunnerID
	for id := range c.runners {
		runners = append(runners, id)
	}
	for _, model := range []buckthorndyke.ModelID{hall, gym, choir} {
		c.propose(n, buckthorndyke.PermitChange{Model: model, Runners: runners})
	}
	c.wait(100)
}

func (c *cluster) propose(n *node, change buckthorndyke.Change) {
	c.t.Helper()
	ruling, err := n.proposer.Propose(c.ctx, change)
	asserter.NoError(c.t, err)
	asserter.True(c.t, ruling.Accepted, ruling.Reason)
}

func (c *cluster) setVMs(vms []buckthorndyke.VM) {
	c.vms = vms
	asserter.NoError(c.t, c.list.Set(c.ctx, vms))
}

// suspect tells all but n that n does not answer.
func (c *cluster) suspect(n *node) {
	l := buckthorndyke.Liveness{}.WithSuspect(n.self.VM, c.clock.Now(), nil)
	for vm, other := range c.nodes {
		if vm != n.self.VM {
			asserter.NoError(c.t, other.liveness.Publish(c.ctx, l))
		}
	}
}

func (c *cluster) wait(d buckthorndyke.Millis) {
	<-c.clock.After(d)
	synctest.Wait()
}

// clusterPeers reaches the other nodes' owners.
type clusterPeers struct {
	c     *cluster
	valve valve
}

func (p clusterPeers) At(address string) buckthorndyke.Peer {
	return clusterPeer{from: p.valve, to: p.c.nodes[buckthorndyke.VMID(address)]}
}

type clusterPeer struct {
	buckthorndyke.Peer
	from valve
	to   *node
}

func (p clusterPeer) Promise(ctx context.Context, r buckthorndyke.PromiseRequest) (bool, error) {
	for _, v := range []valve{p.from, p.to.valve} {
		if err := v.pass(ctx); err != nil {
			return false, err
		}
	}
	return p.to.owner.Promise(ctx, r)
}

type openGate struct{}

func (openGate) AcquireLoad(context.Context, buckthorndyke.LoadRequest) (buckthorndyke.LoadPermit, error) {
	return openPermit{}, nil
}

type openPermit struct{}

func (openPermit) Close() {}
