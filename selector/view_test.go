package selector_test

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/selector"
)

const (
	engines = buckthorndyke.ServiceID("engines")
	desk    = buckthorndyke.ServiceID("desk")
	hall    = buckthorndyke.ModelID("hall")
	now     = 100 * buckthorndyke.Second
)

var hallKey = buckthorndyke.ModelKey{Model: hall, Service: engines}

func TestChoose(t *testing.T) {
	t.Run("a request goes to a runner that holds its model", func(t *testing.T) {
		b := viewOf(runner("a"), runner("b", hall), runner("c"))
		assertChosen(t, b, selector.Query{Key: hallKey, Now: now}, "b")
	})
	t.Run("an adapter has to be loaded too", func(t *testing.T) {
		with := runner("b", hall)
		with.LoadedModels[0].Adapters = []string{"a3"}
		b := viewOf(runner("a", hall), with)
		key := hallKey
		key.Adapter = "a3"
		assertChosen(t, b, selector.Query{Key: key, Now: now}, "b")
		key.Adapter = "a4"
		assertNone(t, b, selector.Query{Key: key, Now: now})
	})
	t.Run("a leaving server gets nothing", func(t *testing.T) {
		leaving := runner("a", hall)
		leaving.Leaving = true
		assertNone(t, viewOf(leaving), selector.Query{Key: hallKey, Now: now})
	})
	t.Run("an excluded server gets nothing", func(t *testing.T) {
		b := viewOf(runner("a", hall))
		assertNone(t, b, selector.Query{Excluded: []buckthorndyke.RunnerID{"a"}, Key: hallKey, Now: now})
	})
	t.Run("the least loaded server is taken", func(t *testing.T) {
		b := viewOf(server("a"), server("b"), server("c"))
		b = b.WithLoad("a", selector.Load{Requests: 1}).WithLoad("c", selector.Load{Requests: 2})
		assertChosen(t, b, selector.Query{Key: buckthorndyke.ModelKey{Service: desk}, Now: now}, "b")
		b = b.WithLoad("b", selector.Load{Requests: 3})
		assertChosen(t, b, selector.Query{Key: buckthorndyke.ModelKey{Service: desk}, Now: now}, "a")
	})
	t.Run("servers are taken by the load that other VMs have there", func(t *testing.T) {
		b := viewOf(server("a"), server("b")).WithOtherVMsLoads([]buckthorndyke.ServerLoad{{Requests: 9, Server: "a"}, {Requests: 1, Server: "b"}}, now)
		taken := make(map[buckthorndyke.RunnerID]int)
		for seed := range uint64(1200) {
			got, _ := b.Choose(selector.Query{Key: buckthorndyke.ModelKey{Service: desk}, Now: now, Seed: seed})
			taken[got.ID]++
		}
		asserter.True(t, taken["b"] > 900 && taken["b"] < 1100, "the load of the other VMs does not count as it should")
	})
	t.Run("an old word on the other VMs does not count", func(t *testing.T) {
		b := viewOf(server("a"), server("b")).WithOtherVMsLoads([]buckthorndyke.ServerLoad{{Requests: 90, Server: "a"}}, now)
		seen := make(map[buckthorndyke.RunnerID]bool)
		for seed := range uint64(64) {
			got, _ := b.Choose(selector.Query{Key: buckthorndyke.ModelKey{Service: desk}, Now: now + 3*buckthorndyke.Second, Seed: seed})
			seen[got.ID] = true
		}
		asserter.Equal(t, len(seen), 2)
	})
	t.Run("equal servers share the requests", func(t *testing.T) {
		b := viewOf(server("a"), server("b"), server("c"))
		seen := make(map[buckthorndyke.RunnerID]bool)
		for seed := range uint64(64) {
			got, _ := b.Choose(selector.Query{Key: buckthorndyke.ModelKey{Service: desk}, Now: now, Seed: seed})
			seen[got.ID] = true
		}
		asserter.Equal(t, len(seen), 3)
	})
	t.Run("requests with the same beginning go to the same runner", func(t *testing.T) {
		b := viewOf(runner("a", hall), runner("b", hall), runner("c", hall))
		first, _ := b.Choose(selector.Query{Key: hallKey, Now: now, Prefix: 77, Seed: 1})
		for seed := range uint64(16) {
			assertChosen(t, b, selector.Query{Key: hallKey, Now: now, Prefix: 77, Seed: seed}, first.ID)
		}
		full := b.WithLoad(first.ID, selector.Load{Requests: 20})
		other, _ := full.Choose(selector.Query{Key: hallKey, Now: now, Prefix: 77})
		asserter.True(t, other.ID != first.ID, "a loaded runner was taken for its prefix cache")
	})
	t.Run("a runner that other VMs load is not taken for its prefix cache", func(t *testing.T) {
		b := viewOf(runner("a", hall), runner("b", hall), runner("c", hall))
		first, _ := b.Choose(selector.Query{Key: hallKey, Now: now, Prefix: 77})
		others := func(n int) selector.View {
			return b.WithOtherVMsLoads([]buckthorndyke.ServerLoad{{Requests: n, Server: first.ID}}, now)
		}
		assertChosen(t, others(5), selector.Query{Key: hallKey, Now: now, Prefix: 77}, first.ID)
		other, _ := others(40).Choose(selector.Query{Key: hallKey, Now: now, Prefix: 77, Seed: 3})
		asserter.True(t, other.ID != first.ID, "a loaded runner was taken for its prefix cache")
	})
}

func TestFailures(t *testing.T) {
	query := selector.Query{Key: buckthorndyke.ModelKey{Service: desk}, Now: now}
	t.Run("a server that failed is avoided for a while", func(t *testing.T) {
		b := viewOf(server("a"), server("b")).WithFailure("a", now)
		for seed := range uint64(16) {
			query.Seed = seed
			assertChosen(t, b, query, "b")
		}
	})
	t.Run("a server that failed is taken if there is no other", func(t *testing.T) {
		assertChosen(t, viewOf(server("a")).WithFailure("a", now), query, "a")
	})
	t.Run("an answer ends the avoidance", func(t *testing.T) {
		b := viewOf(server("a"), server("b")).WithFailure("a", now).WithSuccess("a").WithLoad("b", selector.Load{Requests: 1})
		assertChosen(t, b, query, "a")
	})
	t.Run("a server that fails requests of all VMs is taken if there is no other", func(t *testing.T) {
		b := viewOf(server("a"), server("b")).WithSuspects([]buckthorndyke.RunnerID{"a"}, now)
		for seed := range uint64(16) {
			query.Seed = seed
			assertChosen(t, b, query, "b")
		}
		assertChosen(t, viewOf(server("a")).WithSuspects([]buckthorndyke.RunnerID{"a"}, now), query, "a")
	})
	t.Run("a silent server is taken before one that fails", func(t *testing.T) {
		b := viewOf(server("a"), server("b"), server("c")).WithSlow("a", now).WithFailure("b", now)
		assertChosen(t, b, query, "c")
		b = viewOf(server("a"), server("b")).WithSlow("a", now).WithLoad("a", selector.Load{Requests: 9}).
			WithSuspects([]buckthorndyke.RunnerID{"b"}, now)
		assertChosen(t, b, query, "a")
	})
	t.Run("an old word on failing servers does not count", func(t *testing.T) {
		b := viewOf(server("a"), server("b")).WithSuspects([]buckthorndyke.RunnerID{"a"}, now).WithLoad("b", selector.Load{Requests: 1})
		late := query
		late.Now += 3 * buckthorndyke.Second
		assertChosen(t, b, late, "a")
	})
	t.Run("a runner without a place is not asked again at once", func(t *testing.T) {
		b := viewOf(runner("a", hall)).WithFull("a", now)
		assertNone(t, b, selector.Query{Key: hallKey, Now: now + 100})
		assertChosen(t, b, selector.Query{Key: hallKey, Now: now + 120}, "a")
	})
	t.Run("what servers have shown is told once", func(t *testing.T) {
		b := viewOf(server("a")).WithFailure("a", now).WithFailedAttempt("a").WithSuccess("a")
		asserter.Equal(t, b.AttemptCounts(), []buckthorndyke.AttemptCounts{{Failed: 2, Served: 1, Server: "a"}})
		asserter.Equal(t, len(b.WithoutAttemptCounts().AttemptCounts()), 0)
	})
	t.Run("a model that a runner said not to hold is not asked for there", func(t *testing.T) {
		b := viewOf(runner("a", hall)).WithMissing("a", hallKey, now)
		assertNone(t, b, selector.Query{Key: hallKey, Now: now})
		assertChosen(t, b, selector.Query{Key: hallKey, Now: now + 5*buckthorndyke.Second}, "a")
	})
}

func TestResidences(t *testing.T) {
	loaded := buckthorndyke.RunnerModels{LoadedModels: []buckthorndyke.LoadedModel{{Model: hall}}, Runner: "a", Incarnation: 1}
	t.Run("a leader's word counts before the list", func(t *testing.T) {
		b := viewOf(runner("a")).WithRunnerModels([]buckthorndyke.RunnerModels{loaded}, now)
		assertChosen(t, b, selector.Query{Key: hallKey, Now: now}, "a")
	})
	t.Run("a model that is about to be unloaded gets nothing", func(t *testing.T) {
		closed := loaded
		closed.Unloading = []buckthorndyke.ModelID{hall}
		b := viewOf(runner("a", hall)).WithRunnerModels([]buckthorndyke.RunnerModels{closed}, now)
		assertNone(t, b, selector.Query{Key: hallKey, Now: now})
	})
	t.Run("a leader's word on an earlier life does not count", func(t *testing.T) {
		again := runner("a")
		again.Incarnation = 2
		b := viewOf(again).WithRunnerModels([]buckthorndyke.RunnerModels{loaded}, now)
		assertNone(t, b, selector.Query{Key: hallKey, Now: now})
	})
	t.Run("a leader's word stands until the list was read well after it", func(t *testing.T) {
		b := viewOf(runner("a")).WithRunnerModels([]buckthorndyke.RunnerModels{loaded}, now)
		assertChosen(t, b, selector.Query{Key: hallKey, Now: now + 20*buckthorndyke.Second}, "a")
		list := b.List()
		list.At = now + 5*buckthorndyke.Second
		assertChosen(t, b.WithBackends(list), selector.Query{Key: hallKey, Now: list.At}, "a")
		list.At = now + 6*buckthorndyke.Second
		assertNone(t, b.WithBackends(list), selector.Query{Key: hallKey, Now: list.At})
	})
}

// assertChosen reports an error unless the board chooses the server want.
func assertChosen(t *testing.T, b selector.View, q selector.Query, want buckthorndyke.RunnerID) {
	t.Helper()
	got, ok := b.Choose(q)
	asserter.True(t, ok, "no server was chosen")
	asserter.Equal(t, got.ID, want)
}

// assertNone reports an error if the board chooses a server.
func assertNone(t *testing.T, b selector.View, q selector.Query) {
	t.Helper()
	got, ok := b.Choose(q)
	asserter.True(t, !ok, "chose "+string(got.ID))
}

// boardOf returns a board on which just the given servers are listed.
func viewOf(servers ...buckthorndyke.Backend) selector.View {
	var list buckthorndyke.Backends
	for _, s := range servers {
		list.Servers = list.Servers.With(s.ID, s)
	}
	return selector.View{}.WithBackends(list)
}

// runner returns a runner that holds models.
func runner(id buckthorndyke.RunnerID, models ...buckthorndyke.ModelID) buckthorndyke.Backend {
	b := buckthorndyke.Backend{ID: id, Service: engines, Slots: 8, Incarnation: 1}
	for _, m := range models {
		b.LoadedModels = append(b.LoadedModels, buckthorndyke.LoadedModel{Model: m})
	}
	return b
}

// server returns a plain server.
func server(id buckthorndyke.RunnerID) buckthorndyke.Backend {
	return buckthorndyke.Backend{ID: id, Service: desk, Slots: 6, Incarnation: 1}
}
