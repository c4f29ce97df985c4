package stager_test

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/stager"
)

// impatient returns v with a route whose requests wait 2 s for a model: longer than a
// load from a disk takes, shorter than one from the weight store.
func impatient(v stager.View) stager.View {
	route := buckthorndyke.Route{
		Host: "h", Kind: buckthorndyke.RouteStream, LatencyTarget: 400, Name: "alerts", Prefix: "/",
		Targets: []buckthorndyke.RouteTarget{{Service: engines, Weight: 1}}, Timeout: 4 * buckthorndyke.Second,
	}
	return v.WithRouting(routing().WithRoutes([]buckthorndyke.Route{route}))
}

// without returns b without copies of the models with the given numbers.
func without(b buckthorndyke.Backend, copies ...int) buckthorndyke.Backend {
	for _, n := range copies {
		delete(b.Cached, key(n).Model)
	}
	return b
}

// TestEviction guards against evictions of models that cannot be loaded again in time, and
// against models that replace each other for one request at a time.
func TestEviction(t *testing.T) {
	// busy returns v with demand: arrivals by model, and requests that wait for model 5.
	busy := func(v stager.View, waiting int, arrivals map[int]int) stager.View {
		entries := []buckthorndyke.DemandEntry{{Key: key(5), TimeLeft: 1800, Waiting: waiting}}
		for n, count := range arrivals {
			entries = append(entries, buckthorndyke.DemandEntry{Arrivals: count, Key: key(n)})
		}
		return v.WithDemand(vm, entries, now)
	}
	t.Run("a model that only the weight store has is worth the requests lost by its load", func(t *testing.T) {
		v := impatient(viewOf(without(withCopies(runner("a", 0, 1, 2)), 0), without(withCopies(runner("b", 3, 4, 6)), 0)))
		arrivals := map[int]int{0: 5, 1: 20, 2: 20, 3: 8, 4: 20, 6: 20}
		assertOrders(t, busy(v, 1, arrivals), "unload m3 at b from memory")
	})
	t.Run("the last copy is evicted for requests that outnumber those lost", func(t *testing.T) {
		v := impatient(viewOf(without(withCopies(runner("a", 0, 2, 3)), 0)))
		arrivals := map[int]int{0: 2, 2: 100, 3: 100}
		assertOrders(t, busy(v, 1, arrivals))
		assertOrders(t, busy(v, 3, arrivals), "unload m0 at a from memory")
	})
	t.Run("a copy on the disk of another runner is enough", func(t *testing.T) {
		v := impatient(viewOf(without(withCopies(runner("a", 0, 2, 3)), 0), withCopies(runner("b", 4, 6, 1))))
		arrivals := map[int]int{0: 2, 1: 100, 2: 100, 3: 100, 4: 100, 6: 100}
		assertOrders(t, busy(v, 1, arrivals), "unload m0 at a from memory")
		assertOrders(t, busy(v.WithReportFailure("b").WithReportFailure("b"), 1, arrivals))
	})
	t.Run("a model is not evicted before it has paid for its load, unless for clearly more", func(t *testing.T) {
		load := loadOrder(1, "a", buckthorndyke.TierDisk)
		v := impatient(viewOf(without(withCopies(runner("a", 2, 3)), 5)))
		v = v.WithOrder(load, now-2500).WithAccepted("a", 1).WithPredictedEnd(load, now-1400)
		v = reported(v, without(withCopies(runner("a", 1, 2, 3)), 5), 1, false, now-1000)
		arrivals := map[int]int{1: 1, 2: 100, 3: 100, 5: 9}
		assertOrders(t, busy(v, 1, arrivals), "unload m1 at a from memory")
		// A copy ahead of demand is worth less than a waiting request.
		assertOrders(t, busy(v, 0, arrivals))
		assertKinds(t, busy(v, 0, arrivals).Plan(now+200), buckthorndyke.OrderUnload)
	})
	t.Run("a model that was loaded without demand is evicted at once", func(t *testing.T) {
		load := loadOrder(1, "a", buckthorndyke.TierDisk)
		v := impatient(viewOf(withCopies(runner("a", 2, 3))))
		v = v.WithOrder(load, now-2500).WithAccepted("a", 1).WithPredictedEnd(load, now-1400)
		v = reported(v, withCopies(runner("a", 1, 2, 3)), 1, false, now-1000)
		assertOrders(t, busy(v, 1, map[int]int{2: 100, 3: 100}), "unload m1 at a from memory")
	})
	t.Run("a load that ends in time is preferred to one that evicts nothing", func(t *testing.T) {
		v := impatient(viewOf(withCopies(runner("a", 0, 2, 3)), without(withCopies(runner("b", 1)), 5)))
		arrivals := map[int]int{0: 70, 1: 60, 2: 100, 3: 100}
		assertOrders(t, busy(v, 6, arrivals), "unload m0 at a from memory")
	})
}
