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

// bubble is a test fixture in a synctest bubble: a follower with an in-memory log.
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

// blockReads makes the follower's reads of the log fail, or succeed again, and waits for
// 5 s.
func (b *bubble) blockReads(blocked bool) {
	b.blockable.setBlocked(blocked)
	b.wait(5 * buckthorndyke.Second)
}

// checkpoints returns the options of a follower on VM m00 that appends checkpoints
// after the given number of records, or after a minute.
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

// joinMany makes n members join, with a second between them.
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

// receiveUpdate stores the newest state update, if there is a new one.
func (b *bubble) receiveUpdate() {
	select {
	case b.update = <-b.updates:
	default:
	}
}

// secondFollower starts another follower and returns its state update after 5 s.
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

// waitIdle waits until all goroutines in the bubble are blocked, and stores the newest
// state update.
func (b *bubble) waitIdle() {
	synctest.Wait()
	b.receiveUpdate()
}
