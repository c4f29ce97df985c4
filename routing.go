package buckthorndyke

import (
	"cmp"
	"iter"
	"net"
	"slices"
	"strings"
)

// Kinds of routes. They say what may be repeated.
const (
	// RouteSafe requests may run more than once.
	RouteSafe RouteKind = "safe"
	// RouteStream requests are answered by a stream of events.
	RouteStream RouteKind = "stream"
	// RouteUnsafe requests run at most once.
	RouteUnsafe RouteKind = "unsafe"
)

// RouteKind says what may be repeated of the requests on a route.
type RouteKind string

// RouteTarget is a service that a route leads to, with its share.
type RouteTarget struct {
	Service ServiceID
	// Weight is the service's share among the route's targets.
	Weight int
}

// Route says which service answers requests for a host and a path, and how they
// are treated.
type Route struct {
	// Attempts is the most backend servers that may run one request.
	Attempts int
	// GapTarget is the longest pause between two events that is still on time.
	GapTarget Millis
	Host      string
	Kind      RouteKind
	// LatencyTarget is the latency objective.
	LatencyTarget Millis
	Name          string
	// Prefix begins the path. It begins and ends with a slash.
	Prefix string
	// Priority is 0 for the most urgent work.
	Priority int
	// Resumable is set if a stream may be carried on by another backend server.
	Resumable bool
	Targets   []RouteTarget
	// Timeout is the longest time that a request may be kept waiting.
	Timeout Millis
}

// Repeatable reports whether a request that may have run can be sent again.
func (r Route) Repeatable() bool {
	return r.Kind == RouteSafe || r.Kind == RouteStream && r.Resumable
}

// TargetFor returns the service that seed picks among the route's targets by
// their weights, or false if the route has none.
func (r Route) TargetFor(seed uint64) (ServiceID, bool) {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total == 0 {
		return "", false
	}
	at := int(seed % uint64(total))
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service, true
		}
		at -= t.Weight
	}
	return "", false
}

// ModelConfig is what the configuration says of a model.
type ModelConfig struct {
	// AdapterMB is the memory of one adapter in megabytes.
	AdapterMB int
	// Adapters is the number of the model's adapters.
	Adapters int
	// LoadTimes holds the load time by the tier of the checkpoint.
	LoadTimes map[Tier]Millis
	// MemoryMB is the memory of the weights in megabytes.
	MemoryMB int
}

// EngineConfig is what the configuration says of the runners of a service.
type EngineConfig struct {
	// AdapterSlots is the most adapters that a runner holds.
	AdapterSlots int
	// LoadsPerSecond is the most loads from the weight store, over all runners.
	LoadsPerSecond float64
	// MemoryMB is a runner's memory for weights in megabytes.
	MemoryMB int
	Models   Table[ModelID, ModelConfig]
	// Slots is the number of requests that a runner batches.
	Slots int
}

// BackendService is a service that routes lead to.
type BackendService struct {
	// ConnectionLimit is the most connections that one of its servers accepts
	// from all callers together.
	ConnectionLimit int
	// Engine is nil for a plain service.
	Engine *EngineConfig
	ID     ServiceID
}

// ClientLimits bounds what clients may send.
type ClientLimits struct {
	BodyBytes     int64
	HeaderBytes   int
	HeaderTimeout Millis
	IdleTimeout   Millis
}

// Routing is one version of the operator's configuration. It is immutable.
type Routing struct {
	Limits   ClientLimits
	Services Table[ServiceID, BackendService]
	// Version is higher for a later configuration. It is 0 before the first.
	Version int64
	// routes holds the routes of each host, the longest prefix first.
	routes Table[string, []Route]
}

// All yields all routes.
func (r Routing) All() iter.Seq[Route] {
	return func(yield func(Route) bool) {
		for _, routes := range r.routes.All() {
			for _, route := range routes {
				if !yield(route) {
					return
				}
			}
		}
	}
}

// Route returns the route with the longest prefix of path among those of host,
// which may have a port.
func (r Routing) Route(host, path string) (Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	routes, _ := r.routes.Get(strings.ToLower(host))
	for _, route := range routes {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// Routes returns the number of routes.
func (r Routing) Routes() int {
	n := 0
	for _, routes := range r.routes.All() {
		n += len(routes)
	}
	return n
}

// WithRoutes returns a routing that holds just the given routes.
func (r Routing) WithRoutes(routes []Route) Routing {
	hosts := make(map[string][]Route)
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		hosts[host] = append(hosts[host], route)
	}
	r.routes = Table[string, []Route]{}
	for host, of := range hosts {
		slices.SortStableFunc(of, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
		r.routes = r.routes.With(host, of)
	}
	return r
}

// WithService returns a routing that also holds s.
func (r Routing) WithService(s BackendService) Routing {
	r.Services = r.Services.With(s.ID, s)
	return r
}
