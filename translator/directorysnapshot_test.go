package translator_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/translator"
	"github.com/buckthorndyke/buckthorndyke/wire"
)

func TestDirectorySnapshot(t *testing.T) {
	engine := &buckthorndyke.EngineConfig{AdapterSlots: 8, LoadsPerSecond: 3.7, MemoryMB: 200_000, Slots: 64}
	engine.Models = engine.Models.With("hall", buckthorndyke.ModelConfig{
		AdapterMB: 40, Adapters: 9, MemoryMB: 65_500,
		LoadTimes: map[buckthorndyke.Tier]buckthorndyke.Millis{
			buckthorndyke.TierMemory: 380, buckthorndyke.TierDisk: 1000, buckthorndyke.TierRemote: 6000,
		},
	})
	route := buckthorndyke.Route{
		Attempts: 2, GapTarget: 400, Host: "h.example", Kind: buckthorndyke.RouteStream, Name: "r", Prefix: "/a/", Priority: 2,
		Resumable: true, LatencyTarget: 6000, Targets: []buckthorndyke.RouteTarget{{Service: "engines", Weight: 9}}, Timeout: 17_000,
	}
	server := buckthorndyke.Backend{
		Address: "10.0.0.7:80", Heartbeats: 9, Domain: "z-a", ID: "a", Leaving: true, Service: "engines", Slots: 64, Incarnation: 77,
		Cached:       map[buckthorndyke.ModelID]buckthorndyke.Tier{"gym": buckthorndyke.TierDisk, "hall": buckthorndyke.TierMemory},
		LoadedModels: []buckthorndyke.LoadedModel{{Adapters: []string{"a1"}, Model: "hall"}},
	}
	snapshot := buckthorndyke.DirectorySnapshot{Age: 250, Routing: buckthorndyke.Routing{
		Limits:  buckthorndyke.ClientLimits{BodyBytes: 1 << 22, HeaderBytes: 1 << 14, HeaderTimeout: 3000, IdleTimeout: 15_000},
		Version: 7,
	}.WithService(buckthorndyke.BackendService{ConnectionLimit: 370, Engine: engine, ID: "engines"}).
		WithService(buckthorndyke.BackendService{ConnectionLimit: 110, ID: "desk"}).WithRoutes([]buckthorndyke.Route{route})}
	snapshot.List.Servers = snapshot.List.Servers.With("a", server)
	got := translator.DirectorySnapshotFromWire(translator.DirectorySnapshotToWire(snapshot), 10_000)
	t.Run("the server list and its age are preserved", func(t *testing.T) {
		asserter.Equal(t, got.Age, 250)
		asserter.Equal(t, got.List.At, 9750)
		b, _ := got.List.Servers.Get("a")
		asserter.Equal(t, b, server)
	})
	t.Run("the configuration is preserved", func(t *testing.T) {
		asserter.Equal(t, got.Routing.Version, 7)
		asserter.True(t, !got.Routing.Callers.Required(), "callers are required")
		asserter.Equal(t, got.Routing.Limits, snapshot.Routing.Limits)
		found, _ := got.Routing.Route("h.example", "/a/b")
		asserter.Equal(t, found, route)
		service, _ := got.Routing.Services.Get("engines")
		asserter.Equal(t, service.Engine.Slots, 64)
		model, _ := service.Engine.Models.Get("hall")
		want, _ := engine.Models.Get("hall")
		asserter.Equal(t, model, want)
		plain, _ := got.Routing.Services.Get("desk")
		asserter.True(t, plain.Engine == nil, "a plain service has an engine")
	})
}

// TestCallersSnapshot guards against a copy of the configuration that contains a key, or by
// which a key has another holder.
func TestCallersSnapshot(t *testing.T) {
	const key = "k7b2ex5wa5xwyhks8nbk"
	digest := buckthorndyke.DigestKey(key)
	callers := []buckthorndyke.Caller{
		{
			Allotment:   buckthorndyke.Allotment{Burst: 7, PerSecond: 291_906.5, PlainTokens: 200, Unit: buckthorndyke.AllotmentTokens},
			HasPriority: true, ID: "hule930", Keys: []buckthorndyke.KeyDigest{digest, buckthorndyke.DigestKey("second")},
		},
		// The caller comes before the other one in a copy, which is sorted.
		{Allotment: buckthorndyke.Allotment{Unit: buckthorndyke.AllotmentRequests}, ID: "a", Keys: []buckthorndyke.KeyDigest{digest}},
	}
	encode := func(t *testing.T, c buckthorndyke.Callers) (buckthorndyke.Routing, []byte) {
		t.Helper()
		routing := buckthorndyke.Routing{Callers: c, Version: 7}.WithRoutes([]buckthorndyke.Route{{Host: "h", Name: "r", Prefix: "/", Public: true}})
		data, err := proto.Marshal(translator.DirectorySnapshotToWire(buckthorndyke.DirectorySnapshot{Routing: routing}))
		asserter.NoError(t, err)
		var m wire.TellResponse
		asserter.NoError(t, proto.Unmarshal(data, &m))
		return translator.DirectorySnapshotFromWire(&m, 0).Routing, data
	}
	t.Run("callers, their keys' holders and public routes are preserved, and no key is in the message", func(t *testing.T) {
		want := buckthorndyke.CallersOf(callers)
		got, data := encode(t, want)
		asserter.NotContains(t, string(data), key)
		asserter.True(t, got.Callers.Required(), "no key is required")
		asserter.Equal(t, got.Callers.Len(), want.Len())
		for id, caller := range want.All() {
			copied, _ := got.Callers.Get(id)
			asserter.Equal(t, len(copied.Keys), len(caller.Keys))
			copied.Keys, caller.Keys = nil, nil
			asserter.Equal(t, copied, caller)
		}
		for _, c := range []buckthorndyke.Callers{want, got.Callers, buckthorndyke.NewCallers().WithCaller(callers[0]).WithCaller(callers[1])} {
			holder, _ := c.ByKey(digest)
			asserter.Equal(t, holder.ID, "hule930")
			a, _ := c.Get("a")
			asserter.Equal(t, len(a.Keys), 0)
		}
		route, _ := got.Route("h", "/x")
		asserter.True(t, route.Public, "the route is not public")
	})
	t.Run("an empty list of callers differs from none", func(t *testing.T) {
		for _, want := range []buckthorndyke.Callers{{}, buckthorndyke.NewCallers(), buckthorndyke.CallersOf(nil)} {
			got, _ := encode(t, want)
			asserter.Equal(t, got.Callers.Required(), want.Required())
		}
	})
}

// TestCallerKeys guards against a key that counts after its caller was given others.
func TestCallerKeys(t *testing.T) {
	t.Run("the keys of a caller that is replaced no longer count", func(t *testing.T) {
		first, second := buckthorndyke.DigestKey("first"), buckthorndyke.DigestKey("second")
		c := buckthorndyke.NewCallers().WithCaller(buckthorndyke.Caller{ID: "a", Keys: []buckthorndyke.KeyDigest{first}}).
			WithCaller(buckthorndyke.Caller{ID: "a", Keys: []buckthorndyke.KeyDigest{second}})
		_, ok := c.ByKey(first)
		asserter.True(t, !ok, "the first key counts")
		_, ok = c.ByKey(second)
		asserter.True(t, ok, "the second key does not count")
	})
}
