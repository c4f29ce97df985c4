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

func TestFollow(t *testing.T) {
	t.Run("an empty log is at its tail", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.start()
			b.settle()
			asserter.True(t, b.progress.AtTail && !b.progress.LogDown, "not at the tail")
			asserter.Equal(t, b.progress.State.Offset, 0)
		})
	})
	t.Run("a record is folded as soon as it is appended", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.start()
			b.settle()
			b.join("a")
			synctest.Wait()
			b.drain()
			asserter.Equal(t, b.progress.State.Members.Has("a"), true)
		})
	})
	t.Run("a record that cannot be decoded is counted", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.append([]byte{0xff})
			b.join("a")
			b.start()
			b.settle()
			asserter.Equal(t, b.progress.State.Unknown, 1)
			asserter.Equal(t, b.progress.State.Offset, 2)
		})
	})
	t.Run("freshness counts from before the read was sent", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.faults(standin.LogFaults{Delay: 800})
			begin := b.clock.Now()
			b.start()
			b.wait(3 * buckthorndyke.Second)
			age := b.clock.Now() - b.progress.Fresh
			asserter.True(t, b.progress.Fresh >= begin && age >= 800, "fresh after the read was sent")
		})
	})
}

func TestLogDown(t *testing.T) {
	t.Run("freshness stops, the state stays, and reads back off", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.join("a")
			b.start()
			b.settle()
			b.faults(standin.LogFaults{Down: true})
			b.wait(buckthorndyke.Second)
			fresh, reads := b.progress.Fresh, b.reads()
			b.wait(buckthorndyke.Minute)
			asserter.True(t, b.progress.LogDown && b.progress.AtTail, "the log is down and the state is complete")
			asserter.Equal(t, b.progress.Fresh, fresh)
			asserter.Equal(t, b.progress.State.Members.Has("a"), true)
			asserter.True(t, b.reads()-reads <= 40, "too many reads while the log is down")
			b.faults(standin.LogFaults{})
			b.wait(3 * buckthorndyke.Second)
			asserter.True(t, !b.progress.LogDown && b.progress.Fresh > fresh, "the log is back")
		})
	})
	t.Run("a log that answers too late counts as down", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.faults(standin.LogFaults{Delay: buckthorndyke.Minute})
			b.start()
			b.wait(10 * buckthorndyke.Second)
			asserter.True(t, b.progress.LogDown && !b.progress.AtTail, "the log is down")
		})
	})
}

func TestStartFromPeers(t *testing.T) {
	state := buckthorndyke.State{}.WithMember(buckthorndyke.Member{VM: "a"}).WithOffset(7)
	t.Run("the highest offset that a ready peer's fleet knows is taken", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.peers = fakePeers{
				"old": {ready: true, state: state.WithOffset(5)}, "new": {ready: true, state: state}, "dead": {dead: true},
			}
			b.faults(standin.LogFaults{Down: true})
			b.start()
			b.wait(5 * buckthorndyke.Second)
			asserter.True(t, b.progress.AtTail && b.progress.LogDown, "the state is complete")
			asserter.Equal(t, b.progress.State.Offset, 7)
			asserter.Equal(t, b.progress.Fresh, 0)
		})
	})
	t.Run("peers that all start themselves are no source", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.peers = fakePeers{"a": {}, "b": {state: state}}
			b.faults(standin.LogFaults{Down: true})
			b.start()
			b.wait(5 * buckthorndyke.Second)
			asserter.Equal(t, b.progress.AtTail, false)
		})
	})
	t.Run("a peer whose snapshot fails is not enough to be at the tail", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.peers = fakePeers{
				"old": {ready: true, state: state.WithOffset(5)}, "new": {mute: true, ready: true, state: state},
			}
			b.faults(standin.LogFaults{Down: true})
			b.start()
			b.wait(5 * buckthorndyke.Second)
			asserter.Equal(t, b.progress.State.Offset, 5)
			asserter.Equal(t, b.progress.AtTail, false)
		})
	})
	t.Run("once the log is back it is followed on from the peer's state", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			for _, vm := range []buckthorndyke.VMID{"a", "b", "c"} {
				b.join(vm)
			}
			b.peers = fakePeers{"p": {ready: true, state: buckthorndyke.State{}.WithMember(
				buckthorndyke.Member{VM: "a"}).WithOffset(1)}}
			b.faults(standin.LogFaults{Down: true})
			b.start()
			b.wait(5 * buckthorndyke.Second)
			b.faults(standin.LogFaults{})
			b.wait(5 * buckthorndyke.Second)
			asserter.Equal(t, b.progress.State.Offset, 3)
			asserter.Equal(t, b.progress.State.Members.Len(), 3)
		})
	})
}

func TestRetention(t *testing.T) {
	t.Run("a start after old records have gone begins with the checkpoint", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.start(checkpoints(3)...)
			b.joinMany(8)
			b.wait(5 * buckthorndyke.Second)
			want := b.progress.State
			late := b.another()
			asserter.True(t, late.AtTail, "not at the tail")
			asserter.Equal(t, late.State.Members.Len(), want.Members.Len())
			asserter.Equal(t, late.State.Offset, want.Offset)
		}, standin.WithRetention(6))
	})
	t.Run("without a checkpoint nothing is guessed", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.start()
			b.joinMany(8)
			asserter.True(t, b.progress.AtTail, "the first follower is at the tail")
			late := b.another()
			asserter.Equal(t, late.AtTail, false)
			asserter.Equal(t, late.State.Members.Len(), 0)
		}, standin.WithRetention(6))
	})
	t.Run("a follower that retention passes by starts again from a checkpoint", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.start()
			b.joinMany(1)
			b.cut(true)
			standin.Start(b.ctx, b.follower(b.log, checkpoints(2)...))
			b.joinMany(9)
			asserter.Equal(t, b.progress.State.Members.Len(), 1)
			b.cut(false)
			asserter.True(t, b.progress.AtTail, "not at the tail")
			asserter.Equal(t, b.progress.State.Members.Len(), 9)
		}, standin.WithRetention(6))
	})
	t.Run("a quiet log gets a checkpoint by age, and no second one", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.start(checkpoints(1000)...)
			b.joinMany(2)
			b.wait(10 * buckthorndyke.Minute)
			asserter.True(t, b.progress.State.Offset >= 3, "no checkpoint")
			asserter.True(t, b.progress.State.Offset <= 13, "more than one checkpoint a minute")
		})
	})
}

// bubble is a follower over a log in memory, in fake time.
type bubble struct {
	clock    buckthorndyke.Clock
	ctx      context.Context
	encoder  *encoder.Proto
	gate     *gate
	log      *standin.MemoryLog
	newest   <-chan buckthorndyke.Progress
	peers    fakePeers
	progress buckthorndyke.Progress
	t        *testing.T
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
			clock: clock, ctx: ctx, encoder: encoder.NewProto(parser.NewRules()),
			gate: newGate(log), log: log, t: t,
		})
	})
}

// another returns what a second follower holds after a while.
func (b *bubble) another() buckthorndyke.Progress {
	f := b.follower(b.log)
	standin.Start(b.ctx, f)
	newest := f.Subscribe(b.ctx)
	<-b.clock.After(5 * buckthorndyke.Second)
	synctest.Wait()
	return <-newest
}

func (b *bubble) append(data []byte) {
	b.t.Helper()
	_, err := b.log.Append(b.ctx, buckthorndyke.ControlStream, data)
	asserter.NoError(b.t, err)
}

// checkpoints has a follower append checkpoints as the first member, also every
// minute.
func checkpoints(records int) []follower.Option {
	return []follower.Option{
		follower.WithSelf(buckthorndyke.Self{VM: "m00"}), follower.WithCheckpoints(records, buckthorndyke.Minute),
	}
}

// cut keeps the follower's reads from the log, or lets them through again.
func (b *bubble) cut(closed bool) {
	b.gate.set(closed)
	b.wait(5 * buckthorndyke.Second)
}

// drain takes the newest progress, if there is a new one.
func (b *bubble) drain() {
	select {
	case b.progress = <-b.newest:
	default:
	}
}

func (b *bubble) faults(f standin.LogFaults) {
	b.t.Helper()
	asserter.NoError(b.t, b.log.SetFaults(b.ctx, f))
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

func (b *bubble) reads() int {
	b.t.Helper()
	stats, err := b.log.Stats(b.ctx)
	asserter.NoError(b.t, err)
	return stats.Reads
}

// settle waits until nothing more happens at the present instant.
func (b *bubble) settle() {
	synctest.Wait()
	b.drain()
}

func (b *bubble) start(opts ...follower.Option) {
	f := b.follower(b.gate, opts...)
	standin.Start(b.ctx, f)
	b.newest = f.Subscribe(b.ctx)
}

func (b *bubble) wait(d buckthorndyke.Millis) {
	<-b.clock.After(d)
	b.settle()
}
