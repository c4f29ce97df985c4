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
	settle = 5 * buckthorndyke.Minute
	soon   = 10 * buckthorndyke.Second
)

func TestPlan(t *testing.T) {
	t.Run("all models are permitted ahead of requests, with one record each", func(t *testing.T) {
		inWorld(t, func(w *world) {
			w.start(4)
			w.apply(rulesOf(20, 2))
			before := w.peek().proposals
			w.wait(soon)
			assertPermitted(t, w, 20, 2)
			asserter.Equal(t, w.peek().proposals-before, 20)
		})
	})
	t.Run("nothing is proposed while the log is down", func(t *testing.T) {
		inWorld(t, func(w *world) {
			w.start(4)
			w.change(func(h *holding) { h.down = true })
			w.apply(rulesOf(5, 2))
			before := w.peek().proposals
			w.wait(soon)
			asserter.Equal(t, w.peek().proposals, before)
			w.change(func(h *holding) { h.down = false })
			w.wait(soon)
			assertPermitted(t, w, 5, 2)
		})
	})
	t.Run("a smaller maximum and a model that is gone are followed by withdrawals", func(t *testing.T) {
		inWorld(t, func(w *world) {
			w.start(4)
			w.apply(rulesOf(5, 3))
			w.wait(soon)
			w.apply(rulesOf(4, 1))
			w.wait(soon)
			assertPermitted(t, w, 4, 1)
			asserter.Equal(t, len(w.permitted("m4")), 0)
			w.free()
			asserter.Equal(t, w.peek().state.Placements.Has("m4"), false)
		})
	})
	t.Run("a rejected proposal is tried again, but ever more rarely", func(t *testing.T) {
		inWorld(t, func(w *world) {
			w.start(1)
			w.apply(rulesOf(1, 1))
			before := w.peek().proposals
			w.change(func(h *holding) { h.rejects = true })
			w.wait(10 * buckthorndyke.Minute)
			tries := w.peek().proposals - before
			asserter.True(t, tries >= 10 && tries <= 20, fmt.Sprint(tries, " tries in ten minutes"))
			w.change(func(h *holding) { h.rejects = false })
			w.wait(2 * buckthorndyke.Minute)
			assertPermitted(t, w, 1, 1)
		})
	})
	t.Run("the proposals of one VM are bounded", func(t *testing.T) {
		inWorld(t, func(w *world) {
			w.start(1, planner.WithFleetRate(1))
			w.apply(rulesOf(60, 1))
			before := w.peek().proposals
			w.wait(soon)
			asserter.True(t, w.peek().proposals-before <= 11, "more than one proposal a second")
		})
	})
}

func TestMoves(t *testing.T) {
	t.Run("a new runner draws permissions only once that has lasted", func(t *testing.T) {
		inWorld(t, func(w *world) {
			w.start(4, planner.WithSettleTime(settle))
			w.apply(rulesOf(20, 2))
			w.wait(soon)
			w.take("v0", "r9")
			before := w.peek().proposals
			w.wait(settle - soon)
			asserter.Equal(t, w.peek().proposals, before)
			w.wait(2 * soon)
			asserter.True(t, w.peek().proposals > before, "no permission moves")
			for _, model := range modelsOf(20) {
				asserter.True(t, len(w.permitted(model)) >= 1, "more than one permission moves at once")
			}
			w.free()
			w.wait(soon)
			assertPermitted(t, w, 20, 2)
		})
	})
	t.Run("a runner that is reclaimed loses its permissions at once", func(t *testing.T) {
		inWorld(t, func(w *world) {
			w.start(4, planner.WithSettleTime(settle))
			w.apply(rulesOf(20, 2))
			w.wait(soon)
			list := buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.VM]{}
			for i := range 4 {
				vm := buckthorndyke.VMID(fmt.Sprint("r", i))
				list = list.With(vm, buckthorndyke.VM{ID: vm, Leaving: i == 2})
			}
			asserter.NoError(t, w.liveness.Publish(w.ctx, buckthorndyke.Liveness{VMs: list}))
			w.wait(soon)
			w.free()
			w.wait(soon)
			assertPermitted(t, w, 20, 2)
			for _, model := range modelsOf(20) {
				asserter.Equal(t, slices.Contains(w.permitted(model), "r2"), false)
			}
		})
	})
	t.Run("another VM proposes for one that is suspected", func(t *testing.T) {
		inWorld(t, func(w *world) {
			w.start(3)
			ghost := rivalOf("m0", "v0", "v1", "v2")
			w.accept(buckthorndyke.JoinChange{Member: buckthorndyke.Member{Incarnation: 1, VM: ghost}})
			w.apply(rulesOf(1, 1))
			w.wait(soon)
			asserter.Equal(t, len(w.permitted("m0")), 0)
			l := buckthorndyke.Liveness{}.WithSuspect(ghost, 1, nil)
			asserter.NoError(t, w.liveness.Publish(w.ctx, l))
			w.wait(soon)
			assertPermitted(t, w, 1, 1)
		})
	})
}

// assertPermitted checks that each of n models is permitted on as many runners.
func assertPermitted(t *testing.T, w *world, n, replicas int) {
	t.Helper()
	for _, model := range modelsOf(n) {
		asserter.Equal(t, len(w.permitted(model)), replicas)
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

// rivalOf returns a VM that would propose for model in place of the others.
func rivalOf(model buckthorndyke.ModelID, others ...buckthorndyke.VMID) buckthorndyke.VMID {
	for i := 0; ; i++ {
		rival := buckthorndyke.VMID(fmt.Sprint("rival", i))
		if placer.Proposer(model, append(slices.Clone(others), rival)) == rival {
			return rival
		}
	}
}
