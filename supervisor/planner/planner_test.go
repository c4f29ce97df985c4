package planner_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/placer"
	"github.com/buckthorndyke/buckthorndyke/supervisor/planner"
)

const (
	settleTime = 5 * buckthorndyke.Minute
	shortWait  = 10 * buckthorndyke.Second
)

func TestPlan(t *testing.T) {
	t.Run("all models are permitted without any request, with one record each", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.start(4)
			b.applyRules(rulesOf(20, 2))
			before := b.current().proposals
			b.wait(shortWait)
			assertPermitted(t, b, 20, 2)
			asserter.Equal(t, b.current().proposals-before, 20)
		})
	})
	t.Run("nothing is proposed while the log is down", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.start(4)
			b.change(func(s *bubbleState) { s.logDown = true })
			b.applyRules(rulesOf(5, 2))
			before := b.current().proposals
			b.wait(shortWait)
			asserter.Equal(t, b.current().proposals, before)
			b.change(func(s *bubbleState) { s.logDown = false })
			b.wait(shortWait)
			assertPermitted(t, b, 5, 2)
		})
	})
	t.Run("after a lower maximum or the removal of a model, permissions are withdrawn", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.start(4)
			b.applyRules(rulesOf(5, 3))
			b.wait(shortWait)
			b.applyRules(rulesOf(4, 1))
			b.wait(shortWait)
			assertPermitted(t, b, 4, 1)
			asserter.Equal(t, len(b.permitted("m4")), 0)
			b.confirmEvictions()
			asserter.Equal(t, b.current().state.Placements.Has("m4"), false)
		})
	})
	t.Run("rejected proposals are retried with increasing backoff", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.start(1)
			b.applyRules(rulesOf(1, 1))
			before := b.current().proposals
			b.change(func(s *bubbleState) { s.rejectAll = true })
			b.wait(10 * buckthorndyke.Minute)
			tries := b.current().proposals - before
			asserter.True(t, tries >= 10 && tries <= 20, fmt.Sprint(tries, " tries in ten minutes"))
			b.change(func(s *bubbleState) { s.rejectAll = false })
			b.wait(2 * buckthorndyke.Minute)
			assertPermitted(t, b, 1, 1)
		})
	})
	t.Run("the proposal rate of one VM is limited", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.start(1, planner.WithFleetRate(1))
			b.applyRules(rulesOf(60, 1))
			before := b.current().proposals
			b.wait(shortWait)
			asserter.True(t, b.current().proposals-before <= 11, "more than one proposal a second")
		})
	})
}

func TestMoves(t *testing.T) {
	t.Run("permissions move to a new runner only after the settle time", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.start(4, planner.WithSettleTime(settleTime))
			b.applyRules(rulesOf(20, 2))
			b.wait(shortWait)
			b.take("v0", "r9")
			before := b.current().proposals
			b.wait(settleTime - shortWait)
			asserter.Equal(t, b.current().proposals, before)
			b.wait(2 * shortWait)
			asserter.True(t, b.current().proposals > before, "no permission has moved")
			for _, model := range modelsOf(20) {
				asserter.True(t, len(b.permitted(model)) >= 1, "a model has lost more than one permission at a time")
			}
			b.confirmEvictions()
			b.wait(shortWait)
			assertPermitted(t, b, 20, 2)
		})
	})
	t.Run("a runner that is being reclaimed loses its permissions immediately", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.start(4, planner.WithSettleTime(settleTime))
			b.applyRules(rulesOf(20, 2))
			b.wait(shortWait)
			list := buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.VM]{}
			for i := range 4 {
				vm := buckthorndyke.VMID(fmt.Sprint("r", i))
				list = list.With(vm, buckthorndyke.VM{ID: vm, Leaving: i == 2})
			}
			asserter.NoError(t, b.liveness.Publish(b.ctx, buckthorndyke.Liveness{VMs: list}))
			b.wait(shortWait)
			b.confirmEvictions()
			b.wait(shortWait)
			assertPermitted(t, b, 20, 2)
			for _, model := range modelsOf(20) {
				asserter.Equal(t, slices.Contains(b.permitted(model), "r2"), false)
			}
		})
	})
	t.Run("another VM proposes in place of a suspected one", func(t *testing.T) {
		inBubble(t, func(b *bubble) {
			b.start(3)
			suspect := preferredProposer("m0", "v0", "v1", "v2")
			b.accept(buckthorndyke.JoinChange{Member: buckthorndyke.Member{Incarnation: 1, VM: suspect}})
			b.applyRules(rulesOf(1, 1))
			b.wait(shortWait)
			asserter.Equal(t, len(b.permitted("m0")), 0)
			l := buckthorndyke.Liveness{}.WithSuspect(suspect, 1, nil)
			asserter.NoError(t, b.liveness.Publish(b.ctx, l))
			b.wait(shortWait)
			assertPermitted(t, b, 1, 1)
		})
	})
}

// assertPermitted checks that each of n models is permitted on the given number of
// runners.
func assertPermitted(t *testing.T, b *bubble, n, replicas int) {
	t.Helper()
	for _, model := range modelsOf(n) {
		asserter.Equal(t, len(b.permitted(model)), replicas)
	}
}

func modelsOf(n int) []buckthorndyke.ModelID {
	models := make([]buckthorndyke.ModelID, n)
	for i := range models {
		models[i] = buckthorndyke.ModelID(fmt.Sprint("m", i))
	}
	return models
}

func rulesOf(n, replicas int) string {
	var text strings.Builder
	for _, model := range modelsOf(n) {
		fmt.Fprintf(&text, "model %s memory-mb=10 replicas=%d # asked for by A\n", model, replicas)
	}
	return text.String()
}

// preferredProposer returns the ID of a VM that ranks before others as the proposer for
// model.
func preferredProposer(model buckthorndyke.ModelID, others ...buckthorndyke.VMID) buckthorndyke.VMID {
	for i := 0; ; i++ {
		vm := buckthorndyke.VMID(fmt.Sprint("rival", i))
		if placer.Proposer(model, append(slices.Clone(others), vm)) == vm {
			return vm
		}
	}
}
