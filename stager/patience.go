package stager

import "github.com/buckthorndyke/buckthorndyke"

const (
	// minEventWait and the two factors are those by which a relaying VM determines how
	// long a request for a stream may wait: the longest of minEventWait and the two
	// multiples of the route's latency target and gap target.
	minEventWait        = 2 * buckthorndyke.Second
	latencyTargetFactor = 4
	gapTargetFactor     = 8
)

// patienceOf returns how long the least patient requests for models of each service wait.
// A model whose load takes longer is lost to them, not delayed.
func patienceOf(r buckthorndyke.Routing) map[buckthorndyke.ServiceID]buckthorndyke.Millis {
	out := make(map[buckthorndyke.ServiceID]buckthorndyke.Millis)
	for route := range r.All() {
		wait := route.Timeout
		if route.Kind == buckthorndyke.RouteStream {
			gap := max(minEventWait, latencyTargetFactor*route.LatencyTarget, gapTargetFactor*route.GapTarget)
			if wait == 0 || gap < wait {
				wait = gap
			}
		}
		for _, target := range route.Targets {
			if least, ok := out[target.Service]; wait > 0 && (!ok || wait < least) {
				out[target.Service] = wait
			}
		}
	}
	return out
}
