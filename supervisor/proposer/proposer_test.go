package proposer_test

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
	"github.com/buckthorndyke/buckthorndyke/supervisor/proposer"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

const code = buckthorndyke.CodeLogUnavailable

func TestPropose(t *testing.T) {
	t.Run("the result is that of the arbiter", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			result, err := b.propose(joinChange("a"))
			asserter.NoError(t, err)
			asserter.Equal(t, result.Accepted, true)
			asserter.Equal(t, result.Offset, 1)
			result, err = b.propose(joinChange("another VM"))
			asserter.NoError(t, err)
			asserter.Equal(t, result.Accepted, false)
		})
	})
	t.Run("a proposal that fails while the log is down has not run", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.setFaults(standin.LogFaults{Down: true})
			_, err := b.propose(joinChange("a"))
			asserter.Refused(t, err, code, buckthorndyke.NotRun)
			b.setFaults(standin.LogFaults{})
			asserter.Equal(t, b.appends(), 0)
		})
	})
	t.Run("a proposal is appended once if the log comes back in time", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.setFaults(standin.LogFaults{Down: true})
			go func() {
				<-b.clock.After(4 * buckthorndyke.Second)
				b.setFaults(standin.LogFaults{})
			}()
			result, err := b.propose(joinChange("a"))
			asserter.NoError(t, err)
			asserter.Equal(t, result.Accepted, true)
			asserter.Equal(t, b.appends(), 1)
		})
	})
	t.Run("after a lost reply the result is found in the state", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.setFaults(standin.LogFaults{LoseReplies: 1})
			result, err := b.propose(joinChange("a"))
			asserter.NoError(t, err)
			asserter.Equal(t, result.Accepted, true)
			asserter.Equal(t, result.Offset, 1)
		})
	})
	t.Run("if the log goes down after a lost reply, the proposal may have run", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.setFaults(standin.LogFaults{Delay: 10 * buckthorndyke.Second})
			go func() {
				<-b.clock.After(3500 * buckthorndyke.Millisecond)
				b.setFaults(standin.LogFaults{Down: true})
			}()
			_, err := b.propose(joinChange("a"))
			asserter.Refused(t, err, code, buckthorndyke.MayHaveRun)
		})
	})
	t.Run("an appended proposal whose result does not become known may have run", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.withoutFollower = true
			_, err := b.propose(joinChange("a"))
			asserter.Refused(t, err, code, buckthorndyke.MayHaveRun)
		})
	})
	t.Run("with an ended context nothing is appended", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			ctx, cancel := context.WithCancel(b.ctx)
			cancel()
			_, err := b.proposer().Propose(ctx, joinChange("a"))
			asserter.Refused(t, err, code, buckthorndyke.NotRun)
			asserter.Equal(t, b.appends(), 0)
		})
	})
	t.Run("if the context ends between two refused appends, the proposal has not run", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.setFaults(standin.LogFaults{Down: true})
			ctx, cancel := context.WithTimeout(b.ctx, buckthorndyke.Second.Duration())
			defer cancel()
			_, err := b.proposer().Propose(ctx, joinChange("a"))
			asserter.Refused(t, err, code, buckthorndyke.NotRun)
		})
	})
	t.Run("a change that cannot be encoded has not run", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			_, err := b.propose(nil)
			asserter.Refused(t, err, buckthorndyke.CodeInternal, buckthorndyke.NotRun)
		})
	})
}

// bubble is a test fixture in a synctest bubble: a proposer and its follower with an
// in-memory log.
type bubble struct {
	clock           buckthorndyke.Clock
	ctx             context.Context
	encoder         buckthorndyke.Encoder
	log             *standin.MemoryLog
	t               *testing.T
	withoutFollower bool
}

func inBubble(t *testing.T, test func(b *bubble)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		clock := timekeeper.NewRealClock()
		log := standin.NewMemoryLog(clock)
		standin.Start(ctx, log)
		test(&bubble{clock: clock, ctx: ctx, encoder: encoder.NewProto(parser.NewRules()), log: log, t: t})
	})
}

func (b *bubble) appends() int {
	b.t.Helper()
	stats, err := b.log.Stats(b.ctx)
	asserter.NoError(b.t, err)
	return stats.Appends
}

func (b *bubble) propose(c buckthorndyke.Change) (buckthorndyke.ProposalResult, error) {
	return b.proposer().Propose(b.ctx, c)
}

// proposer returns a proposer for VM "a". Its follower runs unless withoutFollower is
// set.
func (b *bubble) proposer() *proposer.Proposer {
	f := follower.New(b.log, arbiter.New(parser.NewRules()), b.encoder, b.clock)
	if !b.withoutFollower {
		standin.Start(b.ctx, f)
	}
	return proposer.New(b.log, b.encoder, f, buckthorndyke.Self{VM: "a"}, b.clock)
}

func (b *bubble) setFaults(f standin.LogFaults) {
	b.t.Helper()
	asserter.NoError(b.t, b.log.SetFaults(b.ctx, f))
}

func joinChange(vm buckthorndyke.VMID) buckthorndyke.Change {
	return buckthorndyke.JoinChange{Member: buckthorndyke.Member{VM: vm}}
}
