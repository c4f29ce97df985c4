package stager_test

import (
	"fmt"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/stager"
)

const (
	engines = buckthorndyke.ServiceID("engines")
	now     = 100 * buckthorndyke.Second
	// memoryMB is the memory of a runner; three of most models fit.
	memoryMB = 200_000
	models   = 12
	vm       = buckthorndyke.VMID("vm")
)

func TestPlan(t *testing.T) {
	t.Run("a model that requests wait for is loaded where there is room", func(t *testing.T) {
		f := floorOf(runner("a", 0, 1, 2), runner("b", 3))
		assertIntents(t, wanting(f, 5), "load m5 at b from remote")
	})
	t.Run("a copy on a runner's disk is preferred", func(t *testing.T) {
		near := runner("b", 3)
		near.Copies = map[buckthorndyke.ModelID]buckthorndyke.Tier{"m5": buckthorndyke.TierDisk}
		f := floorOf(runner("a"), near, runner("c"))
		assertIntents(t, wanting(f, 5), "load m5 at b from disk")
	})
	t.Run("a full runner first unloads what is wanted least", func(t *testing.T) {
		f := floorOf(withCopies(runner("a", 0, 1, 2)))
		f = f.WithDemand(vm, []buckthorndyke.DemandLine{
			{Arrivals: 9, Key: key(0)}, {Arrivals: 9, Key: key(2)}, {Due: buckthorndyke.Second, Key: key(5), Waiting: 1},
		}, now)
		assertIntents(t, f, "unload m1 at a from memory")
	})
	t.Run("what runs or waits elsewhere is not unloaded for less", func(t *testing.T) {
		f := floorOf(runner("a", 0, 1, 2))
		f = f.WithDemand(vm, []buckthorndyke.DemandLine{
			{Key: key(0), Running: 9},
			{Key: key(1), Running: 9},
			{Key: key(2), Running: 9},
			{Due: buckthorndyke.Second, Key: key(5), Waiting: 1},
		}, now)
		assertIntents(t, f)
	})
	t.Run("a model is loaded once for all that wait", func(t *testing.T) {
		f := floorOf(runner("a"), runner("b"))
		f = wanting(f, 5)
		for _, i := range f.Plan(now) {
			f = f.WithOrder(i, now)
		}
		assertIntents(t, f.WithDemand("other", []buckthorndyke.DemandLine{{Key: key(5), Waiting: 3}}, now))
	})
	t.Run("a runner that has not reported gets no order", func(t *testing.T) {
		f := stager.NewFloor(4).WithRouting(routing()).WithBackends(listOf(runner("a")), now)
		assertIntents(t, wanting(f, 5))
		asserter.Equal(t, f.Doubtful(), []buckthorndyke.RunnerID{"a"})
	})
	t.Run("a runner that carries out an order of another leader gets none", func(t *testing.T) {
		b := runner("a")
		f := stager.NewFloor(4).WithRouting(routing()).WithBackends(listOf(b), now)
		f = f.WithReport(buckthorndyke.ModelReport{Backend: b, Busy: true, Orders: 6}, now)
		assertIntents(t, wanting(f, 5))
	})
	t.Run("the weight store keeps room for hot models", func(t *testing.T) {
		f := wanting(floorOf(runner("a"), runner("b"), runner("c"), runner("d"), runner("e"), runner("f")), 1, 2, 3, 4, 5, 6)
		asserter.Equal(t, len(f.Plan(now)), 3)
	})
	t.Run("a hot model does not wait for the loads under way", func(t *testing.T) {
		f := wanting(floorOf(runner("a"), runner("b"), runner("c"), runner("d")), 1, 2, 3)
		for _, i := range f.Plan(now) {
			f = f.WithOrder(i, now)
		}
		assertIntents(t, wanting(f, 4))
		f = f.WithDemand(vm, []buckthorndyke.DemandLine{{Arrivals: 60, Key: key(4), Waiting: 9}}, now)
		asserter.Equal(t, len(f.Plan(now)), 1)
	})
	t.Run("the loads of another leader count", func(t *testing.T) {
		f := floorOf(runner("a"), runner("b"), runner("c"), runner("d"), runner("e"))
		for _, id := range []buckthorndyke.RunnerID{"a", "b", "c"} {
			b := runner(id)
			f = f.WithReport(buckthorndyke.ModelReport{Backend: b, Busy: true, Orders: 1}, now)
		}
		assertIntents(t, wanting(f, 5))
	})
	t.Run("copies of models that were asked for come first, also while others wait", func(t *testing.T) {
		f := floorOf(runner("a", 0, 1), runner("b", 2, 3))
		f = f.WithDemand(vm, []buckthorndyke.DemandLine{{Arrivals: 2, Key: key(6)}, {Due: 900, Key: key(0), Waiting: 1}}, now)
		assertIntents(t, f, "load m6 at a from remote")
	})
	t.Run("copies ahead of need leave more room once something is asked for", func(t *testing.T) {
		f := floorOf(runner("a"), runner("b"), runner("c"), runner("d"), runner("e"))
		asserter.Equal(t, len(f.Plan(now)), 5)
		asked := f.WithDemand(vm, []buckthorndyke.DemandLine{{Key: key(0), Running: 1}}, now)
		asserter.Equal(t, len(asked.Plan(now)), 2)
	})
	t.Run("a hot model that one runner holds gets another replica", func(t *testing.T) {
		f := floorOf(withCopies(runner("a", 0)), runner("b", 1))
		f = f.WithDemand(vm, []buckthorndyke.DemandLine{{Arrivals: 40, Key: key(0), Running: 2}}, now)
		assertIntents(t, f, "load m0 at b from remote")
	})
	t.Run("the replica of an overloaded model comes before what waits", func(t *testing.T) {
		f := floorOf(withCopies(runner("a", 0)), withCopies(runner("b", 1, 2, 3)))
		f = f.WithDemand(vm, []buckthorndyke.DemandLine{
			{Arrivals: 90, Key: key(0), Running: 30}, {Due: 900, Key: key(5), Waiting: 1},
		}, now)
		got := f.Plan(now)
		asserter.Equal(t, got[0].Goal, key(0).Model)
	})
	t.Run("a replica that the others can do without is unloaded first", func(t *testing.T) {
		f := floorOf(withCopies(runner("a", 0, 1)), withCopies(runner("b", 0, 2, 3)))
		f = f.WithDemand(vm, []buckthorndyke.DemandLine{
			{Arrivals: 30, Key: key(0), Running: 1},
			{Arrivals: 1, Key: key(2)},
			{Arrivals: 1, Key: key(3)},
			{Due: 900, Key: key(5), Waiting: 1},
		}, now)
		assertIntents(t, f, "load m5 at a from disk")
		assertIntents(t, withoutRoom(f), "unload m0 at b from memory")
	})
	t.Run("a replica that carries load is not unloaded", func(t *testing.T) {
		f := withoutRoom(floorOf(withCopies(runner("a", 0, 1)), withCopies(runner("b", 0, 2, 3))))
		f = f.WithDemand(vm, []buckthorndyke.DemandLine{
			{Arrivals: 90, Key: key(0), Running: 14},
			{Arrivals: 1, Key: key(2)},
			{Key: key(3)},
			{Due: 900, Key: key(5), Waiting: 1},
		}, now)
		asserter.True(t, f.Plan(now)[0].Model != key(0).Model, "the replica is unloaded")
	})
	t.Run("a model whose runner is nearly full gets another replica", func(t *testing.T) {
		f := floorOf(withCopies(runner("a", 0)), runner("b", 1))
		f = f.WithDemand(vm, []buckthorndyke.DemandLine{{Arrivals: 60, Key: key(0), Running: 30}}, now)
		assertIntents(t, f, "load m0 at b from remote")
	})
	t.Run("an overloaded model does not wait for a replica that takes long", func(t *testing.T) {
		f := floorOf(withCopies(runner("a", 0)), runner("b"), withCopies(runner("c", 1)))
		load := stager.Intent{Goal: key(0).Model, Kind: buckthorndyke.OrderLoad, Model: key(0).Model, Runner: "b", Tier: buckthorndyke.TierRemote}
		f = f.WithOrder(load, now).WithAccepted("b", 1)
		lines := []buckthorndyke.DemandLine{{Arrivals: 90, Key: key(0), Running: 40}}
		assertIntents(t, f.WithDemand(vm, lines, now))
		f = floorOf(withCopies(runner("a", 0)), runner("b", 0), runner("d"), withCopies(runner("c", 1)))
		f = f.WithOrder(stager.Intent{
			Goal: key(0).Model, Kind: buckthorndyke.OrderLoad, Model: key(0).Model, Runner: "d", Tier: buckthorndyke.TierRemote,
		}, now).WithAccepted("d", 1)
		lines[0].Running = 80
		assertIntents(t, f.WithDemand(vm, lines, now), "load m0 at c from disk")
	})
	t.Run("a hot model with one replica waits for the loads under way", func(t *testing.T) {
		f := wanting(floorOf(runner("a"), runner("b"), runner("c"), runner("d"), runner("e", 4), runner("f", 5)), 1, 2, 3)
		for _, i := range f.Plan(now) {
			f = f.WithOrder(i, now)
		}
		f = f.WithDemand(vm, []buckthorndyke.DemandLine{{Arrivals: 60, Key: key(4), Running: 1}}, now)
		for _, i := range f.Plan(now) {
			f = f.WithOrder(i, now)
		}
		f = f.WithDemand(vm, []buckthorndyke.DemandLine{{Arrivals: 60, Key: key(5), Running: 1}, {Key: key(4), Running: 1}}, now)
		assertIntents(t, f)
	})
	t.Run("a replica is not taken from the weight store while a runner with a copy is about to be free", func(t *testing.T) {
		f := floorOf(withCopies(runner("a", 0)), withCopies(runner("b", 1)), runner("c"))
		f = f.WithOrder(stager.Intent{Adapter: "a1", Kind: buckthorndyke.OrderLoad, Model: key(1).Model, Runner: "b"}, now)
		f = f.WithDemand(vm, []buckthorndyke.DemandLine{{Arrivals: 60, Key: key(0), Running: 30}}, now)
		assertIntents(t, f)
	})
	t.Run("a model that no runner has a copy of is loaded while nothing waits", func(t *testing.T) {
		a := withCopies(runner("a", 0))
		delete(a.Copies, "m5")
		assertIntents(t, floorOf(a), "load m5 at a from remote")
		k := key(7)
		f := floorOf(a).WithDemand(vm, []buckthorndyke.DemandLine{{Key: k, Waiting: 1}}, now)
		assertIntents(t, f, "load m7 at a from disk")
	})
	t.Run("a model with many requests for each copy gets another ahead of need", func(t *testing.T) {
		f := floorOf(withCopies(runner("a", 0, 1, 2)), withCopies(runner("b", 0, 1, 3)), runner("c", 4))
		busy := func(arrivals int) stager.Floor {
			return f.WithDemand(vm, []buckthorndyke.DemandLine{{Arrivals: arrivals, Key: key(0), Running: 1}}, now)
		}
		assertIntents(t, busy(400), "load m0 at c from remote")
		assertIntents(t, busy(300))
	})
	t.Run("an adapter goes to the runner with the fewest", func(t *testing.T) {
		a, b := runner("a", 0), runner("b", 0)
		a.Holdings[0].Adapters = []string{"a1"}
		k := key(0)
		k.Adapter = "a2"
		f := floorOf(a, b).WithDemand(vm, []buckthorndyke.DemandLine{{Key: k, Waiting: 1}}, now)
		assertIntents(t, f, "load m0/a2 at b from remote")
	})
	t.Run("an adapter that is not in use makes room for another", func(t *testing.T) {
		a := runner("a", 0)
		a.Holdings[0].Adapters = []string{"a1", "a2"}
		k, used := key(0), key(0)
		k.Adapter, used.Adapter = "a3", "a1"
		f := floorOf(a).WithDemand(vm, []buckthorndyke.DemandLine{
			{Key: k, Waiting: 1}, {Arrivals: 4, Key: used, Running: 1},
		}, now)
		assertIntents(t, f, "unload m0/a2 at a from memory")
	})
}

func TestTerms(t *testing.T) {
	full := floorOf(withCopies(runner("a", 0, 1, 2)))
	t.Run("a new leader unloads nothing before the VMs have told their demand", func(t *testing.T) {
		f := wanting(full.WithTerm(now), 5)
		assertIntents(t, f)
		asserter.Equal(t, len(wanting(f, 5).Plan(now+1400)), 1)
	})
	t.Run("a new leader loads where there is room", func(t *testing.T) {
		assertIntents(t, wanting(floorOf(runner("b", 3)).WithTerm(now), 5), "load m5 at b from remote")
	})
	t.Run("a new leader knows no demand of its earlier term", func(t *testing.T) {
		f := full.WithDemand(vm, []buckthorndyke.DemandLine{{Arrivals: 90, Key: key(2)}}, now)
		asserter.True(t, f.Heard(vm), "the VM was not heard")
		asserter.True(t, !f.WithTerm(now).Heard(vm), "the VM was heard in this term")
	})
	t.Run("the arrivals of a first report are left to the next one", func(t *testing.T) {
		line := []buckthorndyke.DemandLine{{Arrivals: 60, Key: key(0)}}
		d := stager.Demand{}.WithReport(vm, line, now)
		asserter.Equal(t, d.PerSecond(key(0), now), 0.0)
		asserter.Equal(t, d.WithReport(vm, line, now).PerSecond(key(0), now), 5.0)
	})
}

func TestLoadTimes(t *testing.T) {
	// loaded returns a floor on which n loads from the weight store, sent together,
	// have each taken a time.
	loaded := func(n int, took buckthorndyke.Millis) stager.Floor {
		var runners []buckthorndyke.Backend
		for i := range 9 {
			runners = append(runners, runner(buckthorndyke.RunnerID(rune('a'+i))))
		}
		f := floorOf(runners...)
		var sent []stager.Intent
		for i := range n {
			load := stager.Intent{Kind: buckthorndyke.OrderLoad, Model: key(i).Model, Runner: runners[i].ID, Tier: buckthorndyke.TierRemote}
			f = f.WithOrder(load, now-took).WithAccepted(load.Runner, 1)
			sent = append(sent, load)
		}
		for _, load := range sent {
			f = f.WithDone(load, now)
		}
		return f
	}
	// atOnce returns the loads that are given at once to models that requests wait
	// for, with the one that is left to hot models.
	atOnce := func(f stager.Floor) int {
		return len(wanting(f, 4, 5, 6, 7, 8, 9, 10, 11).Plan(now)) + 1
	}
	t.Run("loads that take their time change nothing", func(t *testing.T) {
		asserter.Equal(t, atOnce(loaded(3, 6300)), 4)
	})
	t.Run("loads that share the weight store teach what it allows", func(t *testing.T) {
		asserter.Equal(t, atOnce(loaded(4, 12300)), 2)
	})
	t.Run("loads under way that take long teach that they share the weight store", func(t *testing.T) {
		f := floorOf(runner("a"), runner("b"), runner("c"), runner("d"), runner("e"), runner("f"), runner("g"), runner("h"))
		for i, id := range []buckthorndyke.RunnerID{"a", "b", "c", "d"} {
			load := stager.Intent{Kind: buckthorndyke.OrderLoad, Model: key(i).Model, Runner: id, Tier: buckthorndyke.TierRemote}
			f = f.WithOrder(load, now-10*buckthorndyke.Second).WithAccepted(id, 1)
		}
		f = f.WithSlowLoads(now).WithSlowLoads(now + 100)
		for i, id := range []buckthorndyke.RunnerID{"a", "b", "c", "d"} {
			f = f.WithDone(stager.Intent{Kind: buckthorndyke.OrderLoad, Model: key(i).Model, Runner: id}, now+100)
		}
		asserter.Equal(t, atOnce(f), 2)
	})
	t.Run("a leader goes on from what another has learnt", func(t *testing.T) {
		asserter.Equal(t, atOnce(loaded(0, 0).WithAtOnce(6)), 6)
	})
	t.Run("one slow load does not stop the others", func(t *testing.T) {
		asserter.Equal(t, atOnce(loaded(1, buckthorndyke.Minute)), 2)
	})
	t.Run("more loads that take their time teach that the weight store allows more", func(t *testing.T) {
		asserter.Equal(t, atOnce(loaded(4, 6300)), 4)
		asserter.Equal(t, atOnce(loaded(5, 6300)), 5)
		asserter.Equal(t, atOnce(loaded(6, 6300)), 6)
	})
}

func TestExpected(t *testing.T) {
	waiting := []buckthorndyke.DemandLine{{Key: key(5), Waiting: 1}}
	load := stager.Intent{Goal: "m5", Kind: buckthorndyke.OrderLoad, Model: "m5", Runner: "a", Tier: buckthorndyke.TierRemote}
	unload := stager.Intent{Goal: "m5", Kind: buckthorndyke.OrderUnload, Model: "m2", Runner: "a"}
	full := floorOf(withCopies(runner("a", 0, 1, 2)))
	t.Run("a model that is being loaded is expected", func(t *testing.T) {
		got := floorOf(runner("a")).WithOrder(load, now).Expected(waiting, now+buckthorndyke.Second)
		asserter.Equal(t, got, []buckthorndyke.Expectation{{In: 5300, Key: key(5)}})
	})
	t.Run("a model that room is made for is expected later", func(t *testing.T) {
		got := full.WithOrder(unload, now).Expected(waiting, now)
		asserter.Equal(t, len(got), 1)
		asserter.True(t, got[0].In > 500, "the unload takes no time")
	})
	t.Run("a model that nobody loads is not expected", func(t *testing.T) {
		asserter.Equal(t, len(full.Expected(waiting, now)), 0)
	})
	t.Run("a model that only the weight store has is expected after those under way", func(t *testing.T) {
		f := floorOf(runner("a"), runner("b"), runner("c"), runner("d"), runner("e"))
		for i, id := range []buckthorndyke.RunnerID{"a", "b", "c", "d"} {
			f = f.WithOrder(stager.Intent{Kind: buckthorndyke.OrderLoad, Model: key(i).Model, Runner: id, Tier: buckthorndyke.TierRemote}, now)
		}
		got := f.Expected(waiting, now)
		asserter.Equal(t, len(got), 1)
		asserter.True(t, got[0].In > 7*buckthorndyke.Second, "the loads under way do not count")
	})
	t.Run("what does not wait is not told", func(t *testing.T) {
		got := full.WithOrder(load, now).Expected([]buckthorndyke.DemandLine{{Key: key(5), Running: 1}}, now)
		asserter.Equal(t, len(got), 0)
	})
}

func TestReports(t *testing.T) {
	load5 := stager.Intent{Kind: buckthorndyke.OrderLoad, Model: "m5", Runner: "a"}
	t.Run("the end of an earlier order does not end a later one", func(t *testing.T) {
		load := stager.Intent{Adapter: "a1", Kind: buckthorndyke.OrderLoad, Model: "m0", Runner: "a"}
		unload := stager.Intent{Adapter: "a1", Kind: buckthorndyke.OrderUnload, Model: "m0", Runner: "a"}
		with := runner("a", 0)
		with.Holdings[0].Adapters = []string{"a1"}
		f := floorOf(runner("a", 0)).WithOrder(load, now).WithAccepted("a", 1)
		f = f.WithReport(buckthorndyke.ModelReport{Backend: with, Orders: 1}, now)
		f = f.WithOrder(unload, now).WithAccepted("a", 2)
		f = f.WithDone(load, now).WithFailed(load, now)
		asserter.Equal(t, len(f.Pending()), 1)
	})
	t.Run("an entry of the list that is older than an order is not believed", func(t *testing.T) {
		listed := runner("a", 0, 1, 2)
		f := floorOf(listed)
		unload := stager.Intent{Kind: buckthorndyke.OrderUnload, Model: "m2", Runner: "a"}
		f = f.WithOrder(unload, now).WithAccepted("a", 1).WithDone(unload, now)
		f = f.WithOrder(load5, now).WithAccepted("a", 2).WithDone(load5, now)
		// The list returns after an outage with the entry from before both orders.
		f = f.WithBackends(listOf(listed), now+9*buckthorndyke.Second)
		assertIntents(t, wanting(f, 6))
		asserter.Equal(t, f.Doubtful(), []buckthorndyke.RunnerID{"a"})
	})
	t.Run("a report ends an order that it shows to be carried out", func(t *testing.T) {
		f := floorOf(runner("a"))
		f = f.WithOrder(load5, now).WithAccepted("a", 1)
		f = f.WithReport(buckthorndyke.ModelReport{Backend: runner("a"), Busy: true, Orders: 1}, now)
		asserter.Equal(t, len(f.Pending()), 1)
		f = f.WithReport(buckthorndyke.ModelReport{Backend: runner("a", 5), Orders: 1}, now)
		asserter.Equal(t, len(f.Pending()), 0)
		asserter.True(t, f.Serves(key(5)), "the model is not served")
	})
	t.Run("a runner that does not answer is held to be gone", func(t *testing.T) {
		f := wanting(floorOf(withCopies(runner("a", 5)), runner("b", 3)), 5)
		assertIntents(t, f)
		asserter.Equal(t, f.Doubtful(), []buckthorndyke.RunnerID{"a"})
		f = f.WithSilence("a")
		assertIntents(t, f)
		f = f.WithSilence("a")
		assertIntents(t, f, "load m5 at b from remote")
		asserter.True(t, !f.Serves(key(5)), "a silent runner serves")
		asserter.Equal(t, f.Doubtful(), []buckthorndyke.RunnerID{"a"})
		f = f.WithReport(buckthorndyke.ModelReport{Backend: runner("a", 5)}, now)
		assertIntents(t, f)
		asserter.True(t, f.Serves(key(5)), "a runner that is back does not serve")
	})
	t.Run("the order of a runner that does not answer is not waited for", func(t *testing.T) {
		f := wanting(floorOf(runner("a"), runner("b", 3)), 5).WithOrder(load5, now)
		assertIntents(t, f)
		assertIntents(t, f.WithSilence("a").WithSilence("a"), "load m5 at b from remote")
	})
	t.Run("a report from before an order changes nothing", func(t *testing.T) {
		f := floorOf(runner("a"))
		f = f.WithOrder(load5, now).WithAccepted("a", 1).WithDone(load5, now)
		f = f.WithReport(buckthorndyke.ModelReport{Backend: runner("a"), Orders: 0}, now)
		asserter.True(t, f.Serves(key(5)), "the model is not served")
	})
	t.Run("an order without effect is given up", func(t *testing.T) {
		f := floorOf(runner("a"))
		f = f.WithOrder(load5, now)
		f = f.WithReport(buckthorndyke.ModelReport{Backend: runner("a"), Orders: 0}, now+5*buckthorndyke.Second)
		asserter.Equal(t, len(f.Pending()), 0)
	})
	t.Run("a new life of a runner is a new runner", func(t *testing.T) {
		again := runner("a")
		again.Started = 2
		f := floorOf(runner("a", 0)).WithBackends(listOf(again), now)
		asserter.True(t, !f.Serves(key(0)), "a restarted runner still serves")
		asserter.Equal(t, f.Doubtful(), []buckthorndyke.RunnerID{"a"})
	})
}

// TestRoom checks for random demand that no runner is ordered to hold more than
// it has room for, and that a runner has one order at a time.
func TestRoom(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 200
	properties := gopter.NewProperties(parameters)
	properties.Property("memory and adapter slots are kept", prop.ForAll(func(wants []int) string {
		f := floorOf(runner("a", 0, 1), runner("b", 2, 3, 4), runner("c"))
		at := now
		var sent []stager.Intent
		for step, want := range wants {
			at += 300
			k := key(want % models)
			if step%3 == 2 {
				k.Adapter = fmt.Sprintf("a%d", want)
			}
			f = f.WithDemand(vm, []buckthorndyke.DemandLine{{Arrivals: 1, Key: k, Waiting: 1}}, at)
			for _, i := range f.Plan(at) {
				if _, ok := f.Pending()[i.Runner]; ok {
					return "a second order for " + string(i.Runner)
				}
				f = f.WithOrder(i, at)
				sent = append(sent, i)
				if fault := overfull(f, i); fault != "" {
					return fault
				}
			}
			if step%2 == 1 {
				for _, i := range sent {
					f = f.WithDone(i, at)
				}
				sent = nil
			}
		}
		return ""
	}, gen.SliceOfN(60, gen.IntRange(0, 40))))
	properties.TestingRun(t)
}

// assertIntents reports an error unless the floor plans just the orders in want.
func assertIntents(t *testing.T, f stager.Floor, want ...string) {
	t.Helper()
	var got []string
	for _, i := range f.Plan(now) {
		name := string(i.Model)
		if i.Adapter != "" {
			name += "/" + i.Adapter
		}
		tier := buckthorndyke.TierMemory
		if i.Kind == buckthorndyke.OrderLoad {
			tier = i.Tier
		}
		got = append(got, fmt.Sprintf("%s %s at %s from %s", i.Kind, name, i.Runner, tier))
	}
	asserter.Equal(t, got, want)
}

// floorOf returns a floor whose runners have reported what they hold.
func floorOf(runners ...buckthorndyke.Backend) stager.Floor {
	f := stager.NewFloor(4).WithRouting(routing()).WithBackends(listOf(runners...), now-20*buckthorndyke.Second)
	for _, r := range runners {
		f = f.WithReport(buckthorndyke.ModelReport{Backend: r}, now-20*buckthorndyke.Second)
	}
	// A VM's first report is asked for once more with all recent arrivals.
	return f.WithDemand(vm, nil, now-20*buckthorndyke.Second)
}

// key returns the key of the model with number n.
func key(n int) buckthorndyke.ModelKey {
	return buckthorndyke.ModelKey{Model: buckthorndyke.ModelID(fmt.Sprintf("m%d", n)), Service: engines}
}

// listOf returns a list of just the given servers.
func listOf(servers ...buckthorndyke.Backend) buckthorndyke.Backends {
	var list buckthorndyke.Backends
	for _, s := range servers {
		list.Listed = list.Listed.With(s.ID, s)
	}
	return list
}

// overfull returns what is wrong with the runner of an order, or nothing.
func overfull(f stager.Floor, i stager.Intent) string {
	if i.Kind != buckthorndyke.OrderLoad {
		return ""
	}
	b, _ := f.Backend(i.Runner)
	used, adapters := 0, 0
	for _, h := range b.Holdings {
		used += sizeOf(h.Model) + 40*len(h.Adapters)
		adapters += len(h.Adapters)
	}
	if i.Adapter != "" {
		used, adapters = used+40, adapters+1
	} else {
		used += sizeOf(i.Model)
	}
	if used > memoryMB || adapters > 2 {
		return fmt.Sprintf("%s holds %d MB and %d adapters", i.Runner, used, adapters)
	}
	return ""
}

// routing returns a configuration whose runners hold two adapters.
func routing() buckthorndyke.Routing {
	facts := &buckthorndyke.EngineFacts{AdapterSlots: 2, LoadsPerSecond: 4, MemoryMB: memoryMB, Slots: 64}
	for n := range models {
		facts.Models = facts.Models.With(key(n).Model, buckthorndyke.ModelFacts{
			AdapterMB: 40, Adapters: 41, MemoryMB: sizeOf(key(n).Model),
			LoadTimes: map[buckthorndyke.Tier]buckthorndyke.Millis{
				buckthorndyke.TierDisk: buckthorndyke.Second, buckthorndyke.TierMemory: 400,
				buckthorndyke.TierRemote: 6 * buckthorndyke.Second,
			},
		})
	}
	return buckthorndyke.Routing{Version: 1}.WithService(buckthorndyke.BackendService{Engine: facts, ID: engines})
}

// runner returns a runner that holds the models with the given numbers.
func runner(id buckthorndyke.RunnerID, held ...int) buckthorndyke.Backend {
	b := buckthorndyke.Backend{ID: id, Service: engines, Slots: 64, Started: 1}
	for _, n := range held {
		b.Holdings = append(b.Holdings, buckthorndyke.Holding{Model: key(n).Model})
	}
	return b
}

// sizeOf returns the memory of a model in megabytes.
func sizeOf(model buckthorndyke.ModelID) int {
	for n := range models {
		if key(n).Model == model && n >= 7 {
			return 20_000 + 10_000*n
		}
	}
	return 65_000
}

// wanting returns a floor on which one request waits for each of the models.
func wanting(f stager.Floor, wanted ...int) stager.Floor {
	var lines []buckthorndyke.DemandLine
	for _, n := range wanted {
		lines = append(lines, buckthorndyke.DemandLine{Arrivals: 1, Due: buckthorndyke.Second, Key: key(n), Waiting: 1})
	}
	return f.WithDemand(vm, lines, now)
}

// withoutRoom returns f whose first runner has an outstanding order.
func withoutRoom(f stager.Floor) stager.Floor {
	return f.WithOrder(stager.Intent{Kind: buckthorndyke.OrderUnload, Model: "m1", Runner: "a"}, now)
}

// withCopies returns b with copies of all models on its disk.
func withCopies(b buckthorndyke.Backend) buckthorndyke.Backend {
	b.Copies = make(map[buckthorndyke.ModelID]buckthorndyke.Tier)
	for n := range models {
		b.Copies[key(n).Model] = buckthorndyke.TierDisk
	}
	return b
}
