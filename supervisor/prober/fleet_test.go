package prober_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/arbiter"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/detector"
	"github.com/buckthorndyke/buckthorndyke/encoder"
	"github.com/buckthorndyke/buckthorndyke/parser"
	"github.com/buckthorndyke/buckthorndyke/standin"
	"github.com/buckthorndyke/buckthorndyke/supervisor/follower"
	"github.com/buckthorndyke/buckthorndyke/supervisor/prober"
	"github.com/buckthorndyke/buckthorndyke/supervisor/proposer"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

const domainCount = 3

var errUnreachable = errors.New("unreachable")

// fleet is a set of entry VMs that share a log and a VM list in memory. It runs in a
// synctest bubble.
type fleet struct {
	clock buckthorndyke.Clock
	ctx   context.Context
	log   *standin.MemoryLog
	nodes []*node
	t     *testing.T
	vms   *standin.MemoryVMList
}

// node is one entry VM with the tasks that make it a member.
type node struct {
	feed         <-chan buckthorndyke.Liveness
	follower     *follower.Follower
	lastLiveness buckthorndyke.Liveness
	network      *network
	prober       *prober.Prober
	proposer     *proposer.Proposer
	self         buckthorndyke.Self
	stop         context.CancelFunc
}

func withFleet(t *testing.T, size int, test func(f *fleet), opts ...prober.Option) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		clock := timekeeper.NewRealClock()
		f := &fleet{
			clock: clock, ctx: ctx, log: standin.NewMemoryLog(clock), t: t, vms: standin.NewMemoryVMList(clock),
		}
		standin.Start(ctx, f.log, f.vms)
		peers := make(map[string]*node)
		for i := range size {
			vm := buckthorndyke.VMID(fmt.Sprint("v", i))
			domain := buckthorndyke.DomainID(fmt.Sprint("d", i%domainCount))
			self := buckthorndyke.Self{Domain: domain, Incarnation: 1, PeerAddress: string(vm), VM: vm}
			f.nodes = append(f.nodes, f.newNode(self, peers, opts))
		}
		for _, n := range f.nodes {
			peers[n.self.PeerAddress] = n
		}
		test(f)
	})
}

func (f *fleet) anySuspects(by []*node, n *node) bool {
	return slices.ContainsFunc(by, func(b *node) bool { return b.liveness().Suspected(n.self.VM) })
}

func (f *fleet) applyRules(text string) {
	f.t.Helper()
	c := buckthorndyke.RulesChange{Base: f.state(0).RulesVersion, Text: text}
	_, err := f.nodes[0].proposer.Propose(f.ctx, c)
	asserter.NoError(f.t, err)
}

// countSuspected counts the members of a group that another member of the group
// suspects.
func (f *fleet) countSuspected(group []*node) int {
	count := 0
	for _, n := range group {
		if f.anySuspects(group, n) {
			count++
		}
	}
	return count
}

func (f *fleet) inDomain(d buckthorndyke.DomainID) []*node {
	return slices.DeleteFunc(slices.Clone(f.nodes), func(n *node) bool { return n.self.Domain != d })
}

func (f *fleet) newNode(self buckthorndyke.Self, peers map[string]*node, opts []prober.Option) *node {
	e := encoder.NewProto(parser.NewRules())
	fl := follower.New(f.log, arbiter.New(parser.NewRules()), e, f.clock)
	p := proposer.New(f.log, e, fl, self, f.clock)
	n := &node{proposer: p, network: newNetwork(self.VM, peers), self: self, follower: fl}
	n.prober = prober.New(n.network, f.vms, p, fl, self, f.clock, opts...)
	return n
}

// nonNeighbor returns a VM that neither probes the i-th VM, nor probes or is probed by
// any VM that does.
func (f *fleet) nonNeighbor(i int) *node {
	topology := f.topology()
	probers := topology.Probers(f.nodes[i].self.VM)
	at := slices.IndexFunc(f.nodes, func(n *node) bool {
		vm := n.self.VM
		return n != f.nodes[i] && !slices.Contains(probers, vm) &&
			!slices.ContainsFunc(probers, func(w buckthorndyke.VMID) bool {
				return slices.Contains(topology.Probers(w), vm) || slices.Contains(topology.Probers(vm), w)
			})
	})
	return f.nodes[at]
}

func (f *fleet) outsideDomain(d buckthorndyke.DomainID) []*node {
	return slices.DeleteFunc(slices.Clone(f.nodes), func(n *node) bool { return n.self.Domain == d })
}

// partition breaks all links between two groups.
func (f *fleet) partition(group, other []*node) {
	for _, n := range group {
		n.disconnect(other...)
	}
}

func (f *fleet) reconnect() {
	for _, n := range f.nodes {
		n.network.setBroken(nil)
	}
}

// rejoin makes a later incarnation of the i-th VM join. Its process does not run.
func (f *fleet) rejoin(i int) {
	f.t.Helper()
	n := f.nodes[i]
	self := n.self
	self.Incarnation++
	p := proposer.New(f.log, encoder.NewProto(parser.NewRules()), n.follower, self, f.clock)
	_, err := p.Propose(f.ctx, buckthorndyke.JoinChange{Member: buckthorndyke.Member{
		Domain: self.Domain, Incarnation: self.Incarnation, PeerAddress: self.PeerAddress, VM: self.VM,
	}})
	asserter.NoError(f.t, err)
}

func (f *fleet) topology() detector.Topology {
	var members []buckthorndyke.Member
	for _, n := range f.nodes {
		members = append(members, buckthorndyke.Member{Domain: n.self.Domain, VM: n.self.VM})
	}
	return detector.NewTopology(members, detector.DefaultFanOut)
}

func (f *fleet) setList(vms ...buckthorndyke.VM) {
	f.t.Helper()
	asserter.NoError(f.t, f.vms.Set(f.ctx, vms))
}

func (f *fleet) setListed(ids ...buckthorndyke.VMID) {
	f.t.Helper()
	var vms []buckthorndyke.VM
	for _, id := range ids {
		vms = append(vms, buckthorndyke.VM{ID: id, Role: buckthorndyke.RoleEntry})
	}
	f.setList(vms...)
}

func (f *fleet) setLogFaults(faults standin.LogFaults) {
	f.t.Helper()
	asserter.NoError(f.t, f.log.SetFaults(f.ctx, faults))
}

// setOwner makes owner the owner of a runner that successor may take over.
func (f *fleet) setOwner(owner, successor buckthorndyke.VMID) {
	f.t.Helper()
	for _, n := range f.nodes {
		if n.self.VM != owner {
			continue
		}
		_, err := n.proposer.Propose(f.ctx, buckthorndyke.TakeChange{Ownership: buckthorndyke.Ownership{
			Incarnation: 1, Owner: owner, Runner: "r", Successors: []buckthorndyke.VMID{successor},
		}})
		asserter.NoError(f.t, err)
	}
}

// start starts all VMs and waits long enough for them to join.
func (f *fleet) start() {
	f.t.Helper()
	var all []buckthorndyke.VMID
	for _, n := range f.nodes {
		var ctx context.Context
		ctx, n.stop = context.WithCancel(f.ctx)
		standin.Start(ctx, n.follower, n.prober)
		n.feed = n.prober.Subscribe(f.ctx)
		all = append(all, n.self.VM)
	}
	f.setListed(all...)
	f.wait(5 * buckthorndyke.Second)
}

func (f *fleet) state(i int) buckthorndyke.State {
	f.t.Helper()
	s, err := f.nodes[i].prober.Snapshot(f.ctx)
	asserter.NoError(f.t, err)
	return s
}

func (f *fleet) wait(d buckthorndyke.Millis) {
	<-f.clock.After(d)
	synctest.Wait()
}

// proberOf returns a VM that probes the i-th.
func (f *fleet) proberOf(i int) *node {
	vm := f.topology().Probers(f.nodes[i].self.VM)[0]
	at := slices.IndexFunc(f.nodes, func(n *node) bool { return n.self.VM == vm })
	return f.nodes[at]
}

// disconnect breaks the links between n and others in both directions.
func (n *node) disconnect(others ...*node) {
	for _, other := range others {
		if other != n {
			n.network.breakLink(other.self.VM)
			other.network.breakLink(n.self.VM)
		}
	}
}

// liveness returns the last Liveness that n has published.
func (n *node) liveness() buckthorndyke.Liveness {
	select {
	case n.lastLiveness = <-n.feed:
	default:
	}
	return n.lastLiveness
}

// network connects a VM to its peers. Calls over broken links time out.
type network struct {
	broken chan map[buckthorndyke.VMID]bool
	from   buckthorndyke.VMID
	nodes  map[string]*node
}

func newNetwork(from buckthorndyke.VMID, nodes map[string]*node) *network {
	n := &network{broken: make(chan map[buckthorndyke.VMID]bool, 1), from: from, nodes: nodes}
	n.broken <- nil
	return n
}

// At implements buckthorndyke.Peers.
func (n *network) At(address string) buckthorndyke.Peer {
	return link{network: n, to: n.nodes[address]}
}

func (n *network) breakLink(vm buckthorndyke.VMID) {
	broken := maps.Clone(<-n.broken)
	if broken == nil {
		broken = make(map[buckthorndyke.VMID]bool)
	}
	broken[vm] = true
	n.broken <- broken
}

func (n *network) setBroken(broken map[buckthorndyke.VMID]bool) {
	<-n.broken
	n.broken <- broken
}

// link is the connection to one peer.
type link struct {
	buckthorndyke.Peer
	network *network
	to      *node
}

func (l link) Probe(ctx context.Context, r buckthorndyke.ProbeRequest) (buckthorndyke.ProbeReply, error) {
	broken := <-l.network.broken
	l.network.broken <- broken
	if broken[l.to.self.VM] {
		<-ctx.Done()
		return buckthorndyke.ProbeReply{}, errUnreachable
	}
	return l.to.prober.Probe(ctx, r)
}
