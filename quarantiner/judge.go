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
	// and neither contains the other.
	ambiguousLimit = 5
)

// suspect is a fingerprint with the crashes that it may have caused.
type suspect struct {
	alone   bool
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
			case s.within[other]:
				specific = false
			case o.explains(s) && !o.within[f]:
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

// candidates returns the fingerprints that stand in enough crashes.
func (e Evidence) candidates() map[buckthorndyke.Fingerprint]*suspect {
	suspects := make(map[buckthorndyke.Fingerprint]*suspect)
	for name, c := range e.crashes.All() {
		if e.explained(c) {
			continue
		}
		for _, r := range c.requests {
			for i, f := range r {
				if e.exonerated(f, c) {
					continue
				}
				s, ok := suspects[f]
				if !ok {
					s = &suspect{within: make(map[buckthorndyke.Fingerprint]bool)}
					suspects[f] = s
				}
				s.add(name, c.alone, r[i+1:])
			}
		}
	}
	for f, s := range suspects {
		if len(s.crashes) < crashLimit && (!s.alone || len(s.crashes) < aloneLimit) {
			delete(suspects, f)
		}
	}
	return suspects
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
func (s *suspect) add(name string, alone bool, within []buckthorndyke.Fingerprint) {
	if !slices.Contains(s.crashes, name) {
		s.crashes = append(s.crashes, name)
	}
	s.alone = s.alone || alone
	for _, f := range within {
		s.within[f] = true
	}
}
