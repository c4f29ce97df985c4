package selector_test

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/selector"
)

const (
	engines      = buckthorndyke.ServiceID("engines")
	plainService = buckthorndyke.ServiceID("desk")
	hall         = buckthorndyke.ModelID("hall")
	now          = 100 * buckthorndyke.Second
)

var hallKey = buckthorndyke.ModelKey{Model: hall, Service: engines}

func TestChoose(t *testing.T) {
	t.Run("a request is sent to a runner that has loaded its model", func(t *testing.T) {
		v := viewOf(runner("a"), runner("b", hall), runner("c"))
		assertChosen(t, v, selector.Query{Key: hallKey, Now: now}, "b")
	})
	t.Run("an adapter has to be loaded too", func(t *testing.T) {
		with := runner("b", hall)
		with.LoadedModels[0].Adapters = []string{"a3"}
		v := viewOf(runner("a", hall), with)
		key := hallKey
		key.Adapter = "a3"
		assertChosen(t, v, selector.Query{Key: key, Now: now}, "b")
		key.Adapter = "a4"
		assertNone(t, v, selector.Query{Key: key, Now: now})
	})
	t.Run("a leaving server gets no requests", func(t *testing.T) {
		leaving := runner("a", hall)
		leaving.Leaving = true
		assertNone(t, viewOf(leaving), selector.Query{Key: hallKey, Now: now})
	})
	t.Run("an excluded server gets no requests", func(t *testing.T) {
		v := viewOf(runner("a", hall))
		assertNone(t, v, selector.Query{Excluded: []buckthorndyke.RunnerID{"a"}, Key: hallKey, Now: now})
	})
	t.Run("the least loaded server is chosen", func(t *testing.T) {
		v := viewOf(server("a"), server("b"), server("c"))
		v = v.WithLoad("a", selector.Load{Requests: 1}).WithLoad("c", selector.Load{Requests: 2})
		assertChosen(t, v, selector.Query{Key: buckthorndyke.ModelKey{Service: plainService}, Now: now}, "b")
		v = v.WithLoad("b", selector.Load{Requests: 3})
		assertChosen(t, v, selector.Query{Key: buckthorndyke.ModelKey{Service: plainService}, Now: now}, "a")
	})
	t.Run("the load of the other VMs decides the probability of a server", func(t *testing.T) {
		v := viewOf(server("a"), server("b")).WithOtherVMsLoads([]buckthorndyke.ServerLoad{{Requests: 9, Server: "a"}, {Requests: 1, Server: "b"}}, now)
		taken := make(map[buckthorndyke.RunnerID]int)
		for seed := range uint64(1200) {
			got, _ := v.Choose(selector.Query{Key: buckthorndyke.ModelKey{Service: plainService}, Now: now, Seed: seed})
			taken[got.ID]++
		}
		asserter.True(t, taken["b"] > 900 && taken["b"] < 1100, "the requests are not spread by the load of the other VMs")
	})
	t.Run("expired data on the load of the other VMs is ignored", func(t *testing.T) {
		v := viewOf(server("a"), server("b")).WithOtherVMsLoads([]buckthorndyke.ServerLoad{{Requests: 90, Server: "a"}}, now)
		seen := make(map[buckthorndyke.RunnerID]bool)
		for seed := range uint64(64) {
			got, _ := v.Choose(selector.Query{Key: buckthorndyke.ModelKey{Service: plainService}, Now: now + 3*buckthorndyke.Second, Seed: seed})
			seen[got.ID] = true
		}
		asserter.Equal(t, len(seen), 2)
	})
	t.Run("equal servers share the requests", func(t *testing.T) {
		v := viewOf(server("a"), server("b"), server("c"))
		seen := make(map[buckthorndyke.RunnerID]bool)
		for seed := range uint64(64) {
			got, _ := v.Choose(selector.Query{Key: buckthorndyke.ModelKey{Service: plainService}, Now: now, Seed: seed})
			seen[got.ID] = true
		}
		asserter.Equal(t, len(seen), 3)
	})
	t.Run("requests with the same beginning go to the same runner", func(t *testing.T) {
		v := viewOf(runner("a", hall), runner("b", hall), runner("c", hall))
		first, _ := v.Choose(selector.Query{Key: hallKey, Now: now, Prefix: 77, Seed: 1})
		for seed := range uint64(16) {
			assertChosen(t, v, selector.Query{Key: hallKey, Now: now, Prefix: 77, Seed: seed}, first.ID)
		}
		full := v.WithLoad(first.ID, selector.Load{Requests: 20})
		other, _ := full.Choose(selector.Query{Key: hallKey, Now: now, Prefix: 77})
		asserter.True(t, other.ID != first.ID, "an overloaded runner was chosen for its prefix cache")
	})
	t.Run("a runner with much load of other VMs is not chosen for its prefix cache", func(t *testing.T) {
		v := viewOf(runner("a", hall), runner("b", hall), runner("c", hall))
		first, _ := v.Choose(selector.Query{Key: hallKey, Now: now, Prefix: 77})
		others := func(n int) selector.View {
			return v.WithOtherVMsLoads([]buckthorndyke.ServerLoad{{Requests: n, Server: first.ID}}, now)
		}
		assertChosen(t, others(5), selector.Query{Key: hallKey, Now: now, Prefix: 77}, first.ID)
		other, _ := others(40).Choose(selector.Query{Key: hallKey, Now: now, Prefix: 77, Seed: 3})
		asserter.True(t, other.ID != first.ID, "an overloaded runner was chosen for its prefix cache")
	})
}

func TestFailures(t *testing.T) {
	query := selector.Query{Key: buckthorndyke.ModelKey{Service: plainService}, Now: now}
	t.Run("a server that failed is avoided for a while", func(t *testing.T) {
		v := viewOf(server("a"), server("b")).WithFailure("a", now)
		for seed := range uint64(16) {
			query.Seed = seed
			assertChosen(t, v, query, "b")
		}
	})
	t.Run("a server that failed is chosen if there is no other", func(t *testing.T) {
		assertChosen(t, viewOf(server("a")).WithFailure("a", now), query, "a")
	})
	t.Run("a served request ends the backoff", func(t *testing.T) {
		v := viewOf(server("a"), server("b")).WithFailure("a", now).WithSuccess("a").WithLoad("b", selector.Load{Requests: 1})
		assertChosen(t, v, query, "a")
	})
	t.Run("a server that fails requests of all VMs is chosen only if there is no other", func(t *testing.T) {
		v := viewOf(server("a"), server("b")).WithSuspects([]buckthorndyke.RunnerID{"a"}, now)
		for seed := range uint64(16) {
			query.Seed = seed
			assertChosen(t, v, query, "b")
		}
		assertChosen(t, viewOf(server("a")).WithSuspects([]buckthorndyke.RunnerID{"a"}, now), query, "a")
	})
	t.Run("a slow server is preferred to a failing one", func(t *testing.T) {
		v := viewOf(server("a"), server("b"), server("c")).WithSlow("a", now).WithFailure("b", now)
		assertChosen(t, v, query, "c")
		v = viewOf(server("a"), server("b")).WithSlow("a", now).WithLoad("a", selector.Load{Requests: 9}).
			WithSuspects([]buckthorndyke.RunnerID{"b"}, now)
		assertChosen(t, v, query, "a")
	})
	t.Run("an expired list of failing servers is ignored", func(t *testing.T) {
		v := viewOf(server("a"), server("b")).WithSuspects([]buckthorndyke.RunnerID{"a"}, now).WithLoad("b", selector.Load{Requests: 1})
		late := query
		late.Now += 3 * buckthorndyke.Second
		assertChosen(t, v, late, "a")
	})
	t.Run("a runner with a full batch gets no requests until the instant that the view tells", func(t *testing.T) {
		v := viewOf(runner("a", hall)).WithFull("a", now, now)
		wait := v.NextRetry(now, buckthorndyke.Second)
		asserter.True(t, wait >= 30 && wait <= 90, "the wait is far from the time that a short request takes")
		assertNone(t, v, selector.Query{Key: hallKey, Now: now + wait - 1})
		assertChosen(t, v, selector.Query{Key: hallKey, Now: now + wait}, "a")
	})
	t.Run("attempt counts are reported once", func(t *testing.T) {
		v := viewOf(server("a")).WithFailure("a", now).WithFailedAttempt("a").WithSuccess("a")
		asserter.Equal(t, v.AttemptCounts(), []buckthorndyke.AttemptCounts{{Failed: 2, Served: 1, Server: "a"}})
		asserter.Equal(t, len(v.WithoutAttemptCounts().AttemptCounts()), 0)
	})
	t.Run("a runner that reports a model as not loaded gets no requests for it", func(t *testing.T) {
		v := viewOf(runner("a", hall)).WithMissing("a", hallKey, now)
		assertNone(t, v, selector.Query{Key: hallKey, Now: now})
		assertChosen(t, v, selector.Query{Key: hallKey, Now: now + 5*buckthorndyke.Second}, "a")
	})
}

func TestRunnerModels(t *testing.T) {
	loaded := buckthorndyke.RunnerModels{Incarnation: 1, LoadedModels: []buckthorndyke.LoadedModel{{Model: hall}}, Runner: "a"}
	t.Run("the leader's data overrides the list", func(t *testing.T) {
		v := viewOf(runner("a")).WithRunnerModels([]buckthorndyke.RunnerModels{loaded}, now)
		assertChosen(t, v, selector.Query{Key: hallKey, Now: now}, "a")
	})
	t.Run("a model that is about to be unloaded gets no requests", func(t *testing.T) {
		unloading := loaded
		unloading.Unloading = []buckthorndyke.ModelID{hall}
		v := viewOf(runner("a", hall)).WithRunnerModels([]buckthorndyke.RunnerModels{unloading}, now)
		assertNone(t, v, selector.Query{Key: hallKey, Now: now})
	})
	t.Run("the leader's data on an earlier incarnation is ignored", func(t *testing.T) {
		again := runner("a")
		again.Incarnation = 2
		v := viewOf(again).WithRunnerModels([]buckthorndyke.RunnerModels{loaded}, now)
		assertNone(t, v, selector.Query{Key: hallKey, Now: now})
	})
	t.Run("the leader's data is valid until a later read of the list", func(t *testing.T) {
		v := viewOf(runner("a")).WithRunnerModels([]buckthorndyke.RunnerModels{loaded}, now)
		assertChosen(t, v, selector.Query{Key: hallKey, Now: now + 20*buckthorndyke.Second}, "a")
		list := v.List()
		list.At = now + 5*buckthorndyke.Second
		list.ModelsAt = list.At
		assertChosen(t, v.WithBackends(list), selector.Query{Key: hallKey, Now: list.At}, "a")
		list.At = now + 6*buckthorndyke.Second
		list.ModelsAt = list.At
		assertNone(t, v.WithBackends(list), selector.Query{Key: hallKey, Now: list.At})
	})
	t.Run("a change of the list that was not read again leaves the leader's data valid", func(t *testing.T) {
		v := viewOf(runner("a")).WithRunnerModels([]buckthorndyke.RunnerModels{loaded}, now)
		list := v.List().WithChange(buckthorndyke.ListChange{}, now+6*buckthorndyke.Second)
		assertChosen(t, v.WithBackends(list), selector.Query{Key: hallKey, Now: list.At}, "a")
	})
}

// assertChosen reports an error unless v chooses the server want.
func assertChosen(t *testing.T, v selector.View, q selector.Query, want buckthorndyke.RunnerID) {
	t.Helper()
	got, ok := v.Choose(q)
	asserter.True(t, ok, "no server was chosen")
	asserter.Equal(t, got.ID, want)
}

// assertNone reports an error if v chooses a server.
func assertNone(t *testing.T, v selector.View, q selector.Query) {
	t.Helper()
	got, ok := v.Choose(q)
	asserter.True(t, !ok, "unexpectedly chose "+string(got.ID))
}

// viewOf returns a view in which just the given servers are listed.
func viewOf(servers ...buckthorndyke.Backend) selector.View {
	var list buckthorndyke.Backends
	for _, s := range servers {
		list.Servers = list.Servers.With(s.ID, s)
	}
	return selector.View{}.WithBackends(list)
}

// runner returns a runner that has loaded the given models.
func runner(id buckthorndyke.RunnerID, models ...buckthorndyke.ModelID) buckthorndyke.Backend {
	v := buckthorndyke.Backend{ID: id, Incarnation: 1, Service: engines, Slots: 8}
	for _, m := range models {
		v.LoadedModels = append(v.LoadedModels, buckthorndyke.LoadedModel{Model: m})
	}
	return v
}

// server returns a server of a plain service.
func server(id buckthorndyke.RunnerID) buckthorndyke.Backend {
	return buckthorndyke.Backend{ID: id, Incarnation: 1, Service: plainService, Slots: 6}
}
