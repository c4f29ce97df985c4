package selector

import "github.com/buckthorndyke/buckthorndyke"

const (
	// longDivisor divides the shortest recent target of a service: a prompt that takes longer
	// to read than that part of it is long. Several short prompts may wait behind each other
	// within their target, but not behind several long ones.
	longDivisor = 4
	// targetWindow is how long a target counts after the last request with it, at least; it
	// counts at most twice as long.
	targetWindow = 10 * buckthorndyke.Second
)

// shortestTarget is the shortest target of a service's recent requests. It is immutable.
type shortestTarget struct {
	// current and previous are the shortest targets of two successive windows, or 0.
	current, previous buckthorndyke.Millis
	// since is the beginning of the current window.
	since buckthorndyke.Millis
}

// WithTarget returns a view after a request with a target has arrived.
func (v View) WithTarget(q Query) View {
	if q.Key.Model == "" || q.Target == 0 {
		return v
	}
	before, _ := v.shortestTargets.Get(q.Key.Service)
	if after := before.with(q.Target, q.Now); after != before {
		v.shortestTargets = v.shortestTargets.With(q.Key.Service, after)
	}
	return v
}

// Yields reports whether a server should read the prompt of a request after shorter ones of
// the same priority. That is so if the prompt is long, and the request nevertheless has more
// time left than one with the shortest target that arrives now.
func (v View) Yields(listed buckthorndyke.Backend, q Query) bool {
	targets, _ := v.shortestTargets.Get(q.Key.Service)
	shortest := targets.at(q.Now)
	if q.Key.Model == "" || shortest == 0 || q.Target <= shortest {
		return false
	}
	s := Sent{Backend: listed, Key: q.Key}
	read, ok := v.timesOf(q.Key.Service)[workRead].Estimate(workOf(s, v.UncachedTokens(listed, q)), q.Now)
	return ok && read.Time > shortest/longDivisor && q.Target-q.Waited-read.Time > shortest
}

// at returns the shortest target at now, or 0 if there is none.
func (s shortestTarget) at(now buckthorndyke.Millis) buckthorndyke.Millis {
	s = s.turned(now)
	if s.current == 0 || s.previous > 0 && s.previous < s.current {
		return s.previous
	}
	return s.current
}

// turned returns s with the windows at now.
func (s shortestTarget) turned(now buckthorndyke.Millis) shortestTarget {
	switch {
	case now < s.since+targetWindow:
		return s
	case now < s.since+2*targetWindow:
		return shortestTarget{previous: s.current, since: s.since + targetWindow}
	default:
		return shortestTarget{since: now}
	}
}

// with returns s after a request with a target.
func (s shortestTarget) with(target, now buckthorndyke.Millis) shortestTarget {
	s = s.turned(now)
	if s.current == 0 || target < s.current {
		s.current = target
	}
	return s
}
