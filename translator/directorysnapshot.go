package translator

import (
	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/wire"
)

// loadTimeTiers are the tiers in the order of the load times in wire.ModelFacts.
var loadTimeTiers = []buckthorndyke.Tier{buckthorndyke.TierMemory, buckthorndyke.TierDisk, buckthorndyke.TierRemote}

// DirectorySnapshotFromWire returns the snapshot in m, which was received at now.
func DirectorySnapshotFromWire(m *wire.TellResponse, now buckthorndyke.Millis) buckthorndyke.DirectorySnapshot {
	out := buckthorndyke.DirectorySnapshot{Age: buckthorndyke.Millis(m.AgeMs), Routing: RoutingFromWire(m.Routing)}
	out.List.At = now - out.Age
	out.List.ModelsAt = out.List.At
	out.List.Servers = serversFromWire(m.Servers)
	return out
}

// DirectorySnapshotToWire returns the message that carries s.
func DirectorySnapshotToWire(s buckthorndyke.DirectorySnapshot) *wire.TellResponse {
	out := &wire.TellResponse{AgeMs: int64(s.Age), Routing: RoutingToWire(s.Routing)}
	for _, b := range s.List.Servers.All() {
		out.Servers = append(out.Servers, backendToWire(b))
	}
	return out
}

// serversFromWire returns the servers in list.
func serversFromWire(list []*wire.ListedServer) buckthorndyke.Table[buckthorndyke.RunnerID, buckthorndyke.Backend] {
	out := make([]buckthorndyke.Backend, 0, len(list))
	for _, s := range list {
		out = append(out, backendFromWire(s))
	}
	return buckthorndyke.TableOf(out, func(b buckthorndyke.Backend) buckthorndyke.RunnerID { return b.ID })
}

// backendFromWire returns the server in m.
func backendFromWire(m *wire.ListedServer) buckthorndyke.Backend {
	out := buckthorndyke.Backend{
		Address:      m.Address,
		Cached:       make(map[buckthorndyke.ModelID]buckthorndyke.Tier),
		Domain:       buckthorndyke.DomainID(m.Domain),
		Heartbeats:   m.Beat,
		ID:           buckthorndyke.RunnerID(m.Id),
		Incarnation:  buckthorndyke.Incarnation(m.Started),
		Leaving:      m.Leaving,
		LoadedModels: loadedModelsFromWire(m.Holdings),
		Service:      buckthorndyke.ServiceID(m.Service),
		Slots:        int(m.Slots),
	}
	for _, id := range m.OnDisk {
		out.Cached[buckthorndyke.ModelID(id)] = buckthorndyke.TierDisk
	}
	for _, id := range m.InMemory {
		out.Cached[buckthorndyke.ModelID(id)] = buckthorndyke.TierMemory
	}
	return out
}

// backendToWire returns the message that carries b.
func backendToWire(b buckthorndyke.Backend) *wire.ListedServer {
	out := &wire.ListedServer{
		Address:  b.Address,
		Beat:     b.Heartbeats,
		Domain:   string(b.Domain),
		Holdings: loadedModelsToWire(b.LoadedModels),
		Id:       string(b.ID),
		Leaving:  b.Leaving,
		Service:  string(b.Service),
		Slots:    int32(b.Slots),
		Started:  uint64(b.Incarnation),
	}
	for id, tier := range b.Cached {
		if tier == buckthorndyke.TierMemory {
			out.InMemory = append(out.InMemory, string(id))
		} else {
			out.OnDisk = append(out.OnDisk, string(id))
		}
	}
	return out
}

// engineConfigFromWire returns the configuration in m, or nil for a plain service.
func engineConfigFromWire(m *wire.EngineFacts) *buckthorndyke.EngineConfig {
	if m == nil {
		return nil
	}
	out := &buckthorndyke.EngineConfig{
		AdapterSlots: int(m.AdapterSlots), CacheTokens: int(m.CacheTokens), LoadsPerSecond: m.LoadsPerSecond, MemoryMB: int(m.MemoryMb),
		Slots: int(m.Slots),
	}
	for _, f := range m.Models {
		model := buckthorndyke.ModelConfig{
			AdapterMB: int(f.AdapterMb), Adapters: int(f.Adapters), LoadTimes: make(map[buckthorndyke.Tier]buckthorndyke.Millis),
			MemoryMB: int(f.MemoryMb),
		}
		for i, ms := range f.LoadMs[:min(len(f.LoadMs), len(loadTimeTiers))] {
			model.LoadTimes[loadTimeTiers[i]] = buckthorndyke.Millis(ms)
		}
		out.Models = out.Models.With(buckthorndyke.ModelID(f.Model), model)
	}
	return out
}

// engineConfigToWire returns the message that carries c, or nil for a plain service.
func engineConfigToWire(c *buckthorndyke.EngineConfig) *wire.EngineFacts {
	if c == nil {
		return nil
	}
	out := &wire.EngineFacts{
		AdapterSlots: int32(c.AdapterSlots), CacheTokens: int64(c.CacheTokens), LoadsPerSecond: c.LoadsPerSecond,
		MemoryMb: int32(c.MemoryMB), Slots: int32(c.Slots),
	}
	for id, model := range c.Models.All() {
		m := &wire.ModelFacts{
			AdapterMb: int32(model.AdapterMB), Adapters: int32(model.Adapters), MemoryMb: int32(model.MemoryMB), Model: string(id),
		}
		for _, tier := range loadTimeTiers {
			m.LoadMs = append(m.LoadMs, int64(model.LoadTimes[tier]))
		}
		out.Models = append(out.Models, m)
	}
	return out
}

// listChangeFromWire returns the change in m, or nil if there is none.
func listChangeFromWire(m *wire.ListChange) *buckthorndyke.ListChange {
	if m == nil {
		return nil
	}
	out := &buckthorndyke.ListChange{Removed: fromStrings[buckthorndyke.RunnerID](m.Gone)}
	for _, s := range m.Changed {
		out.Changed = append(out.Changed, backendFromWire(s))
	}
	return out
}

// listChangeToWire returns the message that carries c, or nil if there is none.
func listChangeToWire(c *buckthorndyke.ListChange) *wire.ListChange {
	if c == nil {
		return nil
	}
	out := &wire.ListChange{Gone: toStrings(c.Removed)}
	for _, b := range c.Changed {
		out.Changed = append(out.Changed, backendToWire(b))
	}
	return out
}

// loadedModelsFromWire returns the loaded models in list.
func loadedModelsFromWire(list []*wire.Holding) []buckthorndyke.LoadedModel {
	var out []buckthorndyke.LoadedModel
	for _, m := range list {
		out = append(out, buckthorndyke.LoadedModel{Adapters: m.Adapters, Model: buckthorndyke.ModelID(m.Model)})
	}
	return out
}

// loadedModelsToWire returns the messages that carry list.
func loadedModelsToWire(list []buckthorndyke.LoadedModel) []*wire.Holding {
	var out []*wire.Holding
	for _, m := range list {
		out = append(out, &wire.Holding{Adapters: m.Adapters, Model: string(m.Model)})
	}
	return out
}

// routeFromWire returns the route in m.
func routeFromWire(m *wire.Route) buckthorndyke.Route {
	out := buckthorndyke.Route{
		Attempts:      int(m.Attempts),
		GapTarget:     buckthorndyke.Millis(m.GapTargetMs),
		Host:          m.Host,
		Kind:          buckthorndyke.RouteKind(m.Kind),
		LatencyTarget: buckthorndyke.Millis(m.TargetMs),
		Name:          m.Name,
		Prefix:        m.Prefix,
		Priority:      int(m.Priority),
		Public:        m.Public,
		Resumable:     m.Resumable,
		Timeout:       buckthorndyke.Millis(m.TimeoutMs),
	}
	for _, t := range m.Targets {
		out.Targets = append(out.Targets, buckthorndyke.RouteTarget{Service: buckthorndyke.ServiceID(t.Service), Weight: int(t.Weight)})
	}
	return out
}

// routeToWire returns the message that carries r.
func routeToWire(r buckthorndyke.Route) *wire.Route {
	out := &wire.Route{
		Attempts:    int32(r.Attempts),
		GapTargetMs: int64(r.GapTarget),
		Host:        r.Host,
		Kind:        string(r.Kind),
		Name:        r.Name,
		Prefix:      r.Prefix,
		Priority:    int32(r.Priority),
		Public:      r.Public,
		Resumable:   r.Resumable,
		TargetMs:    int64(r.LatencyTarget),
		TimeoutMs:   int64(r.Timeout),
	}
	for _, t := range r.Targets {
		out.Targets = append(out.Targets, &wire.RouteTarget{Service: string(t.Service), Weight: int32(t.Weight)})
	}
	return out
}

// RoutingFromWire returns the configuration in m.
func RoutingFromWire(m *wire.Routing) buckthorndyke.Routing {
	out := buckthorndyke.Routing{
		Callers: callersFromWire(m.GetCallers(), m.GetCallersRequired()),
		Limits: buckthorndyke.ClientLimits{
			BodyBytes:     m.GetBodyBytes(),
			HeaderBytes:   int(m.GetHeaderBytes()),
			HeaderTimeout: buckthorndyke.Millis(m.GetHeaderTimeoutMs()),
			IdleTimeout:   buckthorndyke.Millis(m.GetIdleTimeoutMs()),
		},
		Version: m.GetVersion(),
	}
	for _, s := range m.GetServices() {
		out = out.WithService(buckthorndyke.BackendService{
			ConnectionLimit: int(s.ConnectionLimit), Engine: engineConfigFromWire(s.Engine), ID: buckthorndyke.ServiceID(s.Id),
		})
	}
	var routes []buckthorndyke.Route
	for _, r := range m.GetRoutes() {
		routes = append(routes, routeFromWire(r))
	}
	return out.WithRoutes(routes)
}

// RoutingToWire returns the message that carries r.
func RoutingToWire(r buckthorndyke.Routing) *wire.Routing {
	out := &wire.Routing{
		BodyBytes:       r.Limits.BodyBytes,
		Callers:         callersToWire(r.Callers),
		CallersRequired: r.Callers.Required(),
		HeaderBytes:     int32(r.Limits.HeaderBytes),
		HeaderTimeoutMs: int64(r.Limits.HeaderTimeout),
		IdleTimeoutMs:   int64(r.Limits.IdleTimeout),
		Version:         r.Version,
	}
	for _, s := range r.Services.All() {
		out.Services = append(out.Services, &wire.RoutedService{
			ConnectionLimit: int32(s.ConnectionLimit), Engine: engineConfigToWire(s.Engine), Id: string(s.ID),
		})
	}
	for route := range r.All() {
		out.Routes = append(out.Routes, routeToWire(route))
	}
	return out
}
