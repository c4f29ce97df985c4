package quarantiner

import "github.com/buckthorndyke/buckthorndyke"

const (
	// recentEntries and recentTime bound each of the two generations of a Recent.
	recentEntries = 4096
	recentTime    = 30 * buckthorndyke.Second
)

// Recent remembers which fingerprints a VM has seen served, so that it can exonerate
// them when another VM suspects them. It is immutable and limited in size.
type Recent struct {
	current, previous buckthorndyke.Table[buckthorndyke.Fingerprint, buckthorndyke.Millis]
	// since is the instant from which on current has been filled.
	since buckthorndyke.Millis
}

// Exonerate returns evidence with an entry for each of its fingerprints that was served
// recently.
func (r Recent) Exonerate(e buckthorndyke.CrashEvidence, now buckthorndyke.Millis) buckthorndyke.CrashEvidence {
	add := func(f buckthorndyke.Fingerprint) {
		if at, ok := r.at(f); ok {
			e.Served = append(e.Served, buckthorndyke.ServedFingerprint{Age: now - at, Fingerprint: f})
		}
	}
	for _, c := range e.Crashes {
		for _, request := range c.Requests {
			for _, f := range request {
				add(f)
			}
		}
	}
	for _, q := range e.Quarantines {
		add(q.Fingerprint)
	}
	return e
}

// With returns r with a fingerprint that was served at now.
func (r Recent) With(f buckthorndyke.Fingerprint, now buckthorndyke.Millis) Recent {
	if r.current.Len() >= recentEntries || now >= r.since+recentTime {
		r.current, r.previous, r.since = buckthorndyke.Table[buckthorndyke.Fingerprint, buckthorndyke.Millis]{}, r.current, now
	}
	r.current = r.current.With(f, now)
	return r
}

// at returns the last instant at which a fingerprint was served, if it is remembered.
func (r Recent) at(f buckthorndyke.Fingerprint) (buckthorndyke.Millis, bool) {
	if at, ok := r.current.Get(f); ok {
		return at, true
	}
	return r.previous.Get(f)
}
