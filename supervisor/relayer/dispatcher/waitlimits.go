package dispatcher

import (
	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/sequencer"
)

const (
	// responseMargin is how long before the client disconnects a refusal is sent.
	responseMargin = 300 * buckthorndyke.Millisecond
	// plainPermille is the part of a request's time limit, in thousandths, that it may
	// wait for a server of a service without models.
	plainPermille = 600
	// leaderlessPermille is the same part for a model while there is no leader, or if the
	// model will be loaded too late.
	leaderlessPermille = 150
	// minNotLoadingWait is the minimum time that a request waits for a model that is not
	// being loaded: the leader has to receive the demand before it orders a load.
	minNotLoadingWait = 600 * buckthorndyke.Millisecond
)

// waitLimits holds the instants until which a request may wait for a server, depending
// on the state of its model. It is immutable.
type waitLimits struct {
	// drain applies to all requests of a VM that is draining, or is 0.
	drain buckthorndyke.Millis
	// leaderless applies to a model while there is no leader, or if the model will be
	// loaded too late.
	leaderless buckthorndyke.Millis
	// loading applies to a model that is being loaded.
	loading buckthorndyke.Millis
	// longest is how long a request of the route may wait for a model.
	longest buckthorndyke.Millis
	// notLoading applies to a model that is not being loaded.
	notLoading buckthorndyke.Millis
	// plain applies to a service without models.
	plain buckthorndyke.Millis
}

// newWaitLimits returns the limits of a request that arrived at from and has to be
// finished at deadline.
func newWaitLimits(route buckthorndyke.Route, from, deadline buckthorndyke.Millis) waitLimits {
	span := deadline - from
	longest := span - responseMargin
	if route.Kind == buckthorndyke.RouteStream {
		longest = min(longest, route.EventWait()-responseMargin)
	}
	longest = max(longest, 0)
	return waitLimits{
		leaderless: from + min(span*leaderlessPermille/1000, longest),
		loading:    from + longest,
		longest:    longest,
		notLoading: from + min(max(route.LatencyTarget, minNotLoadingWait), span*plainPermille/1000, longest),
		plain:      from + span*plainPermille/1000,
	}
}

// Until returns the instant until which a request for key may wait. The model is
// expected to be loaded at the given instant, or is not being loaded if that is 0.
func (l waitLimits) Until(key buckthorndyke.ModelKey, hasLeader bool, expected buckthorndyke.Millis) buckthorndyke.Millis {
	until := l.plain
	switch {
	case key.Model == "":
	case !hasLeader, expected > l.loading:
		until = l.leaderless
	case expected == 0:
		until = l.notLoading
	default:
		until = l.loading
	}
	return l.drained(until)
}

// UntilRoom returns the instant until which a request may wait for a runner that has loaded
// its model. A late response is worth more than a refusal.
func (l waitLimits) UntilRoom() buckthorndyke.Millis { return l.drained(l.loading) }

// drained returns the instant until, or an earlier one on a VM that is draining.
func (l waitLimits) drained(until buckthorndyke.Millis) buckthorndyke.Millis {
	if l.drain > 0 {
		until = min(until, l.drain)
	}
	return until
}

// BetterHeld reports whether a request whose model is expected to be loaded later than it may
// wait is better refused at an instant than at now: its client returns once, and only if it
// was told later will it wait long enough then.
func (l waitLimits) BetterHeld(now, until, deadline, expected buckthorndyke.Millis) bool {
	return expected > l.reach(now, deadline) && expected <= l.reach(until, deadline)
}

// reach returns until when a client that is refused at an instant waits after its return.
func (l waitLimits) reach(at, deadline buckthorndyke.Millis) buckthorndyke.Millis {
	back := at + sequencer.SoonestReturn((deadline-at)/expectedDivisor)
	return min(back+l.longest, deadline-responseMargin)
}

// Longest returns the instant after which the request is of no use, whatever is known of its
// model.
func (l waitLimits) Longest() buckthorndyke.Millis {
	if l.drain > 0 {
		return min(l.loading, l.drain)
	}
	return l.loading
}

// WithDrain returns the limits on a VM on which no request may wait after the given
// instant.
func (l waitLimits) WithDrain(until buckthorndyke.Millis) waitLimits {
	l.drain = until
	return l
}
