package quarantiner

import (
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// crashTTL is how long a crash is remembered.
	crashTTL = 5 * 60 * buckthorndyke.Second
	// quarantineTTL is how long a quarantine lasts. After it the request has to crash
	// servers again to be quarantined again.
	quarantineTTL = 10 * 60 * buckthorndyke.Second
	// defaultServedWindow is the time before a crash from which on an answer to a
	// request with a fingerprint shows that the fingerprint did not cause the crash.
	defaultServedWindow = 10 * buckthorndyke.Second
	// servedStep is the shortest time between two notes that a fingerprint was served.
	servedStep = buckthorndyke.Second

	// maxCrashes, maxQuarantines and maxServed bound the entries; the oldest are
	// dropped. maxRequests bounds the requests of a crash, maxFingerprints the
	// fingerprints of a request.
	maxCrashes      = 48
	maxFingerprints = 16
	maxQuarantines  = 1024
	maxRequests     = 32
	maxServed       = 1024
)

// Evidence is what a VM knows of crashes of servers, the requests that may have caused
// them, and the quarantines that follow from it. It is immutable and limited in size.
type Evidence struct {
	crashes buckthorndyke.Table[string, crash]
	// known holds the fingerprints in crashes and quarantines. It is never changed.
	known       map[buckthorndyke.Fingerprint]struct{}
	quarantines buckthorndyke.Table[buckthorndyke.Fingerprint, quarantine]
	// served holds the fingerprints in crashes and quarantines that a server has begun
	// to answer.
	served       buckthorndyke.Table[buckthorndyke.Fingerprint, served]
	servedWindow buckthorndyke.Millis
	// version increases with each change.
	version uint64
}

// crash is the end of a server with the requests that it had not begun to answer.
type crash struct {
	alone    bool
	at       buckthorndyke.Millis
	lifetime buckthorndyke.Lifetime
	requests [][]buckthorndyke.Fingerprint
	version  uint64
}

// quarantine is the quarantine of a fingerprint.
type quarantine struct {
	since, until buckthorndyke.Millis
	version      uint64
}

// served is the last time at which a server began to answer a fingerprint.
type served struct {
	at      buckthorndyke.Millis
	version uint64
}

// Option configures an Evidence.
type Option func(*Evidence)

// WithServedWindow sets the time before a crash from which on an answer exonerates a
// fingerprint.
func WithServedWindow(d buckthorndyke.Millis) Option {
	return func(e *Evidence) { e.servedWindow = d }
}

// New returns evidence of no crash.
func New(opts ...Option) Evidence {
	e := Evidence{servedWindow: defaultServedWindow}
	for _, opt := range opts {
		opt(&e)
	}
	return e
}

// Crashes returns the number of crashes that a fingerprint may have caused.
func (e Evidence) Crashes(f buckthorndyke.Fingerprint) int {
	n := 0
	for _, c := range e.crashes.All() {
		if c.has(f) && !e.exonerated(f, c) {
			n++
		}
	}
	return n
}

// Knows reports whether a fingerprint stands in a crash or is quarantined.
func (e Evidence) Knows(f buckthorndyke.Fingerprint) bool {
	_, ok := e.known[f]
	return ok
}

// Quarantined reports whether a request with these fingerprints is quarantined, and for
// how long.
func (e Evidence) Quarantined(
	fingerprints []buckthorndyke.Fingerprint, now buckthorndyke.Millis,
) (buckthorndyke.Millis, bool) {
	if e.quarantines.Len() == 0 {
		return 0, false
	}
	for _, f := range fingerprints {
		if q, ok := e.quarantines.Get(f); ok && now < q.until {
			return q.until - now, true
		}
	}
	return 0, false
}

// Quarantines yields the quarantined fingerprints.
func (e Evidence) Quarantines() []buckthorndyke.Fingerprint {
	var out []buckthorndyke.Fingerprint
	for f := range e.quarantines.All() {
		out = append(out, f)
	}
	return out
}

// Since returns the changes after version, as told to another VM at now.
func (e Evidence) Since(version uint64, now buckthorndyke.Millis) buckthorndyke.CrashEvidence {
	out := buckthorndyke.CrashEvidence{Version: e.version}
	if version == e.version {
		return out
	}
	for _, c := range e.crashes.All() {
		if c.version > version {
			out.Crashes = append(out.Crashes, buckthorndyke.Crash{
				Age: now - c.at, Alone: c.alone, Lifetime: c.lifetime, Requests: c.requests,
			})
		}
	}
	for f, q := range e.quarantines.All() {
		if q.version > version && now < q.until {
			out.Quarantines = append(out.Quarantines, buckthorndyke.QuarantineNotice{
				Age: now - q.since, Fingerprint: f, Left: q.until - now,
			})
		}
	}
	for f, s := range e.served.All() {
		if s.version > version {
			out.Served = append(out.Served, buckthorndyke.ServedFingerprint{Age: now - s.at, Fingerprint: f})
		}
	}
	return out
}

// Suspected reports whether a fingerprint may have caused a crash.
func (e Evidence) Suspected(f buckthorndyke.Fingerprint) bool { return e.Crashes(f) > 0 }

// Version returns the version of the evidence.
func (e Evidence) Version() uint64 { return e.version }

// With returns the evidence with that of another VM, which was received at now.
func (e Evidence) With(other buckthorndyke.CrashEvidence, now buckthorndyke.Millis) Evidence {
	before := e.version
	for _, s := range other.Served {
		e = e.withServed(s.Fingerprint, now-s.Age)
	}
	for _, q := range other.Quarantines {
		e = e.withQuarantine(q.Fingerprint, quarantine{since: now - q.Age, until: now + min(q.Left, quarantineTTL)})
	}
	for _, c := range other.Crashes {
		e = e.withCrash(c, now)
	}
	if e.version == before {
		return e
	}
	return e.settled(now)
}

// WithCrash returns the evidence with a crash. What several VMs report of one server's
// end counts as one crash.
func (e Evidence) WithCrash(c buckthorndyke.Crash, now buckthorndyke.Millis) Evidence {
	return e.withCrash(c, now).settled(now)
}

// WithServed returns the evidence after a server has begun to answer a request with a
// fingerprint. It changes nothing for one that the evidence does not know.
func (e Evidence) WithServed(f buckthorndyke.Fingerprint, at buckthorndyke.Millis) Evidence {
	if !e.Knows(f) {
		return e
	}
	return e.withServed(f, at)
}

// exonerated reports whether a fingerprint was served so late that it has not caused c.
func (e Evidence) exonerated(f buckthorndyke.Fingerprint, c crash) bool {
	s, ok := e.served.Get(f)
	return ok && s.at >= c.at-e.servedWindow
}

func (e Evidence) withCrash(c buckthorndyke.Crash, now buckthorndyke.Millis) Evidence {
	name := c.Lifetime.String()
	known, ok := e.crashes.Get(name)
	if !ok {
		known = crash{alone: c.Alone, at: now - c.Age, lifetime: c.Lifetime}
	}
	requests := slices.Clip(known.requests)
	for _, r := range c.Requests {
		r = r[max(len(r)-maxFingerprints, 0):]
		if len(r) > 0 && len(requests) < maxRequests && !known.hasRequest(r) {
			requests = append(requests, r)
		}
	}
	if len(requests) == len(known.requests) {
		return e
	}
	e.version++
	known.requests, known.version = requests, e.version
	e.crashes = e.crashes.With(name, known)
	return e
}

func (e Evidence) withQuarantine(f buckthorndyke.Fingerprint, q quarantine) Evidence {
	if s, ok := e.served.Get(f); ok && s.at >= q.since-e.servedWindow {
		return e
	}
	if known, ok := e.quarantines.Get(f); ok && known.until+servedStep >= q.until {
		return e
	}
	e.version++
	q.version = e.version
	e.quarantines = e.quarantines.With(f, q)
	return e
}

func (e Evidence) withServed(f buckthorndyke.Fingerprint, at buckthorndyke.Millis) Evidence {
	if known, ok := e.served.Get(f); ok && known.at+servedStep > at {
		return e
	}
	e.version++
	e.served = e.served.With(f, served{at: at, version: e.version})
	if q, ok := e.quarantines.Get(f); ok && at >= q.since-e.servedWindow {
		e.quarantines = e.quarantines.Without(f)
	}
	return e
}

// pruned returns the evidence without entries that have expired or exceed the limits.
func (e Evidence) pruned(now buckthorndyke.Millis) Evidence {
	e.crashes = prune(e.crashes, maxCrashes, now, func(c crash) (at, until buckthorndyke.Millis) {
		return c.at, c.at + crashTTL
	})
	e.quarantines = prune(e.quarantines, maxQuarantines, now, func(q quarantine) (at, until buckthorndyke.Millis) {
		return q.since, q.until
	})
	e.served = prune(e.served, maxServed, now, func(s served) (at, until buckthorndyke.Millis) {
		return s.at, s.at + quarantineTTL
	})
	return e
}

// settled returns the evidence after a change: without old entries, and with the
// quarantines that follow.
func (e Evidence) settled(now buckthorndyke.Millis) Evidence {
	e = e.pruned(now).judged(now)
	e.known = make(map[buckthorndyke.Fingerprint]struct{})
	for _, c := range e.crashes.All() {
		for _, r := range c.requests {
			for _, f := range r {
				e.known[f] = struct{}{}
			}
		}
	}
	for f := range e.quarantines.All() {
		e.known[f] = struct{}{}
	}
	return e
}

// prune returns a table without the entries that have expired and without the oldest of
// more than limit. span returns when an entry began and when it expires.
func prune[K ~string, V any](
	t buckthorndyke.Table[K, V], limit int, now buckthorndyke.Millis, span func(V) (at, until buckthorndyke.Millis),
) buckthorndyke.Table[K, V] {
	for k, v := range t.All() {
		if _, until := span(v); now >= until {
			t = t.Without(k)
		}
	}
	for t.Len() > limit {
		var oldest K
		first := true
		var since buckthorndyke.Millis
		for k, v := range t.All() {
			if at, _ := span(v); first || at < since {
				oldest, since, first = k, at, false
			}
		}
		t = t.Without(oldest)
	}
	return t
}

// has reports whether a request of the crash has the fingerprint.
func (c crash) has(f buckthorndyke.Fingerprint) bool {
	for _, r := range c.requests {
		if slices.Contains(r, f) {
			return true
		}
	}
	return false
}

// hasRequest reports whether the crash has a request with the content of r.
func (c crash) hasRequest(r []buckthorndyke.Fingerprint) bool {
	return slices.ContainsFunc(c.requests, func(other []buckthorndyke.Fingerprint) bool {
		return other[len(other)-1] == r[len(r)-1]
	})
}
