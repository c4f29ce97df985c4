package dispatcher

import "github.com/buckthorndyke/buckthorndyke"

const (
	// gapLimit and the two factors bound how long clients of a stream wait for its
	// next event, from the platform's description of its clients.
	gapLimit        = 2 * buckthorndyke.Second
	gapTargets      = 4
	gapPauseTargets = 8
	// holdMargin is the part of a client's patience that is left for the answer.
	holdMargin = 300 * buckthorndyke.Millisecond
	// holdShare is the part of a request's time, in thousandths, for which it may
	// wait for a server of a plain service.
	holdShare = 600
	// unledShare is the same part for a model while no VM gives orders, or if the
	// model comes too late.
	unledShare = 150
	// unplannedLeast is the least time for which a request waits for a model that is
	// not being loaded: its leader needs some time to hear of it.
	unplannedLeast = 600 * buckthorndyke.Millisecond
)

// patience holds the instants until which a request waits for a server. It is
// immutable.
type patience struct {
	// coming is for a model that is being loaded.
	coming buckthorndyke.Millis
	// drained is for all requests of a VM that stops, or 0.
	drained buckthorndyke.Millis
	// plain is for a plain service.
	plain buckthorndyke.Millis
	// unled is for a model while no VM gives orders, or if the model comes too late.
	unled buckthorndyke.Millis
	// unplanned is for a model that is not being loaded.
	unplanned buckthorndyke.Millis
}

// newPatience returns the patience of a request that arrived at from and whose
// time is over at due.
func newPatience(route buckthorndyke.Route, from, due buckthorndyke.Millis) patience {
	span := due - from
	longest := span - holdMargin
	if route.Kind == buckthorndyke.RouteStream {
		gap := max(gapLimit, gapTargets*route.LatencyTarget, gapPauseTargets*route.GapTarget)
		longest = min(longest, gap-holdMargin)
	}
	longest = max(longest, 0)
	return patience{
		coming:    from + longest,
		plain:     from + span*holdShare/1000,
		unled:     from + min(span*unledShare/1000, longest),
		unplanned: from + min(max(route.LatencyTarget, unplannedLeast), span*holdShare/1000, longest),
	}
}

// Until returns the instant until which a request for key waits. The model is
// expected at the given instant, or not at all if that is 0.
func (p patience) Until(key buckthorndyke.ModelKey, led bool, expected buckthorndyke.Millis) buckthorndyke.Millis {
	until := p.plain
	switch {
	case key.Model == "":
	case !led, expected > p.coming:
		until = p.unled
	case expected == 0:
		until = p.unplanned
	default:
		until = p.coming
	}
	if p.drained > 0 {
		until = min(until, p.drained)
	}
	return until
}

// WithDrain returns the patience in a VM in which nothing waits after the given
// instant.
func (p patience) WithDrain(until buckthorndyke.Millis) patience {
	p.drained = until
	return p
}
