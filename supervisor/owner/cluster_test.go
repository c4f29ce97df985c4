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
	// memoryMB is the memory of a runner, enough for two of the models.
	memoryMB  = 24000
	rulesText = `model hall memory-mb=10000 replicas=6 # asked for by A
model gym memory-mb=10000 replicas=6 # asked for by A
model choir memory-mb=10000 replicas=6 # asked for by A
`
)

// cluster is a set of entry VMs and runners in a synctest bubble.
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
	pauser   pauser
	proposer *proposer.Proposer
	self     buckthorndyke.Self
	state    buckthorndyke.State
	updates  <-chan buckthorndyke.StateUpdate
}

// withCluster runs test with n entry VMs that share the given number of runners.
func withCluster(t *testing.T, n, runners int, cfg standin.EngineConfig, test func(c *cluster)) {
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

// addNode starts an entry VM and adds it to the members.
func (c *cluster) addNode(vm buckthorndyke.VMID, incarnation buckthorndyke.Incarnation, checksFence bool) *node {
	ctx, cancel := context.WithCancel(c.ctx)
	n := &node{
		cancel: cancel, liveness: mailer.NewFeed[buckthorndyke.Liveness](), pauser: newPauser(),
		self: buckthorndyke.Self{
			Domain: buckthorndyke.DomainID(vm), Incarnation: incarnation, PeerAddress: string(vm), VM: vm,
		},
	}
	log := pausableLog{log: c.log, pauser: n.pauser}
	rules := parser.NewRules()
	codec := encoder.NewProto(rules)
	f := follower.New(log, arbiter.New(rules), codec, c.clock)
	n.proposer = proposer.New(log, codec, f, n.self, c.clock)
	n.owner = owner.New(n.self, f, n.proposer, n.liveness, c.list, pausableEngines{engines: c.engines, pauser: n.pauser, testCtx: c.ctx},
		clusterPeers{cluster: c, pauser: n.pauser}, openGate{}, c.clock,
		owner.WithFencingTokenChecks(func(buckthorndyke.RunnerID) bool { return checksFence }))
	standin.Start(ctx, f, n.liveness, n.owner)
	n.updates = f.Subscribe(ctx)
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

// assertSafe checks on each runner that memory was never overcommitted and that no
// model was unloaded while jobs used it.
func (c *cluster) assertSafe() {
	c.t.Helper()
	for _, engine := range c.runners {
		j, err := engine.Journal(c.ctx)
		asserter.NoError(c.t, err)
		asserter.True(c.t, !j.Overcommitted, "memory was overcommitted")
		asserter.Equal(c.t, j.UnloadAbortedJobs, 0)
	}
}

// currentOwner returns the node that owns r0.
func (c *cluster) currentOwner() *node {
	c.t.Helper()
	o := c.ownership(c.nodes["vm0"])
	asserter.True(c.t, o.Owner != "", "the runner has no owner")
	return c.nodes[o.Owner]
}

// grant requests a ticket for r0 from n and waits until it is granted.
func (c *cluster) grant(n *node, model buckthorndyke.ModelID) buckthorndyke.Ticket {
	c.t.Helper()
	ticket, err := c.requestTicket(n, model)
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

// otherNode returns vm0 or vm1, whichever is not n.
func (c *cluster) otherNode(n *node) *node {
	for _, vm := range []buckthorndyke.VMID{"vm0", "vm1"} {
		if vm != n.self.VM {
			return c.nodes[vm]
		}
	}
	return nil
}

// ownership returns the ownership of r0 in the state that n has.
func (c *cluster) ownership(n *node) buckthorndyke.Ownership {
	synctest.Wait()
	select {
	case p := <-n.updates:
		n.state = p.State
	default:
	}
	o, _ := n.state.OwnershipOf("r0")
	return o
}

// permitAll gives all models replica slots on all runners.
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
	result, err := n.proposer.Propose(c.ctx, change)
	asserter.NoError(c.t, err)
	asserter.True(c.t, result.Accepted, result.Reason)
}

// requestTicket requests a ticket for r0 from n.
func (c *cluster) requestTicket(n *node, model buckthorndyke.ModelID) (buckthorndyke.Ticket, error) {
	return n.owner.Ticket(c.ctx, buckthorndyke.TicketRequest{
		Caller: "clerk", Deadline: buckthorndyke.Minute, Model: model, Rank: buckthorndyke.RankUrgent, Runner: "r0",
	})
}

func (c *cluster) setVMs(vms []buckthorndyke.VM) {
	c.vms = vms
	asserter.NoError(c.t, c.list.Set(c.ctx, vms))
}

// suspect reports n as suspected to all other nodes.
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

// clusterPeers connects a node to the owners of the other nodes.
type clusterPeers struct {
	cluster *cluster
	pauser  pauser
}

func (p clusterPeers) At(address string) buckthorndyke.Peer {
	return clusterPeer{from: p.pauser, to: p.cluster.nodes[buckthorndyke.VMID(address)]}
}

type clusterPeer struct {
	buckthorndyke.Peer
	from pauser
	to   *node
}

func (p clusterPeer) Promise(ctx context.Context, r buckthorndyke.PromiseRequest) (bool, error) {
	for _, v := range []pauser{p.from, p.to.pauser} {
		if err := v.wait(ctx); err != nil {
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
