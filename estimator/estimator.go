// Package estimator estimates how long requests take from how long earlier ones took.
package estimator

import "github.com/buckthorndyke/buckthorndyke"

// window is the time for which a duration counts at least, and half of the time for which it
// counts at most.
const window = 30 * buckthorndyke.Second

// Peak is the longest of the recent durations. It is immutable.
type Peak struct {
	// current and previous are the longest durations of the window that began at start and
	// of the one before it.
	current, previous buckthorndyke.Millis
	// known is set if there is a duration in either window.
	known bool
	start buckthorndyke.Millis
}

// Value returns the longest recent duration, or false if there is none.
func (p Peak) Value(now buckthorndyke.Millis) (buckthorndyke.Millis, bool) {
	p = p.at(now)
	return max(p.current, p.previous), p.known
}

// With returns the peak with one more duration.
func (p Peak) With(duration, now buckthorndyke.Millis) Peak {
	p = p.at(now)
	if !p.known {
		p.start = now
	}
	p.current, p.known = max(p.current, duration), true
	return p
}

// at returns the peak without the durations that no longer count at now.
func (p Peak) at(now buckthorndyke.Millis) Peak {
	switch age := now - p.start; {
	case !p.known || age < window:
		return p
	case age < 2*window && p.current > 0:
		return Peak{known: true, previous: p.current, start: p.start + window}
	default:
		return Peak{}
	}
}
