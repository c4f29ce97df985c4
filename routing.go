package buckthorndyke

import (
	"cmp"
	"iter"
	"net"
	"slices"
	"strings"
)

// Kinds of routes.
const (
	// RouteSafe is for requests that may run more than once.
	RouteSafe RouteKind = "safe"
	// RouteStream is for requests whose response is a stream of events.
	RouteStream RouteKind = "stream"
	// RouteUnsafe is for requests that may run at most once.
	RouteUnsafe RouteKind = "unsafe"
)

// RouteKind says whether the requests on a route may run more than once.
type RouteKind string

// RouteTarget is a service that a route sends requests to.
type RouteTarget struct {
	Service ServiceID
	// Weight is the service's share of the requests, relative to the other targets
	// of the route.
	Weight int
}

const (
	// minEventWait and the two factors determine how long clients wait for the next
	// event of a stream before they disconnect, as the platform documents it: the
	// longest of minEventWait and the two multiples of the route's latency target and
	// gap target.
	minEventWait        = 2 * Second
	latencyTargetFactor = 4
	gapTargetFactor     = 8
)

// Route says which services handle the requests for a host and path prefix, and
// how.
type Route struct {
	// Attempts is the maximum number of backend servers that may run one request.
	Attempts int
	// GapTarget is the objective for the longest pause between two events of a
	// stream.
	GapTarget Millis
	Host      string
	Kind      RouteKind
	// LatencyTarget is the objective for the latency.
	LatencyTarget Millis
	Name          string
	// Prefix is the path prefix. It starts and ends with a slash.
	Prefix string
	// Priority is 0 for the most urgent requests.
	Priority int
	// Public is set if requests need no key of a caller.
	Public bool
	// Resumable is set if another backend server may continue a stream that was cut.
	Resumable bool
	Targets   []RouteTarget
	// Timeout is the maximum time that a request may wait.
	Timeout Millis
}

// EventWait returns how long clients wait for the next event of a stream before they
// disconnect.
func (r Route) EventWait() Millis {
	return max(minEventWait, latencyTargetFactor*r.LatencyTarget, gapTargetFactor*r.GapTarget)
}

// Repeatable reports whether a request that may have run can be sent again.
func (r Route) Repeatable() bool {
	return r.Kind == RouteSafe || r.Kind == RouteStream && r.Resumable
}

// TargetFor returns the service that seed selects among the route's targets by their
// weights, or false if the route has no targets.
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

// ModelConfig is the configuration of a model.
type ModelConfig struct {
	// AdapterMB is the memory of one adapter in megabytes.
	AdapterMB int
	// Adapters is the number of the model's adapters.
	Adapters int
	// LoadTimes holds the load time for each tier of the checkpoint.
	LoadTimes map[Tier]Millis
	// MemoryMB is the memory of the weights in megabytes.
	MemoryMB int
}

// EngineConfig is the configuration of the runners of a service.
type EngineConfig struct {
	// AdapterSlots is the maximum number of adapters in a runner's memory.
	AdapterSlots int
	// CacheTokens is the memory of a runner for the tokens of running requests and of
	// cached prompts, or 0 if unknown.
	CacheTokens int
	// LoadsPerSecond is the maximum rate of loads from the weight store, over all
	// runners.
	LoadsPerSecond float64
	// MemoryMB is the memory of a runner for weights in megabytes.
	MemoryMB int
	Models   Table[ModelID, ModelConfig]
	// Slots is the maximum number of requests in a runner's batch.
	Slots int
}

// BackendService is a service that routes send requests to.
type BackendService struct {
	// ConnectionLimit is the maximum number of connections that one of its servers
	// accepts, over all callers.
	ConnectionLimit int
	// Engine is nil for a plain service.
	Engine *EngineConfig
	ID     ServiceID
}

// ClientLimits limits the requests and connections of clients.
type ClientLimits struct {
	BodyBytes     int64
	HeaderBytes   int
	HeaderTimeout Millis
	IdleTimeout   Millis
}

// RoutingRecord is the platform's record of a configuration.
type RoutingRecord struct {
	// Bytes is the size of the record, or 0 if unknown.
	Bytes int
	// Era and Next are the era of the store and the position from which on the topic has
	// later records. Positions of different eras must not be compared.
	Era, Next int64
}

// Routing is one version of the operator's configuration. It is immutable.
type Routing struct {
	// CallerFaults are the irregular values in the callers of a configuration that this VM
	// has read itself.
	CallerFaults []CallerFault
	// Callers are the zero value if the configuration has none.
	Callers Callers
	// Copied is set if another VM gave the configuration, whose age is not known.
	Copied bool
	Limits ClientLimits
	// Record is where the configuration was read.
	Record   RoutingRecord
	Services Table[ServiceID, BackendService]
	// Transfer is the time that the transfer of a configuration from the platform took, by
	// which it was read earlier.
	Transfer Millis
	// Version increases with each configuration. It is 0 before the first one.
	Version int64
	// routes holds the routes of each host, sorted by falling length of the prefix.
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

// Route returns the route of host with the longest prefix that matches path. A port
// in host is ignored.
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

// WithRoutes returns a copy of r with the given routes in place of its own.
func (r Routing) WithRoutes(routes []Route) Routing {
	hosts := make(map[string][]Route)
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		hosts[host] = append(hosts[host], route)
	}
	r.routes = Table[string, []Route]{}
	for host, hostRoutes := range hosts {
		slices.SortStableFunc(hostRoutes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
		r.routes = r.routes.With(host, hostRoutes)
	}
	return r
}

// WithService returns a copy of r that includes s.
func (r Routing) WithService(s BackendService) Routing {
	r.Services = r.Services.With(s.ID, s)
	return r
}
