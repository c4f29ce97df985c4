package stager

import "github.com/buckthorndyke/buckthorndyke"

// patienceOf returns how long the least patient requests for models of each service wait.
// A model whose load takes longer is lost to them, not delayed.
func patienceOf(r buckthorndyke.Routing) map[buckthorndyke.ServiceID]buckthorndyke.Millis {
	out := make(map[buckthorndyke.ServiceID]buckthorndyke.Millis)
	for route := range r.All() {
		wait := route.Timeout
		if route.Kind == buckthorndyke.RouteStream {
			if gap := route.EventWait(); wait == 0 || gap < wait {
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
