package stager_test

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/stager"
)

func TestTerms(t *testing.T) {
	full := viewOf(withCopies(runner("a", 0, 1, 2)))
	t.Run("a new leader unloads nothing before the VMs have reported their demand", func(t *testing.T) {
		v := withWaiting(full.WithTerm(now), 5)
		assertOrders(t, v)
		asserter.Equal(t, len(withWaiting(v, 5).Plan(now+1400)), 1)
	})
	t.Run("a new leader loads where there is room", func(t *testing.T) {
		assertOrders(t, withWaiting(viewOf(runner("b", 3)).WithTerm(now), 5), "load m5 at b from remote")
	})
	t.Run("a new leader drops the demand of its earlier term", func(t *testing.T) {
		v := full.WithDemand(vm, []buckthorndyke.DemandEntry{{Arrivals: 90, Key: key(2)}}, now)
		asserter.True(t, v.HasReported(vm), "the report is missing")
		asserter.True(t, !v.WithTerm(now).HasReported(vm), "the report of the earlier term is kept")
	})
	t.Run("the arrivals in a VM's first report are not counted", func(t *testing.T) {
		line := []buckthorndyke.DemandEntry{{Arrivals: 60, Key: key(0)}}
		d := stager.Demand{}.WithReport(vm, line, now)
		asserter.Equal(t, d.ArrivalRate(key(0), now), 0.0)
		asserter.Equal(t, d.WithReport(vm, line, now).ArrivalRate(key(0), now), 5.0)
	})
}

func TestLoadTimes(t *testing.T) {
	// loaded returns a view after n concurrent loads from the weight store that each
	// took the given time.
	loaded := func(n int, took buckthorndyke.Millis) stager.View {
		var runners []buckthorndyke.Backend
		for i := range 9 {
			runners = append(runners, runner(buckthorndyke.RunnerID(rune('a'+i))))
		}
		v := viewOf(runners...)
		var sent []stager.PlannedOrder
		for i := range n {
			load := stager.PlannedOrder{Kind: buckthorndyke.OrderLoad, Model: key(i).Model, Runner: runners[i].ID, Tier: buckthorndyke.TierRemote}
			v = v.WithOrder(load, now-took).WithAccepted(load.Runner, 1)
			sent = append(sent, load)
		}
		for _, load := range sent {
			v = v.WithDone(load, now)
		}
		return v
	}
	// concurrent returns the number of loads that are planned at once for models that
	// requests wait for, plus the one reserved for hot models.
	concurrent := func(v stager.View) int {
		return len(withWaiting(v, 4, 5, 6, 7, 8, 9, 10, 11).Plan(now)) + 1
	}
	t.Run("loads at full speed change nothing", func(t *testing.T) {
		asserter.Equal(t, concurrent(loaded(3, 6300)), 4)
	})
	t.Run("slow concurrent loads lower the number at full speed", func(t *testing.T) {
		asserter.Equal(t, concurrent(loaded(4, 12300)), 2)
	})
	t.Run("slow loads in progress lower the number at full speed", func(t *testing.T) {
		v := viewOf(runner("a"), runner("b"), runner("c"), runner("d"), runner("e"), runner("f"), runner("g"), runner("h"))
		for i, id := range []buckthorndyke.RunnerID{"a", "b", "c", "d"} {
			load := stager.PlannedOrder{Kind: buckthorndyke.OrderLoad, Model: key(i).Model, Runner: id, Tier: buckthorndyke.TierRemote}
			v = v.WithOrder(load, now-10*buckthorndyke.Second).WithAccepted(id, 1)
		}
		v = v.WithSlowLoads(now).WithSlowLoads(now + 100)
		for i, id := range []buckthorndyke.RunnerID{"a", "b", "c", "d"} {
			v = v.WithDone(stager.PlannedOrder{Kind: buckthorndyke.OrderLoad, Model: key(i).Model, Runner: id}, now+100)
		}
		asserter.Equal(t, concurrent(v), 2)
	})
	t.Run("a leader adopts the number that another has learned", func(t *testing.T) {
		asserter.Equal(t, concurrent(loaded(0, 0).WithFullSpeedLoads(6)), 6)
	})
	t.Run("a single slow load at most halves the number at full speed", func(t *testing.T) {
		asserter.Equal(t, concurrent(loaded(1, buckthorndyke.Minute)), 2)
	})
	t.Run("more concurrent loads at full speed raise the number", func(t *testing.T) {
		asserter.Equal(t, concurrent(loaded(4, 6300)), 4)
		asserter.Equal(t, concurrent(loaded(5, 6300)), 5)
		asserter.Equal(t, concurrent(loaded(6, 6300)), 6)
	})
}

func TestReports(t *testing.T) {
	load5 := stager.PlannedOrder{Kind: buckthorndyke.OrderLoad, Model: "m5", Runner: "a"}
	t.Run("the end of an earlier order does not end a later one", func(t *testing.T) {
		load := stager.PlannedOrder{Adapter: "a1", Kind: buckthorndyke.OrderLoad, Model: "m0", Runner: "a"}
		unload := stager.PlannedOrder{Adapter: "a1", Kind: buckthorndyke.OrderUnload, Model: "m0", Runner: "a"}
		with := runner("a", 0)
		with.LoadedModels[0].Adapters = []string{"a1"}
		v := viewOf(runner("a", 0)).WithOrder(load, now).WithAccepted("a", 1)
		v = v.WithReport(buckthorndyke.BackendReport{AcceptedOrders: 1, Backend: with}, now)
		v = v.WithOrder(unload, now).WithAccepted("a", 2)
		v = v.WithDone(load, now).WithFailed(load, now)
		asserter.Equal(t, len(v.PendingOrders()), 1)
	})
	t.Run("an entry of the list from before an order is not applied", func(t *testing.T) {
		listed := runner("a", 0, 1, 2)
		v := viewOf(listed)
		unload := stager.PlannedOrder{Kind: buckthorndyke.OrderUnload, Model: "m2", Runner: "a"}
		v = v.WithOrder(unload, now).WithAccepted("a", 1).WithDone(unload, now)
		v = v.WithOrder(load5, now).WithAccepted("a", 2).WithDone(load5, now)
		// After an outage of the platform, the list has the entry from before both
		// orders.
		v = v.WithBackends(listOf(listed), now+9*buckthorndyke.Second)
		assertOrders(t, withWaiting(v, 6))
		asserter.Equal(t, v.RunnersToPoll(), []buckthorndyke.RunnerID{"a"})
	})
	t.Run("a report ends an order that it shows to be carried out", func(t *testing.T) {
		v := viewOf(runner("a"))
		v = v.WithOrder(load5, now).WithAccepted("a", 1)
		v = v.WithReport(buckthorndyke.BackendReport{AcceptedOrders: 1, Backend: runner("a"), Busy: true}, now)
		asserter.Equal(t, len(v.PendingOrders()), 1)
		v = v.WithReport(buckthorndyke.BackendReport{AcceptedOrders: 1, Backend: runner("a", 5)}, now)
		asserter.Equal(t, len(v.PendingOrders()), 0)
		asserter.True(t, v.Index(stager.Index{}, now).Serves(key(5)), "the model is not served")
	})
	t.Run("a runner whose reports fail counts as unresponsive", func(t *testing.T) {
		v := withWaiting(viewOf(withCopies(runner("a", 5)), runner("b", 3)), 5)
		assertOrders(t, v)
		asserter.Equal(t, v.RunnersToPoll(), []buckthorndyke.RunnerID{"a"})
		v = v.WithReportFailure("a")
		assertOrders(t, v)
		v = v.WithReportFailure("a")
		assertOrders(t, v, "load m5 at b from remote")
		asserter.True(t, !v.Index(stager.Index{}, now).Serves(key(5)), "an unresponsive runner serves")
		asserter.Equal(t, v.RunnersToPoll(), []buckthorndyke.RunnerID{"a"})
		v = v.WithReport(buckthorndyke.BackendReport{Backend: runner("a", 5)}, now)
		assertOrders(t, v)
		asserter.True(t, v.Index(stager.Index{}, now).Serves(key(5)), "a runner that responds again does not serve")
	})
	t.Run("the order of an unresponsive runner is not waited for", func(t *testing.T) {
		v := withWaiting(viewOf(runner("a"), runner("b", 3)), 5).WithOrder(load5, now)
		assertOrders(t, v)
		assertOrders(t, v.WithReportFailure("a").WithReportFailure("a"), "load m5 at b from remote")
	})
	t.Run("a report from before an order is ignored", func(t *testing.T) {
		v := viewOf(runner("a"))
		v = v.WithOrder(load5, now).WithAccepted("a", 1).WithDone(load5, now)
		v = v.WithReport(buckthorndyke.BackendReport{AcceptedOrders: 0, Backend: runner("a")}, now)
		asserter.True(t, v.Index(stager.Index{}, now).Serves(key(5)), "the model is not served")
	})
	t.Run("an order without effect ends after a timeout", func(t *testing.T) {
		v := viewOf(runner("a"))
		v = v.WithOrder(load5, now)
		v = v.WithReport(buckthorndyke.BackendReport{AcceptedOrders: 0, Backend: runner("a")}, now+5*buckthorndyke.Second)
		asserter.Equal(t, len(v.PendingOrders()), 0)
	})
	t.Run("a new incarnation of a runner starts from its list entry", func(t *testing.T) {
		again := runner("a")
		again.Incarnation = 2
		v := viewOf(runner("a", 0)).WithBackends(listOf(again), now)
		asserter.True(t, !v.Index(stager.Index{}, now).Serves(key(0)), "a restarted runner still serves")
		asserter.Equal(t, v.RunnersToPoll(), []buckthorndyke.RunnerID{"a"})
	})
}
