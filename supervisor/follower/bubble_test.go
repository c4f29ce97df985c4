package follower_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/arbiter"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/encoder"
	"github.com/buckthorndyke/buckthorndyke/parser"
	"github.com/buckthorndyke/buckthorndyke/standin"
	"github.com/buckthorndyke/buckthorndyke/supervisor/follower"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

// bubble is a follower over a log in memory, in fake time.
type bubble struct {
	blockable *blockableLog
	clock     buckthorndyke.Clock
	ctx       context.Context
	encoder   *encoder.Proto
	log       *standin.MemoryLog
	peers     fakePeers
	t         *testing.T
	update    buckthorndyke.StateUpdate
	updates   <-chan buckthorndyke.StateUpdate
}

func inBubble(t *testing.T, test func(b *bubble), opts ...standin.LogOption) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		clock := timekeeper.NewRealClock()
		log := standin.NewMemoryLog(clock, opts...)
		standin.Start(ctx, log)
		test(&bubble{
			blockable: newBlockableLog(log), clock: clock, ctx: ctx,
			encoder: encoder.NewProto(parser.NewRules()), log: log, t: t,
		})
	})
}

func (b *bubble) append(data []byte) {
	b.t.Helper()
	_, err := b.log.Append(b.ctx, buckthorndyke.ControlStream, data)
	asserter.NoError(b.t, err)
}

// cut keeps the follower's reads from the log, or lets them through again.
func (b *bubble) blockReads(blocked bool) {
	b.blockable.setBlocked(blocked)
	b.wait(5 * buckthorndyke.Second)
}

// checkpoints has a follower append checkpoints as the first member, also every
// minute.
func checkpoints(records int) []follower.Option {
	return []follower.Option{
		follower.WithSelf(buckthorndyke.Self{VM: "m00"}), follower.WithCheckpoints(records, buckthorndyke.Minute),
	}
}

func (b *bubble) follower(log buckthorndyke.Log, opts ...follower.Option) *follower.Follower {
	addresses := func(context.Context) []string { return b.peers.addresses() }
	opts = append([]follower.Option{follower.WithPeers(b.peers, addresses)}, opts...)
	return follower.New(log, arbiter.New(parser.NewRules()), b.encoder, b.clock, opts...)
}

func (b *bubble) join(vm buckthorndyke.VMID) {
	b.t.Helper()
	b.propose(vm, buckthorndyke.JoinChange{Member: buckthorndyke.Member{VM: vm}})
}

// joinMany has n members join, and lets the follower keep up.
func (b *bubble) joinMany(n int) {
	b.t.Helper()
	for i := range n {
		b.join(buckthorndyke.VMID("m0" + string(rune('0'+i))))
		b.wait(buckthorndyke.Second)
	}
}

func (b *bubble) propose(vm buckthorndyke.VMID, c buckthorndyke.Change) {
	b.t.Helper()
	id := buckthorndyke.ProposalID(vm) + "-" + buckthorndyke.ProposalID(b.clock.Now().Duration().String())
	data, err := b.encoder.EncodeProposal(buckthorndyke.Proposal{Change: c, ID: id, Proposer: vm})
	asserter.NoError(b.t, err)
	b.append(data)
}

// drain takes the newest progress, if there is a new one.
func (b *bubble) receiveUpdate() {
	select {
	case b.update = <-b.updates:
	default:
	}
}

// another returns what a second follower holds after a while.
func (b *bubble) secondFollower() buckthorndyke.StateUpdate {
	f := b.follower(b.log)
	standin.Start(b.ctx, f)
	updates := f.Subscribe(b.ctx)
	<-b.clock.After(5 * buckthorndyke.Second)
	synctest.Wait()
	return <-updates
}

func (b *bubble) setFaults(f standin.LogFaults) {
	b.t.Helper()
	asserter.NoError(b.t, b.log.SetFaults(b.ctx, f))
}

func (b *bubble) start(opts ...follower.Option) {
	f := b.follower(b.blockable, opts...)
	standin.Start(b.ctx, f)
	b.updates = f.Subscribe(b.ctx)
}

func (b *bubble) wait(d buckthorndyke.Millis) {
	<-b.clock.After(d)
	b.waitIdle()
}

// settle waits until nothing more happens at the present instant.
func (b *bubble) waitIdle() {
	synctest.Wait()
	b.receiveUpdate()
}
