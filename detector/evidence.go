package detector

import (
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

// Defaults.
const (
	// DefaultFanOut is the number of members that probe each member.
	DefaultFanOut = 4
	// DefaultMisses is the number of consecutive probes without an answer after
	// which a member is reported.
	DefaultMisses = 3
	// DefaultLoneMisses is the number after which a member is suspected although
	// no other member can confirm it.
	DefaultUnconfirmedMisses = 12
	// DefaultNewsAge is how long a peer's report counts.
	DefaultReportLifetime = 5 * buckthorndyke.Second
	// DefaultQuorum is the number of members that must report a suspect.
	DefaultQuorum = 2
)

// Evidence is what one member knows of the others' life. It is immutable.
type Detector struct {
	cfg     config
	contact buckthorndyke.Millis
	misses  buckthorndyke.Table[buckthorndyke.VMID, int]
	news    buckthorndyke.Table[buckthorndyke.VMID, report]
	self    buckthorndyke.VMID
	since   buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.Millis]
}

// report is what one member says about others.
type report struct {
	at       buckthorndyke.Millis
	suspects []buckthorndyke.VMID
}

type config struct {
	loneMisses int
	misses     int
	newsAge    buckthorndyke.Millis
	quorum     int
}

// Option configures Evidence.
type Option func(*config)

// WithMisses sets the consecutive probes without an answer after which a member
// is reported, and those after which it is suspected without confirmation.
func WithMisses(misses, lone int) Option {
	return func(c *config) { c.misses, c.loneMisses = misses, lone }
}

// WithNewsAge sets how long a peer's report counts.
func WithReportLifetime(d buckthorndyke.Millis) Option {
	return func(c *config) { c.newsAge = d }
}

// WithQuorum sets how many members must report a suspect.
func WithQuorum(n int) Option {
	return func(c *config) { c.quorum = n }
}

// NewEvidence returns the evidence of self, which has none yet.
func New(self buckthorndyke.VMID, opts ...Option) Detector {
	cfg := config{
		loneMisses: DefaultUnconfirmedMisses,
		misses:     DefaultMisses,
		newsAge:    DefaultReportLifetime,
		quorum:     DefaultQuorum,
	}
	for _, opt := range opts {
		opt(&cfg)
	}
	return Detector{cfg: cfg, self: self}
}

// Contact returns the instant at which a peer last answered or asked, or 0.
func (e Detector) LastContact() buckthorndyke.Millis { return e.contact }

// Doubtful returns the members that have not answered the last probe or that a
// peer reports, to be probed until they are cleared.
func (e Detector) Doubtful() []buckthorndyke.VMID {
	var doubtful []buckthorndyke.VMID
	for vm := range e.misses.All() {
		doubtful = append(doubtful, vm)
	}
	for _, r := range e.news.All() {
		doubtful = append(doubtful, r.suspects...)
	}
	slices.Sort(doubtful)
	return slices.Compact(doubtful)
}

// Reported returns the members that self itself cannot reach. These travel with
// its probes; what self has only heard does not, so that no report outlives the
// members that made it.
func (e Detector) Unreachable() []buckthorndyke.VMID {
	var reported []buckthorndyke.VMID
	for vm, n := range e.misses.All() {
		if n >= e.cfg.misses {
			reported = append(reported, vm)
		}
	}
	return reported
}

// WithAnswer returns evidence in which vm has answered at an instant. It refutes
// all that is held against vm until then.
func (e Detector) WithReply(vm buckthorndyke.VMID, at buckthorndyke.Millis) Detector {
	e.contact = max(e.contact, at)
	if e.misses.Has(vm) {
		e.misses = e.misses.Without(vm)
	}
	if !e.since.Has(vm) {
		return e
	}
	for from, r := range e.news.All() {
		if slices.Contains(r.suspects, vm) {
			r.suspects = slices.DeleteFunc(slices.Clone(r.suspects), func(s buckthorndyke.VMID) bool { return s == vm })
			e.news = e.news.With(from, r)
		}
	}
	return e
}

// WithMiss returns evidence in which vm has left one more probe unanswered.
func (e Detector) WithMiss(vm buckthorndyke.VMID) Detector {
	n, _ := e.misses.Get(vm)
	e.misses = e.misses.With(vm, n+1)
	return e
}

// WithNews returns evidence with what a peer reported at an instant, in place of
// what it reported before.
func (e Detector) WithReport(
	from buckthorndyke.VMID, suspects []buckthorndyke.VMID, at buckthorndyke.Millis,
) Detector {
	e.contact = max(e.contact, at)
	if len(suspects) == 0 {
		if e.news.Has(from) {
			e.news = e.news.Without(from)
		}
		return e
	}
	e.news = e.news.With(from, report{at: at, suspects: slices.Clone(suspects)})
	return e
}
