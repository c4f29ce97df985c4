package tester_test

import (
	"testing"
	"testing/synctest"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/tester"
)

func TestFleet(t *testing.T) {
	t.Run("a request for a model that is not loaded is served through any entry VM", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := tester.NewFleet(t, tester.Config{Nodes: 3, Runners: 3})
			f.ApplyRules(tester.Rules)
			f.AwaitServing()
			for node := range f.Nodes {
				outcome := f.Generate(t.Context(), node, tester.UrgentToken, "hall", "hello")
				asserter.NoError(t, outcome.Err)
				asserter.Equal(t, outcome.Text, tester.ExpectedText("hall", "hello"))
			}
			asserter.Equal(t, f.Loads("hall"), 1)
		})
	})
	t.Run("calls with one idempotency key through different entry VMs run once", func(t *testing.T) {
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
			outcome := f.Generate(t.Context(), 0, tester.UrgentToken, "none", "hello")
			asserter.Refused(t, outcome.Err, buckthorndyke.CodeModelUnknown, buckthorndyke.NotRun)
		})
	})
}

func TestPlannedStop(t *testing.T) {
	t.Run("a planned stop interrupts no request and hands over the runners", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newServingFleet(t)
			outcomes := generateOnAll(t, f)
			f.Stop(0)
			assertCompleteResponses(t, outcomes, len(f.Nodes))
			assertOwnsNothing(t, awaitRemoved(f, 1, f.Nodes[0].Self.VM), f.Nodes[0].Self.VM)
		})
	})
	t.Run("a VM that the platform reclaims stops on its own", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newServingFleet(t)
			outcomes := generateOnAll(t, f)
			f.Reclaim(0)
			f.AwaitExit(0)
			assertCompleteResponses(t, outcomes, len(f.Nodes))
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

// generateOnAll sends a request for a model that is not loaded through each node and
// returns once all of them are in progress.
func generateOnAll(t *testing.T, f *tester.Fleet) <-chan tester.Outcome {
	t.Helper()
	outcomes := make(chan tester.Outcome, len(f.Nodes))
	for node := range f.Nodes {
		go func() { outcomes <- f.Generate(t.Context(), node, tester.UrgentToken, "hall", "hello") }()
	}
	synctest.Wait()
	return outcomes
}

func assertOwnsNothing(t *testing.T, s buckthorndyke.State, vm buckthorndyke.VMID) {
	t.Helper()
	for runner, o := range s.Ownerships.All() {
		asserter.True(t, o.Owner != vm, string(vm)+" still owns "+string(runner))
	}
}

func assertCompleteResponses(t *testing.T, outcomes <-chan tester.Outcome, n int) {
	t.Helper()
	for range n {
		outcome := <-outcomes
		asserter.NoError(t, outcome.Err)
		asserter.Equal(t, outcome.Text, tester.ExpectedText("hall", "hello"))
	}
}

// awaitRemoved waits until vm is no member in the state of a node, and returns that
// state.
func awaitRemoved(f *tester.Fleet, node int, vm buckthorndyke.VMID) buckthorndyke.State {
	return f.Await(node, func(u buckthorndyke.StateUpdate) bool { return !u.State.Members.Has(vm) }).State
}
