package selector_test

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/selector"
)

// TestReady guards against waiting requests that are not offered a server that Choose would
// return for them.
func TestReady(t *testing.T) {
	const now = 100 * buckthorndyke.Second
	model := func(m buckthorndyke.ModelID) buckthorndyke.ModelKey {
		return buckthorndyke.ModelKey{Model: m, Service: "engines"}
	}
	var list buckthorndyke.Backends
	for _, b := range []buckthorndyke.Backend{
		{ID: "a", Service: "desk"},
		{ID: "gone", Leaving: true, LoadedModels: []buckthorndyke.LoadedModel{{Model: "mill"}}, Service: "engines"},
		{ID: "r1", LoadedModels: []buckthorndyke.LoadedModel{{Model: "hall"}, {Model: "gym"}}, Service: "engines"},
		{ID: "r2", LoadedModels: []buckthorndyke.LoadedModel{{Model: "hall"}}, Service: "engines"},
	} {
		list.Servers = list.Servers.With(b.ID, b)
	}
	view := selector.View{}.WithBackends(list)
	assertReady := func(t *testing.T, v selector.View, want ...buckthorndyke.ModelKey) {
		t.Helper()
		for _, key := range []buckthorndyke.ModelKey{{Service: "desk"}, model("hall"), model("gym"), model("mill")} {
			_, chosen := v.Choose(selector.Query{Key: key, Now: now})
			asserter.Equal(t, v.Ready(key, now), chosen)
			if chosen {
				asserter.Equal(t, key, want[0])
				want = want[1:]
			}
		}
		asserter.Equal(t, len(want), 0)
	}
	t.Run("a key is ready if a server holds it that is not leaving", func(t *testing.T) {
		assertReady(t, view, buckthorndyke.ModelKey{Service: "desk"}, model("hall"), model("gym"))
		asserter.True(t, view.Takes("r1", model("gym"), now) && !view.Takes("r2", model("gym"), now), "the wrong server takes the key")
	})
	t.Run("a full runner and a server that pauses take no request", func(t *testing.T) {
		v := view.WithFull("r1", now, now).WithPause(buckthorndyke.Lifetime{Server: "a"}, now+1000, now)
		assertReady(t, v, model("hall"))
		asserter.True(t, !v.Takes("r1", model("hall"), now) && v.Pauses(), "a full runner takes a request")
		asserter.True(t, v.Loaded(model("gym"), now) && !v.Loaded(model("mill"), now), "a model on a full runner counts as not loaded")
	})
}
