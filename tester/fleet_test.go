package tester_test

import (
	"testing"
	"testing/synctest"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/tester"
)

func TestFleet(t *testing.T) {
	t.Run("a request to a cold model is served through any entry VM", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := tester.NewFleet(t, tester.Config{Nodes: 3, Runners: 3})
			f.ApplyRules(tester.Rules)
			f.AwaitServing()
			for node := range f.Nodes {
				answer := f.Generate(t.Context(), node, tester.UrgentToken, "hall", "hello")
				asserter.NoError(t, answer.Err)
				asserter.Equal(t, answer.Text, tester.ExpectedText("hall", "hello"))
			}
			asserter.Equal(t, f.Loads("hall"), 1)
		})
	})
	t.Run("a call with a key runs once through any entry VM", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := tester.NewFleet(t, tester.Config{Nodes: 3, Runners: 3})
			f.ApplyRules(tester.Rules)
			f.AwaitServing()
			key := f.NewKey()
			for node := range f.Nodes {
				_, err := f.Call(t.Context(), node, tester.UrgentToken, key)
				asserter.NoError(t, err)
			}
			asserter.Equal(t, f.CallsByKey(key), 1)
		})
	})
	t.Run("an unknown model is refused as not run", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := tester.NewFleet(t, tester.Config{Nodes: 1, Runners: 1})
			f.ApplyRules(tester.Rules)
			f.AwaitServing()
			answer := f.Generate(t.Context(), 0, tester.UrgentToken, "none", "hello")
			asserter.Refused(t, answer.Err, buckthorndyke.CodeModelUnknown, buckthorndyke.NotRun)
		})
	})
}

func TestPlannedStop(t *testing.T) {
	t.Run("a stop cuts no request and hands the runners over", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newServingFleet(t)
			answers := generateOnAll(t, f)
			f.Stop(0)
			assertCompleteResponses(t, answers, len(f.Nodes))
			assertOwnsNothing(t, awaitRemoved(f, 1, f.Nodes[0].Self.VM), f.Nodes[0].Self.VM)
		})
	})
	t.Run("a VM that the platform reclaims stops by itself", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newServingFleet(t)
			answers := generateOnAll(t, f)
			f.Reclaim(0)
			f.AwaitExit(0)
			assertCompleteResponses(t, answers, len(f.Nodes))
			assertOwnsNothing(t, awaitRemoved(f, 1, f.Nodes[0].Self.VM), f.Nodes[0].Self.VM)
		})
	})
}

func newServingFleet(t *testing.T) *tester.Fleet {
	t.Helper()
	f := tester.NewFleet(t, tester.Config{Nodes: 3, Runners: 3})
	f.ApplyRules(tester.Rules)
	f.AwaitServing()
	return f
}

// generateOnAll sends a request for a cold model through each node and returns
// once all are on their way.
func generateOnAll(t *testing.T, f *tester.Fleet) <-chan tester.Outcome {
	t.Helper()
	answers := make(chan tester.Outcome, len(f.Nodes))
	for node := range f.Nodes {
		go func() { answers <- f.Generate(t.Context(), node, tester.UrgentToken, "hall", "hello") }()
	}
	synctest.Wait()
	return answers
}

func assertOwnsNothing(t *testing.T, s buckthorndyke.State, vm buckthorndyke.VMID) {
	t.Helper()
	for runner, o := range s.Ownerships.All() {
		asserter.True(t, o.Owner != vm, string(vm)+" still owns "+string(runner))
	}
}

func assertCompleteResponses(t *testing.T, answers <-chan tester.Outcome, n int) {
	t.Helper()
	for range n {
		answer := <-answers
		asserter.NoError(t, answer.Err)
		asserter.Equal(t, answer.Text, tester.ExpectedText("hall", "hello"))
	}
}

// awaitGone waits until a node knows that vm is no member, and returns its state.
func awaitRemoved(f *tester.Fleet, node int, vm buckthorndyke.VMID) buckthorndyke.State {
	return f.Await(node, func(p buckthorndyke.StateUpdate) bool { return !p.State.Members.Has(vm) }).State
}
