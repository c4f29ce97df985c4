package selector

import "github.com/buckthorndyke/buckthorndyke"

const (
	// longDivisor divides the shortest recent target of a service: a prompt that is expected
	// to take longer to read than that part of it is long. With 4, two fifths of the long
	// prompts in a loaded test model did not count as long, since the learned read times of
	// long prompts are too short under load.
	longDivisor = 8
	// longFactor is how many times the average prompt of a service a long one has at least.
	// Under load, the expected time of any prompt contains the wait for others.
	longFactor = 2
	// promptWeight is the weight of a further prompt in that average.
	promptWeight = 1.0 / 64
	// targetWindow is how long a target counts after the last request with it, at least; it
	// counts at most twice as long.
	targetWindow = 10 * buckthorndyke.Second
)

// shortestTarget is the shortest target of a service's recent requests, and their average
// prompt. It is immutable.
type shortestTarget struct {
	// current and previous are the shortest targets of two successive windows, or 0.
	current, previous buckthorndyke.Millis
	// prompt is the average prompt of the service's requests, in tokens.
	prompt float64
	// since is the beginning of the current window.
	since buckthorndyke.Millis
}

// WithTarget returns a view after a request with a target has arrived.
func (v View) WithTarget(q Query) View {
	if q.Key.Model == "" || q.Target == 0 {
		return v
	}
	before, _ := v.shortestTargets.Get(q.Key.Service)
	v.shortestTargets = v.shortestTargets.With(q.Key.Service, before.with(q))
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
	uncached := v.UncachedTokens(listed, q)
	if float64(uncached) < longFactor*targets.prompt {
		return false
	}
	s := Sent{Backend: listed, Key: q.Key}
	read, ok := v.timesOf(q.Key.Service)[workRead].Estimate(workOf(s, uncached), q.Now)
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
		return shortestTarget{previous: s.current, prompt: s.prompt, since: s.since + targetWindow}
	default:
		return shortestTarget{prompt: s.prompt, since: now}
	}
}

// with returns s after a request.
func (s shortestTarget) with(q Query) shortestTarget {
	s = s.turned(q.Now)
	if s.current == 0 || q.Target < s.current {
		s.current = q.Target
	}
	if s.prompt == 0 {
		s.prompt = float64(q.Tokens)
	}
	s.prompt += (float64(q.Tokens) - s.prompt) * promptWeight
	return s
}
