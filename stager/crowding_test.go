package stager_test

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/stager"
)

// assertClosed reports an error unless VMs are told that just the given models take no new
// requests at a runner.
func assertClosed(t *testing.T, v stager.View, id buckthorndyke.RunnerID, want ...buckthorndyke.ModelID) {
	t.Helper()
	var got []buckthorndyke.ModelID
	for _, r := range v.Index(stager.Index{}, now).RunnerModels(nil, now, now) {
		if r.Runner == id {
			got = r.Unloading
		}
	}
	asserter.Equal(t, got, want)
}

// TestCrowding guards against requests for other models that take slots of the only batch
// that a hot model has, although they could be served elsewhere.
func TestCrowding(t *testing.T) {
	// The batch has 64 slots.
	v := impatient(viewOf(withCopies(runner("a", 0, 1, 2)), withCopies(runner("b", 1, 3))))
	running := func(v stager.View, n int) stager.View {
		return v.WithDemand(vm, []buckthorndyke.DemandEntry{{Arrivals: 60, Key: key(0), Running: n}}, now).WithCrowding(now)
	}
	t.Run("other models on the runner of a hot one leave it to their other replicas", func(t *testing.T) {
		assertClosed(t, running(v, 50), "a", "m1")
		asserter.Equal(t, running(v, 50).CrowdedRunners(), 1)
		asserter.Equal(t, running(v, 40).CrowdedRunners(), 0)
	})
	t.Run("they come back once its batch has room", func(t *testing.T) {
		assertClosed(t, running(running(v, 50), 40), "a", "m1")
		relieved := running(running(v, 50), 20)
		assertClosed(t, relieved, "a")
		assertTold(t, relieved, nil, "a")
	})
	t.Run("not while a further replica is about to be loaded", func(t *testing.T) {
		soon := v.WithOrder(loadOrder(0, "b", buckthorndyke.TierDisk), now).WithAccepted("b", 1)
		asserter.Equal(t, running(soon, 50).CrowdedRunners(), 0)
		late := v.WithOrder(loadOrder(0, "b", buckthorndyke.TierRemote), now).WithAccepted("b", 1)
		assertClosed(t, running(late, 50), "a", "m1")
	})
	t.Run("not if the other replica is on a crowded, leaving or failed runner", func(t *testing.T) {
		both := impatient(viewOf(withCopies(runner("a", 0, 1)), withCopies(runner("b", 0, 1))))
		assertClosed(t, running(both, 100), "a")
		leaving := withCopies(runner("b", 1))
		leaving.Leaving = true
		assertClosed(t, running(impatient(viewOf(withCopies(runner("a", 0, 1)), leaving)), 50), "a")
		assertClosed(t, running(v.WithReportFailure("b").WithReportFailure("b"), 50), "a")
	})
	t.Run("a crowded runner is the last one to load another model", func(t *testing.T) {
		v := impatient(viewOf(withCopies(runner("a", 0)), withCopies(runner("b", 1)), withCopies(runner("c", 2))))
		v = v.WithDemand(vm, []buckthorndyke.DemandEntry{{Key: key(0), Running: 50}, {Key: key(5), TimeLeft: 1800, Waiting: 1}}, now)
		assertOrders(t, v, "load m0 at b from disk", "load m5 at a from disk")
		assertOrders(t, v.WithCrowding(now), "load m0 at b from disk", "load m5 at c from disk")
	})
}
