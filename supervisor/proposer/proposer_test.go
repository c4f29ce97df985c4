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
	t.Run("the ruling is that of the fold", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			ruling, err := b.propose(joinOf("a"))
			asserter.NoError(t, err)
			asserter.Equal(t, ruling.Accepted, true)
			asserter.Equal(t, ruling.Offset, 1)
			ruling, err = b.propose(joinOf("another VM"))
			asserter.NoError(t, err)
			asserter.Equal(t, ruling.Accepted, false)
		})
	})
	t.Run("a log that is down all the time has run nothing", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.faults(standin.LogFaults{Down: true})
			_, err := b.propose(joinOf("a"))
			asserter.Refused(t, err, code, buckthorndyke.NotRun)
			b.faults(standin.LogFaults{})
			asserter.Equal(t, b.appends(), 0)
		})
	})
	t.Run("a log that comes back in time gets the proposal once", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.faults(standin.LogFaults{Down: true})
			go func() {
				<-b.clock.After(4 * buckthorndyke.Second)
				b.faults(standin.LogFaults{})
			}()
			ruling, err := b.propose(joinOf("a"))
			asserter.NoError(t, err)
			asserter.Equal(t, ruling.Accepted, true)
			asserter.Equal(t, b.appends(), 1)
		})
	})
	t.Run("a lost answer is settled by the state", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.faults(standin.LogFaults{LoseReplies: 1})
			ruling, err := b.propose(joinOf("a"))
			asserter.NoError(t, err)
			asserter.Equal(t, ruling.Accepted, true)
			asserter.Equal(t, ruling.Offset, 1)
		})
	})
	t.Run("after a lost answer a log that goes down leaves it open", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.faults(standin.LogFaults{Delay: 10 * buckthorndyke.Second})
			go func() {
				<-b.clock.After(3500 * buckthorndyke.Millisecond)
				b.faults(standin.LogFaults{Down: true})
			}()
			_, err := b.propose(joinOf("a"))
			asserter.Refused(t, err, code, buckthorndyke.MayHaveRun)
		})
	})
	t.Run("an appended proposal whose ruling is not seen may have run", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.deaf = true
			_, err := b.propose(joinOf("a"))
			asserter.Refused(t, err, code, buckthorndyke.MayHaveRun)
		})
	})
	t.Run("an ended context appends nothing", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			ctx, cancel := context.WithCancel(b.ctx)
			cancel()
			_, err := b.proposer().Propose(ctx, joinOf("a"))
			asserter.Refused(t, err, code, buckthorndyke.NotRun)
			asserter.Equal(t, b.appends(), 0)
		})
	})
	t.Run("a context that ends between two refused appends has run nothing", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.faults(standin.LogFaults{Down: true})
			ctx, cancel := context.WithTimeout(b.ctx, buckthorndyke.Second.Duration())
			defer cancel()
			_, err := b.proposer().Propose(ctx, joinOf("a"))
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

// bubble is a proposer with its follower over a log in memory, in fake time.
type bubble struct {
	clock   buckthorndyke.Clock
	ctx     context.Context
	deaf    bool
	encoder buckthorndyke.Encoder
	log     *standin.MemoryLog
	t       *testing.T
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

func (b *bubble) faults(f standin.LogFaults) {
	b.t.Helper()
	asserter.NoError(b.t, b.log.SetFaults(b.ctx, f))
}

func (b *bubble) propose(c buckthorndyke.Change) (buckthorndyke.ProposalResult, error) {
	return b.proposer().Propose(b.ctx, c)
}

// proposer returns a proposer for "a" whose follower runs unless b is deaf.
func (b *bubble) proposer() *proposer.Proposer {
	f := follower.New(b.log, arbiter.New(parser.NewRules()), b.encoder, b.clock)
	if !b.deaf {
		standin.Start(b.ctx, f)
	}
	return proposer.New(b.log, b.encoder, f, buckthorndyke.Self{VM: "a"}, b.clock)
}

func joinOf(vm buckthorndyke.VMID) buckthorndyke.Change {
	return buckthorndyke.JoinChange{Member: buckthorndyke.Member{VM: vm}}
}
