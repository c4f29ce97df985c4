package quarantiner

import (
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// crashLimit is the number of crashes after which a fingerprint is quarantined that
	// stands in each of them.
	crashLimit = 3
	// aloneLimit is the same if in one of them no other request was in flight.
	aloneLimit = 2
	// ambiguousLimit is the same if another fingerprint stands in these crashes as well,
	// and neither is more specific than the other.
	ambiguousLimit = 5
)

// suspect is a fingerprint with the crashes that it may have caused.
type suspect struct {
	crashes []string
	// within holds the more specific fingerprints of the requests that have it.
	within map[buckthorndyke.Fingerprint]bool
}

// judged returns the evidence with the quarantines that follow from its crashes. A crash
// during which a quarantined request was in flight counts against no other.
func (e Evidence) judged(now buckthorndyke.Millis) Evidence {
	for {
		before := e.version
		for _, f := range e.culprits() {
			e = e.withQuarantine(f, quarantine{since: now, until: now + quarantineTTL})
		}
		if e.version == before {
			return e
		}
	}
}

// culprits returns the fingerprints that the crashes not explained yet convict. Of a
// request's fingerprints the most specific one counts: to quarantine it refuses the
// fewest other requests.
func (e Evidence) culprits() []buckthorndyke.Fingerprint {
	candidates := e.candidates()
	var out []buckthorndyke.Fingerprint
	for f, s := range candidates {
		specific, ambiguous := true, false
		for other, o := range candidates {
			switch {
			case other == f:
			case s.within[other] && !o.within[f]:
				specific = false
			case o.explains(s) && s.within[other] == o.within[f]:
				ambiguous = true
			}
		}
		if specific && (!ambiguous || len(s.crashes) >= ambiguousLimit) {
			out = append(out, f)
		}
	}
	slices.Sort(out)
	return out
}

// candidates returns the frequent fingerprints with their crashes.
func (e Evidence) candidates() map[buckthorndyke.Fingerprint]*suspect {
	frequent := e.frequent()
	suspects := make(map[buckthorndyke.Fingerprint]*suspect)
	if len(frequent) == 0 {
		return suspects
	}
	for name, c := range e.crashes.All() {
		if e.explained(c) {
			continue
		}
		for _, r := range c.requests {
			for i, f := range r {
				if !frequent[f] || e.exonerated(f, c) {
					continue
				}
				s, ok := suspects[f]
				if !ok {
					s = &suspect{within: make(map[buckthorndyke.Fingerprint]bool)}
					suspects[f] = s
				}
				s.add(name, r[i+1:])
			}
		}
	}
	return suspects
}

// crashCount counts the crashes that a fingerprint stands in.
type crashCount struct {
	alone   bool
	crashes int
	// last is the crash that was counted last.
	last string
}

// frequent returns the fingerprints that stand in enough crashes.
func (e Evidence) frequent() map[buckthorndyke.Fingerprint]bool {
	all := make(map[buckthorndyke.Fingerprint]crashCount)
	for name, c := range e.crashes.All() {
		if e.explained(c) {
			continue
		}
		for _, r := range c.requests {
			for _, f := range r {
				n := all[f]
				if n.last == name || e.exonerated(f, c) {
					continue
				}
				all[f] = crashCount{alone: n.alone || c.alone, crashes: n.crashes + 1, last: name}
			}
		}
	}
	enough := make(map[buckthorndyke.Fingerprint]bool)
	for f, n := range all {
		if n.crashes >= crashLimit || n.alone && n.crashes >= aloneLimit {
			enough[f] = true
		}
	}
	return enough
}

// explained reports whether a request of c is quarantined.
func (e Evidence) explained(c crash) bool {
	for f := range e.quarantines.All() {
		if c.has(f) {
			return true
		}
	}
	return false
}

// explains reports whether s stands in each crash of other.
func (s *suspect) explains(other *suspect) bool {
	for _, name := range other.crashes {
		if !slices.Contains(s.crashes, name) {
			return false
		}
	}
	return true
}

// add adds a crash during which a request with the more specific fingerprints within was
// in flight.
func (s *suspect) add(name string, within []buckthorndyke.Fingerprint) {
	if !slices.Contains(s.crashes, name) {
		s.crashes = append(s.crashes, name)
	}
	for _, f := range within {
		s.within[f] = true
	}
}
