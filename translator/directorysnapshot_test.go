package translator_test

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/translator"
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
