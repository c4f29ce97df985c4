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
	// memoryMB is the memory of a runner, enough for three of most models.
	memoryMB = 200_000
	models   = 12
	vm       = buckthorndyke.VMID("vm")
)

func TestPlan(t *testing.T) {
	t.Run("a model that requests wait for is loaded where there is room", func(t *testing.T) {
		v := viewOf(runner("a", 0, 1, 2), runner("b", 3))
		assertOrders(t, withWaiting(v, 5), "load m5 at b from remote")
	})
	t.Run("a copy on a runner's disk is preferred", func(t *testing.T) {
		near := runner("b", 3)
		near.Cached = map[buckthorndyke.ModelID]buckthorndyke.Tier{"m5": buckthorndyke.TierDisk}
		v := viewOf(runner("a"), near, runner("c"))
		assertOrders(t, withWaiting(v, 5), "load m5 at b from disk")
	})
	t.Run("a full runner first unloads the model with the least demand", func(t *testing.T) {
		v := viewOf(withCopies(runner("a", 0, 1, 2)))
		v = v.WithDemand(vm, []buckthorndyke.DemandEntry{
			{Arrivals: 9, Key: key(0)}, {Arrivals: 9, Key: key(2)}, {Key: key(5), TimeLeft: buckthorndyke.Second, Waiting: 1},
		}, now)
		assertOrders(t, v, "unload m1 at a from memory")
	})
	t.Run("a model with running requests is not unloaded for one with less demand", func(t *testing.T) {
		v := viewOf(runner("a", 0, 1, 2))
		v = v.WithDemand(vm, []buckthorndyke.DemandEntry{
			{Key: key(0), Running: 9},
			{Key: key(1), Running: 9},
			{Key: key(2), Running: 9},
			{Key: key(5), TimeLeft: buckthorndyke.Second, Waiting: 1},
		}, now)
		assertOrders(t, v)
	})
	t.Run("a model that several VMs wait for is loaded once", func(t *testing.T) {
		v := viewOf(runner("a"), runner("b"))
		v = withWaiting(v, 5)
		for _, i := range v.Plan(now) {
			v = v.WithOrder(i, now)
		}
		assertOrders(t, v.WithDemand("other", []buckthorndyke.DemandEntry{{Key: key(5), Waiting: 3}}, now))
	})
	t.Run("a runner that has not reported gets no order", func(t *testing.T) {
		v := stager.NewView(4).WithRouting(routing()).WithBackends(listOf(runner("a")), now)
		assertOrders(t, withWaiting(v, 5))
		asserter.Equal(t, v.RunnersToPoll(), []buckthorndyke.RunnerID{"a"})
	})
	t.Run("a runner that carries out another leader's order gets none", func(t *testing.T) {
		b := runner("a")
		v := stager.NewView(4).WithRouting(routing()).WithBackends(listOf(b), now)
		v = v.WithReport(buckthorndyke.BackendReport{AcceptedOrders: 6, Backend: b, Busy: true}, now)
		assertOrders(t, withWaiting(v, 5))
	})
	t.Run("one load from the weight store is reserved for hot models", func(t *testing.T) {
		v := withWaiting(viewOf(runner("a"), runner("b"), runner("c"), runner("d"), runner("e"), runner("f")), 1, 2, 3, 4, 5, 6)
		asserter.Equal(t, len(v.Plan(now)), 3)
	})
	t.Run("a hot model does not wait for the loads in progress", func(t *testing.T) {
		v := withWaiting(viewOf(runner("a"), runner("b"), runner("c"), runner("d")), 1, 2, 3)
		for _, i := range v.Plan(now) {
			v = v.WithOrder(i, now)
		}
		assertOrders(t, withWaiting(v, 4))
		v = v.WithDemand(vm, []buckthorndyke.DemandEntry{{Arrivals: 60, Key: key(4), Waiting: 9}}, now)
		asserter.Equal(t, len(v.Plan(now)), 1)
	})
	t.Run("the loads that another leader has ordered count", func(t *testing.T) {
		v := viewOf(runner("a"), runner("b"), runner("c"), runner("d"), runner("e"))
		for _, id := range []buckthorndyke.RunnerID{"a", "b", "c"} {
			b := runner(id)
			v = v.WithReport(buckthorndyke.BackendReport{AcceptedOrders: 1, Backend: b, Busy: true}, now)
		}
		assertOrders(t, withWaiting(v, 5))
	})
	t.Run("models with demand are prefetched first, also while requests wait", func(t *testing.T) {
		v := viewOf(runner("a", 0, 1), runner("b", 2, 3))
		v = v.WithDemand(vm, []buckthorndyke.DemandEntry{{Arrivals: 2, Key: key(6)}, {Key: key(0), TimeLeft: 900, Waiting: 1}}, now)
		assertOrders(t, v, "load m6 at a from remote")
	})
	t.Run("fewer models are prefetched at once while there is demand", func(t *testing.T) {
		v := viewOf(runner("a"), runner("b"), runner("c"), runner("d"), runner("e"))
		asserter.Equal(t, len(v.Plan(now)), 5)
		asked := v.WithDemand(vm, []buckthorndyke.DemandEntry{{Key: key(0), Running: 1}}, now)
		asserter.Equal(t, len(asked.Plan(now)), 2)
	})
	t.Run("a hot model with one replica gets another", func(t *testing.T) {
		v := viewOf(withCopies(runner("a", 0)), runner("b", 1))
		v = v.WithDemand(vm, []buckthorndyke.DemandEntry{{Arrivals: 40, Key: key(0), Running: 2}}, now)
		assertOrders(t, v, "load m0 at b from remote")
	})
	t.Run("a replica of an overloaded model has priority over models that requests wait for", func(t *testing.T) {
		v := viewOf(withCopies(runner("a", 0)), withCopies(runner("b", 1, 2, 3)))
		v = v.WithDemand(vm, []buckthorndyke.DemandEntry{
			{Arrivals: 90, Key: key(0), Running: 30}, {Key: key(5), TimeLeft: 900, Waiting: 1},
		}, now)
		got := v.Plan(now)
		asserter.Equal(t, got[0].TargetModel, key(0).Model)
	})
	t.Run("a replica that the others can replace is unloaded first", func(t *testing.T) {
		v := viewOf(withCopies(runner("a", 0, 1)), withCopies(runner("b", 0, 2, 3)))
		v = v.WithDemand(vm, []buckthorndyke.DemandEntry{
			{Arrivals: 30, Key: key(0), Running: 1},
			{Arrivals: 1, Key: key(2)},
			{Arrivals: 1, Key: key(3)},
			{Key: key(5), TimeLeft: 900, Waiting: 1},
		}, now)
		assertOrders(t, v, "load m5 at a from disk")
		assertOrders(t, withBusyRunner(v), "unload m0 at b from memory")
	})
	t.Run("the second replica of a hot model is not unloaded for one request", func(t *testing.T) {
		v := withBusyRunner(viewOf(withCopies(runner("a", 0, 1)), withCopies(runner("b", 0, 2, 3))))
		v = v.WithDemand(vm, []buckthorndyke.DemandEntry{
			{Arrivals: 120, Key: key(0), Running: 1},
			{Arrivals: 1, Key: key(2)},
			{Arrivals: 1, Key: key(3)},
			{Key: key(5), TimeLeft: 900, Waiting: 1},
		}, now)
		asserter.True(t, v.Plan(now)[0].Model != key(0).Model, "the replica of m0 is unloaded")
	})
	t.Run("a replica that the others cannot replace is not unloaded", func(t *testing.T) {
		v := withBusyRunner(viewOf(withCopies(runner("a", 0, 1)), withCopies(runner("b", 0, 2, 3))))
		v = v.WithDemand(vm, []buckthorndyke.DemandEntry{
			{Arrivals: 90, Key: key(0), Running: 14},
			{Arrivals: 1, Key: key(2)},
			{Key: key(3)},
			{Key: key(5), TimeLeft: 900, Waiting: 1},
		}, now)
		asserter.True(t, v.Plan(now)[0].Model != key(0).Model, "the replica of m0 is unloaded")
	})
	t.Run("a model with a high batch use gets another replica", func(t *testing.T) {
		v := viewOf(withCopies(runner("a", 0)), runner("b", 1))
		v = v.WithDemand(vm, []buckthorndyke.DemandEntry{{Arrivals: 60, Key: key(0), Running: 30}}, now)
		assertOrders(t, v, "load m0 at b from remote")
	})
	t.Run("an overloaded model does not wait for a slow load of a replica", func(t *testing.T) {
		v := viewOf(withCopies(runner("a", 0)), runner("b"), withCopies(runner("c", 1)))
		load := stager.PlannedOrder{Kind: buckthorndyke.OrderLoad, Model: key(0).Model, Runner: "b", TargetModel: key(0).Model, Tier: buckthorndyke.TierRemote}
		v = v.WithOrder(load, now).WithAccepted("b", 1)
		entries := []buckthorndyke.DemandEntry{{Arrivals: 90, Key: key(0), Running: 40}}
		assertOrders(t, v.WithDemand(vm, entries, now))
		v = viewOf(withCopies(runner("a", 0)), runner("b", 0), runner("d"), withCopies(runner("c", 1)))
		v = v.WithOrder(stager.PlannedOrder{
			Kind: buckthorndyke.OrderLoad, Model: key(0).Model, Runner: "d", TargetModel: key(0).Model, Tier: buckthorndyke.TierRemote,
		}, now).WithAccepted("d", 1)
		entries[0].Running = 80
		assertOrders(t, v.WithDemand(vm, entries, now), "load m0 at c from disk")
	})
	t.Run("a hot model with one replica waits for the loads in progress", func(t *testing.T) {
		v := withWaiting(viewOf(runner("a"), runner("b"), runner("c"), runner("d"), runner("e", 4), runner("f", 5)), 1, 2, 3)
		for _, i := range v.Plan(now) {
			v = v.WithOrder(i, now)
		}
		v = v.WithDemand(vm, []buckthorndyke.DemandEntry{{Arrivals: 60, Key: key(4), Running: 1}}, now)
		for _, i := range v.Plan(now) {
			v = v.WithOrder(i, now)
		}
		v = v.WithDemand(vm, []buckthorndyke.DemandEntry{{Arrivals: 60, Key: key(5), Running: 1}, {Key: key(4), Running: 1}}, now)
		assertOrders(t, v)
	})
	t.Run("a replica is not loaded from the weight store while a runner with a copy finishes an order", func(t *testing.T) {
		v := viewOf(withCopies(runner("a", 0)), withCopies(runner("b", 1)), runner("c"))
		v = v.WithOrder(stager.PlannedOrder{Adapter: "a1", Kind: buckthorndyke.OrderLoad, Model: key(1).Model, Runner: "b"}, now)
		v = v.WithDemand(vm, []buckthorndyke.DemandEntry{{Arrivals: 60, Key: key(0), Running: 30}}, now)
		assertOrders(t, v)
	})
	t.Run("a model without a copy on a runner is prefetched while no request waits", func(t *testing.T) {
		a := withCopies(runner("a", 0))
		delete(a.Cached, "m5")
		assertOrders(t, viewOf(a), "load m5 at a from remote")
		k := key(7)
		v := viewOf(a).WithDemand(vm, []buckthorndyke.DemandEntry{{Key: k, Waiting: 1}}, now)
		assertOrders(t, v, "load m7 at a from disk")
	})
	t.Run("a model with too few copies for its request rate is prefetched", func(t *testing.T) {
		v := viewOf(withCopies(runner("a", 0, 1, 2)), withCopies(runner("b", 0, 1, 3)), runner("c", 4))
		busy := func(arrivals int) stager.View {
			return v.WithDemand(vm, []buckthorndyke.DemandEntry{{Arrivals: arrivals, Key: key(0), Running: 1}}, now)
		}
		assertOrders(t, busy(400), "load m0 at c from remote")
		assertOrders(t, busy(300))
	})
	t.Run("a load that ends too late for the waiting requests does not stop one from a disk", func(t *testing.T) {
		v := viewOf(runner("a"), withCopies(runner("b", 1)), runner("c"))
		v = v.WithOrder(loadOrder(5, "a", buckthorndyke.TierRemote), now).WithAccepted("a", 1)
		assertOrders(t, withWaiting(v, 5), "load m5 at b from disk")
	})
	t.Run("a load that makes room first does not stop one from a disk either", func(t *testing.T) {
		v := viewOf(runner("a", 1, 2, 3), withCopies(runner("b", 4)))
		unload := stager.PlannedOrder{Kind: buckthorndyke.OrderUnload, Model: "m1", Runner: "a", TargetModel: "m5", Tier: buckthorndyke.TierRemote}
		assertOrders(t, withWaiting(v.WithOrder(unload, now), 5), "load m5 at b from disk")
	})
	t.Run("a full runner with a copy makes room for a model that would be loaded too late", func(t *testing.T) {
		v := viewOf(runner("a"), withCopies(runner("b", 1, 2, 3)))
		v = v.WithOrder(loadOrder(5, "a", buckthorndyke.TierRemote), now).WithAccepted("a", 1)
		assertOrders(t, withWaiting(v, 5), "unload m1 at b from memory")
	})
	t.Run("a late load is not doubled from the weight store or by two disks", func(t *testing.T) {
		v := viewOf(runner("a"), runner("b"), runner("c"))
		v = v.WithOrder(loadOrder(5, "a", buckthorndyke.TierRemote), now).WithAccepted("a", 1)
		assertOrders(t, withWaiting(v, 5))
		v = viewOf(runner("a"), withCopies(runner("b")), withCopies(runner("c")))
		v = v.WithOrder(loadOrder(5, "a", buckthorndyke.TierRemote), now).WithOrder(loadOrder(5, "b", buckthorndyke.TierDisk), now)
		assertOrders(t, withWaiting(v, 5))
	})
	t.Run("a replica that is loaded too late does not stop one from a disk", func(t *testing.T) {
		v := viewOf(withCopies(runner("a", 5)), runner("b"), withCopies(runner("c", 1)))
		v = v.WithOrder(loadOrder(5, "b", buckthorndyke.TierRemote), now).WithAccepted("b", 1)
		overloaded := func(waiting int) stager.View {
			return v.WithDemand(vm, []buckthorndyke.DemandEntry{{Key: key(5), Running: 40, TimeLeft: buckthorndyke.Second, Waiting: waiting}}, now)
		}
		assertOrders(t, overloaded(0))
		assertOrders(t, overloaded(3), "load m5 at c from disk")
	})
	t.Run("requests that can wait for a load cause no other", func(t *testing.T) {
		v := viewOf(runner("a"), withCopies(runner("b", 1)))
		v = v.WithOrder(loadOrder(5, "a", buckthorndyke.TierRemote), now).WithAccepted("a", 1)
		assertOrders(t, v.WithDemand(vm, []buckthorndyke.DemandEntry{{Key: key(5), TimeLeft: 8 * buckthorndyke.Second, Waiting: 1}}, now))
	})
	t.Run("a load that is about to end is not overtaken", func(t *testing.T) {
		v := viewOf(runner("a"), withCopies(runner("b", 1)))
		v = v.WithOrder(loadOrder(5, "a", buckthorndyke.TierRemote), now-5500).WithAccepted("a", 1)
		assertOrders(t, v.WithDemand(vm, []buckthorndyke.DemandEntry{{Key: key(5), TimeLeft: 100, Waiting: 1}}, now))
	})
	t.Run("a load that takes far longer than expected does not stop one from a disk", func(t *testing.T) {
		v := viewOf(runner("a"), withCopies(runner("b", 1)))
		v = v.WithOrder(loadOrder(5, "a", buckthorndyke.TierRemote), now-15*buckthorndyke.Second).WithAccepted("a", 1)
		assertOrders(t, withWaiting(v, 5), "load m5 at b from disk")
	})
	t.Run("an adapter is loaded on the runner with the fewest adapters", func(t *testing.T) {
		a, b := runner("a", 0), runner("b", 0)
		a.LoadedModels[0].Adapters = []string{"a1"}
		k := key(0)
		k.Adapter = "a2"
		v := viewOf(a, b).WithDemand(vm, []buckthorndyke.DemandEntry{{Key: k, Waiting: 1}}, now)
		assertOrders(t, v, "load m0/a2 at b from remote")
	})
	t.Run("an idle adapter is unloaded for another", func(t *testing.T) {
		a := runner("a", 0)
		a.LoadedModels[0].Adapters = []string{"a1", "a2"}
		k, used := key(0), key(0)
		k.Adapter, used.Adapter = "a3", "a1"
		v := viewOf(a).WithDemand(vm, []buckthorndyke.DemandEntry{
			{Key: k, Waiting: 1}, {Arrivals: 4, Key: used, Running: 1},
		}, now)
		assertOrders(t, v, "unload m0/a2 at a from memory")
	})
}

func TestExpected(t *testing.T) {
	waiting := []buckthorndyke.DemandEntry{{Key: key(5), Waiting: 1}}
	load := stager.PlannedOrder{Kind: buckthorndyke.OrderLoad, Model: "m5", Runner: "a", TargetModel: "m5", Tier: buckthorndyke.TierRemote}
	unload := stager.PlannedOrder{Kind: buckthorndyke.OrderUnload, Model: "m2", Runner: "a", TargetModel: "m5"}
	full := viewOf(withCopies(runner("a", 0, 1, 2)))
	t.Run("a model that is being loaded has an estimate", func(t *testing.T) {
		got := viewOf(runner("a")).WithOrder(load, now).LoadEstimates(waiting, now+buckthorndyke.Second)
		asserter.Equal(t, got, []buckthorndyke.LoadEstimate{{Key: key(5), ReadyIn: 5300}})
	})
	t.Run("the estimate includes the unload that makes room", func(t *testing.T) {
		got := full.WithOrder(unload, now).LoadEstimates(waiting, now)
		asserter.Equal(t, len(got), 1)
		asserter.True(t, got[0].ReadyIn > 500, "the estimate leaves out the unload")
	})
	t.Run("a model that no runner loads has no estimate", func(t *testing.T) {
		asserter.Equal(t, len(full.LoadEstimates(waiting, now)), 0)
	})
	t.Run("the estimate for a model in the weight store includes the loads in progress", func(t *testing.T) {
		v := viewOf(runner("a"), runner("b"), runner("c"), runner("d"), runner("e"))
		for i, id := range []buckthorndyke.RunnerID{"a", "b", "c", "d"} {
			v = v.WithOrder(stager.PlannedOrder{Kind: buckthorndyke.OrderLoad, Model: key(i).Model, Runner: id, Tier: buckthorndyke.TierRemote}, now)
		}
		got := v.LoadEstimates(waiting, now)
		asserter.Equal(t, len(got), 1)
		asserter.True(t, got[0].ReadyIn > 7*buckthorndyke.Second, "the estimate leaves out the loads in progress")
	})
	t.Run("a model without waiting requests is left out", func(t *testing.T) {
		got := full.WithOrder(load, now).LoadEstimates([]buckthorndyke.DemandEntry{{Key: key(5), Running: 1}}, now)
		asserter.Equal(t, len(got), 0)
	})
}

// TestRoom checks with random demand that no order exceeds the memory or the adapter
// slots of a runner, and that a runner has one outstanding order at a time.
func TestRoom(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 200
	properties := gopter.NewProperties(parameters)
	properties.Property("memory and adapter slots are not exceeded", prop.ForAll(func(wants []int) string {
		v := viewOf(runner("a", 0, 1), runner("b", 2, 3, 4), runner("c"))
		at := now
		var sent []stager.PlannedOrder
		for step, want := range wants {
			at += 300
			k := key(want % models)
			if step%3 == 2 {
				k.Adapter = fmt.Sprintf("a%d", want)
			}
			v = v.WithDemand(vm, []buckthorndyke.DemandEntry{{Arrivals: 1, Key: k, Waiting: 1}}, at)
			for _, i := range v.Plan(at) {
				if _, ok := v.PendingOrders()[i.Runner]; ok {
					return "a second outstanding order for " + string(i.Runner)
				}
				v = v.WithOrder(i, at)
				sent = append(sent, i)
				if fault := capacityFault(v, i); fault != "" {
					return fault
				}
			}
			if step%2 == 1 {
				for _, i := range sent {
					v = v.WithDone(i, at)
				}
				sent = nil
			}
		}
		return ""
	}, gen.SliceOfN(60, gen.IntRange(0, 40))))
	properties.TestingRun(t)
}

// assertOrders reports an error unless the plan of v has just the orders in want.
func assertOrders(t *testing.T, v stager.View, want ...string) {
	t.Helper()
	var got []string
	for _, i := range v.Plan(now) {
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

// viewOf returns a view whose runners have reported their loaded models.
func viewOf(runners ...buckthorndyke.Backend) stager.View {
	v := stager.NewView(4).WithRouting(routing()).WithBackends(listOf(runners...), now-20*buckthorndyke.Second)
	for _, r := range runners {
		v = v.WithReport(buckthorndyke.BackendReport{Backend: r}, now-20*buckthorndyke.Second)
	}
	// The arrivals in a VM's first report are not counted.
	return v.WithDemand(vm, nil, now-20*buckthorndyke.Second)
}

// key returns the key of model n.
func key(n int) buckthorndyke.ModelKey {
	return buckthorndyke.ModelKey{Model: buckthorndyke.ModelID(fmt.Sprintf("m%d", n)), Service: engines}
}

// loadOrder returns an order to load model n on a runner.
func loadOrder(n int, id buckthorndyke.RunnerID, tier buckthorndyke.Tier) stager.PlannedOrder {
	return stager.PlannedOrder{Kind: buckthorndyke.OrderLoad, Model: key(n).Model, Runner: id, TargetModel: key(n).Model, Tier: tier}
}

// listOf returns a list of the given servers.
func listOf(servers ...buckthorndyke.Backend) buckthorndyke.Backends {
	var list buckthorndyke.Backends
	for _, s := range servers {
		list.Servers = list.Servers.With(s.ID, s)
	}
	return list
}

// capacityFault says how an order exceeds the capacity of its runner, or returns an
// empty string.
func capacityFault(v stager.View, i stager.PlannedOrder) string {
	if i.Kind != buckthorndyke.OrderLoad {
		return ""
	}
	b, _ := v.Backend(i.Runner)
	used, adapters := 0, 0
	for _, h := range b.LoadedModels {
		used += sizeOf(h.Model) + 40*len(h.Adapters)
		adapters += len(h.Adapters)
	}
	if i.Adapter != "" {
		used, adapters = used+40, adapters+1
	} else {
		used += sizeOf(i.Model)
	}
	if used > memoryMB || adapters > 2 {
		return fmt.Sprintf("%s needs %d MB and %d adapter slots", i.Runner, used, adapters)
	}
	return ""
}

// routing returns a configuration whose runners have two adapter slots.
func routing() buckthorndyke.Routing {
	cfg := &buckthorndyke.EngineConfig{AdapterSlots: 2, LoadsPerSecond: 4, MemoryMB: memoryMB, Slots: 64}
	for n := range models {
		cfg.Models = cfg.Models.With(key(n).Model, buckthorndyke.ModelConfig{
			AdapterMB: 40, Adapters: 41,
			LoadTimes: map[buckthorndyke.Tier]buckthorndyke.Millis{
				buckthorndyke.TierDisk: buckthorndyke.Second, buckthorndyke.TierMemory: 400,
				buckthorndyke.TierRemote: 6 * buckthorndyke.Second,
			},
			MemoryMB: sizeOf(key(n).Model),
		})
	}
	return buckthorndyke.Routing{Version: 1}.WithService(buckthorndyke.BackendService{Engine: cfg, ID: engines})
}

// runner returns a runner that has loaded the models with the given numbers.
func runner(id buckthorndyke.RunnerID, loaded ...int) buckthorndyke.Backend {
	b := buckthorndyke.Backend{ID: id, Incarnation: 1, Service: engines, Slots: 64}
	for _, n := range loaded {
		b.LoadedModels = append(b.LoadedModels, buckthorndyke.LoadedModel{Model: key(n).Model})
	}
	return b
}

// sizeOf returns the memory that a model takes, in megabytes.
func sizeOf(model buckthorndyke.ModelID) int {
	for n := range models {
		if key(n).Model == model && n >= 7 {
			return 20_000 + 10_000*n
		}
	}
	return 65_000
}

// withWaiting returns a view in which one request waits for each of the models.
func withWaiting(v stager.View, wanted ...int) stager.View {
	var entries []buckthorndyke.DemandEntry
	for _, n := range wanted {
		entries = append(entries, buckthorndyke.DemandEntry{Arrivals: 1, Key: key(n), TimeLeft: buckthorndyke.Second, Waiting: 1})
	}
	return v.WithDemand(vm, entries, now)
}

// withBusyRunner returns v with an outstanding order at runner a.
func withBusyRunner(v stager.View) stager.View {
	return v.WithOrder(stager.PlannedOrder{Kind: buckthorndyke.OrderUnload, Model: "m1", Runner: "a"}, now)
}

// withCopies returns b with copies of all models on its disk.
func withCopies(b buckthorndyke.Backend) buckthorndyke.Backend {
	b.Cached = make(map[buckthorndyke.ModelID]buckthorndyke.Tier)
	for n := range models {
		b.Cached[key(n).Model] = buckthorndyke.TierDisk
	}
	return b
}
