package follower_test

import (
	"testing"
	"testing/synctest"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/standin"
)

func TestFollow(t *testing.T) {
	t.Run("a follower of an empty log has caught up", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.start()
			b.waitIdle()
			asserter.True(t, b.update.CaughtUp && !b.update.LogDown, "the follower has not caught up")
			asserter.Equal(t, b.update.State.Offset, 0)
		})
	})
	t.Run("a record is applied as soon as it is appended", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.start()
			b.waitIdle()
			b.join("a")
			synctest.Wait()
			b.receiveUpdate()
			asserter.Equal(t, b.update.State.Members.Has("a"), true)
		})
	})
	t.Run("a record that cannot be decoded is counted as unknown", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.append([]byte{0xff})
			b.join("a")
			b.start()
			b.waitIdle()
			asserter.Equal(t, b.update.State.UnknownRecords, 1)
			asserter.Equal(t, b.update.State.Offset, 2)
		})
	})
	t.Run("freshness is measured from the instant before the read was sent", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.setFaults(standin.LogFaults{Delay: 800})
			begin := b.clock.Now()
			b.start()
			b.wait(3 * buckthorndyke.Second)
			// The second read, sent after 800 ms, was the first to reach the tail; the third
			// is under way.
			asserter.Equal(t, b.update.FreshAsOf-begin, 800)
		})
	})
}

func TestGap(t *testing.T) {
	t.Run("records after a gap are not applied, and reads back off", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.blockable.Log = gappyLog{data: []byte{0xff}}
			b.start()
			b.wait(10 * buckthorndyke.Second)
			asserter.Equal(t, b.update.State.Offset, 1)
			asserter.Equal(t, b.update.CaughtUp, false)
			asserter.True(t, b.blockable.reads() <= 110, "too many reads")
		})
	})
}

func TestLogDown(t *testing.T) {
	t.Run("while the log is down, the state is kept, freshness does not advance and reads back off", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.join("a")
			b.start()
			b.waitIdle()
			b.setFaults(standin.LogFaults{Down: true})
			b.wait(buckthorndyke.Second)
			fresh, reads := b.update.FreshAsOf, b.blockable.reads()
			b.wait(buckthorndyke.Minute)
			asserter.True(t, b.update.LogDown && b.update.CaughtUp, "the log is not reported as down, or the state as not caught up")
			asserter.Equal(t, b.update.FreshAsOf, fresh)
			asserter.Equal(t, b.update.State.Members.Has("a"), true)
			asserter.True(t, b.blockable.reads()-reads <= 40, "too many reads while the log is down")
			b.setFaults(standin.LogFaults{})
			b.wait(3 * buckthorndyke.Second)
			asserter.True(t, !b.update.LogDown && b.update.FreshAsOf > fresh, "the log is still reported as down, or the state as not fresh")
		})
	})
	t.Run("a log that does not respond within the read timeout is reported as down", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.setFaults(standin.LogFaults{Delay: buckthorndyke.Minute})
			b.start()
			b.wait(10 * buckthorndyke.Second)
			asserter.True(t, b.update.LogDown && !b.update.CaughtUp, "the log is not reported as down, or the state as caught up")
		})
	})
}

func TestStartFromPeers(t *testing.T) {
	state := buckthorndyke.State{}.WithMember(buckthorndyke.Member{VM: "a"}).WithOffset(7)
	t.Run("the state with the highest offset is fetched if a peer is ready", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.peers = fakePeers{
				"old": {ready: true, state: state.WithOffset(5)}, "new": {ready: true, state: state}, "dead": {dead: true},
			}
			b.setFaults(standin.LogFaults{Down: true})
			b.start()
			b.wait(5 * buckthorndyke.Second)
			asserter.True(t, b.update.CaughtUp && b.update.LogDown, "the state is not caught up, or the log not reported as down")
			asserter.Equal(t, b.update.State.Offset, 7)
			asserter.Equal(t, b.update.FreshAsOf, 0)
		})
	})
	t.Run("without a ready peer the follower has not caught up", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.peers = fakePeers{"a": {}, "b": {state: state}}
			b.setFaults(standin.LogFaults{Down: true})
			b.start()
			b.wait(5 * buckthorndyke.Second)
			asserter.Equal(t, b.update.CaughtUp, false)
		})
	})
	t.Run("a follower has not caught up if the newest peer's snapshot fails", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.peers = fakePeers{
				"old": {ready: true, state: state.WithOffset(5)}, "new": {ready: true, snapshotFails: true, state: state},
			}
			b.setFaults(standin.LogFaults{Down: true})
			b.start()
			b.wait(5 * buckthorndyke.Second)
			asserter.Equal(t, b.update.State.Offset, 5)
			asserter.Equal(t, b.update.CaughtUp, false)
		})
	})
	t.Run("once the log is back, its records are applied to the peer's state", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			for _, vm := range []buckthorndyke.VMID{"a", "b", "c"} {
				b.join(vm)
			}
			b.peers = fakePeers{"p": {ready: true, state: buckthorndyke.State{}.WithMember(
				buckthorndyke.Member{VM: "a"}).WithOffset(1)}}
			b.setFaults(standin.LogFaults{Down: true})
			b.start()
			b.wait(5 * buckthorndyke.Second)
			b.setFaults(standin.LogFaults{})
			b.wait(5 * buckthorndyke.Second)
			asserter.Equal(t, b.update.State.Offset, 3)
			asserter.Equal(t, b.update.State.Members.Len(), 3)
		})
	})
}

func TestRetention(t *testing.T) {
	t.Run("after old records were deleted, a follower starts from a checkpoint", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.start(checkpoints(3)...)
			b.joinMany(8)
			b.wait(5 * buckthorndyke.Second)
			want := b.update.State
			late := b.secondFollower()
			asserter.True(t, late.CaughtUp, "the second follower has not caught up")
			asserter.Equal(t, late.State.Members.Len(), want.Members.Len())
			asserter.Equal(t, late.State.Offset, want.Offset)
		}, standin.WithRetention(6))
	})
	t.Run("without a checkpoint a follower does not start from an incomplete state", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.start()
			b.joinMany(8)
			asserter.True(t, b.update.CaughtUp, "the first follower has not caught up")
			late := b.secondFollower()
			asserter.Equal(t, late.CaughtUp, false)
			asserter.Equal(t, late.State.Members.Len(), 0)
		}, standin.WithRetention(6))
	})
	t.Run("a checkpoint whose state is newer than its record is not used", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.joinMany(7)
			b.propose("bad", buckthorndyke.CheckpointChange{State: buckthorndyke.State{}.WithOffset(99)})
			b.start()
			b.wait(5 * buckthorndyke.Second)
			asserter.True(t, !b.update.CaughtUp && b.update.State.Offset == 0, "the checkpoint was used")
		}, standin.WithRetention(6))
	})
	t.Run("without a checkpoint a peer's state is fetched, even while the log is up", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.start()
			b.joinMany(8)
			b.peers = fakePeers{"p": {ready: true, state: b.update.State}}
			late := b.secondFollower()
			asserter.True(t, late.CaughtUp, "the second follower has not caught up")
			asserter.Equal(t, late.State.Members.Len(), 8)
		}, standin.WithRetention(6))
	})
	t.Run("a follower whose next record was deleted starts again from a checkpoint", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.start()
			b.joinMany(1)
			b.blockReads(true)
			standin.Start(b.ctx, b.follower(b.log, checkpoints(2)...))
			b.joinMany(9)
			asserter.Equal(t, b.update.State.Members.Len(), 1)
			b.blockReads(false)
			asserter.True(t, b.update.CaughtUp, "the follower has not caught up")
			asserter.Equal(t, b.update.State.Members.Len(), 9)
		}, standin.WithRetention(6))
	})
	t.Run("an idle log gets a checkpoint by age, at most one a minute", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.start(checkpoints(1000)...)
			b.joinMany(2)
			b.wait(10 * buckthorndyke.Minute)
			asserter.True(t, b.update.State.Offset >= 3, "no checkpoint was appended")
			asserter.True(t, b.update.State.Offset <= 13, "more than one checkpoint a minute was appended")
		})
	})
}
