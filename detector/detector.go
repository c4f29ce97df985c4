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
	cfg            config
	lastContact    buckthorndyke.Millis
	misses         buckthorndyke.Table[buckthorndyke.VMID, int]
	reports        buckthorndyke.Table[buckthorndyke.VMID, report]
	self           buckthorndyke.VMID
	suspectedSince buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.Millis]
}

// report is what one member says about others.
type report struct {
	at       buckthorndyke.Millis
	suspects []buckthorndyke.VMID
}

type config struct {
	misses            int
	quorum            int
	reportLifetime    buckthorndyke.Millis
	unconfirmedMisses int
}

// Option configures Evidence.
type Option func(*config)

// WithMisses sets the consecutive probes without an answer after which a member
// is reported, and those after which it is suspected without confirmation.
func WithMisses(misses, lone int) Option {
	return func(c *config) { c.misses, c.unconfirmedMisses = misses, lone }
}

// WithQuorum sets how many members must report a suspect.
func WithQuorum(n int) Option {
	return func(c *config) { c.quorum = n }
}

// WithNewsAge sets how long a peer's report counts.
func WithReportLifetime(d buckthorndyke.Millis) Option {
	return func(c *config) { c.reportLifetime = d }
}

// NewEvidence returns the evidence of self, which has none yet.
func New(self buckthorndyke.VMID, opts ...Option) Detector {
	cfg := config{
		misses:            DefaultMisses,
		quorum:            DefaultQuorum,
		reportLifetime:    DefaultReportLifetime,
		unconfirmedMisses: DefaultUnconfirmedMisses,
	}
	for _, opt := range opts {
		opt(&cfg)
	}
	return Detector{cfg: cfg, self: self}
}

// Doubtful returns the members that have not answered the last probe or that a
// peer reports, to be probed until they are cleared.
func (d Detector) Doubtful() []buckthorndyke.VMID {
	var doubtful []buckthorndyke.VMID
	for vm := range d.misses.All() {
		doubtful = append(doubtful, vm)
	}
	for _, r := range d.reports.All() {
		doubtful = append(doubtful, r.suspects...)
	}
	slices.Sort(doubtful)
	return slices.Compact(doubtful)
}

// Contact returns the instant at which a peer last answered or asked, or 0.
func (d Detector) LastContact() buckthorndyke.Millis { return d.lastContact }

// Reported returns the members that self itself cannot reach. These travel with
// its probes; what self has only heard does not, so that no report outlives the
// members that made it.
func (d Detector) Unreachable() []buckthorndyke.VMID {
	var reported []buckthorndyke.VMID
	for vm, n := range d.misses.All() {
		if n >= d.cfg.misses {
			reported = append(reported, vm)
		}
	}
	return reported
}

// WithMiss returns evidence in which vm has left one more probe unanswered.
func (d Detector) WithMiss(vm buckthorndyke.VMID) Detector {
	n, _ := d.misses.Get(vm)
	d.misses = d.misses.With(vm, n+1)
	return d
}

// WithAnswer returns evidence in which vm has answered at an instant. It refutes
// all that is held against vm until then.
func (d Detector) WithReply(vm buckthorndyke.VMID, at buckthorndyke.Millis) Detector {
	d.lastContact = max(d.lastContact, at)
	if d.misses.Has(vm) {
		d.misses = d.misses.Without(vm)
	}
	if !d.suspectedSince.Has(vm) {
		return d
	}
	for from, r := range d.reports.All() {
		if slices.Contains(r.suspects, vm) {
			r.suspects = slices.DeleteFunc(slices.Clone(r.suspects), func(s buckthorndyke.VMID) bool { return s == vm })
			d.reports = d.reports.With(from, r)
		}
	}
	return d
}

// WithNews returns evidence with what a peer reported at an instant, in place of
// what it reported before.
func (d Detector) WithReport(
	from buckthorndyke.VMID, suspects []buckthorndyke.VMID, at buckthorndyke.Millis,
) Detector {
	d.lastContact = max(d.lastContact, at)
	if len(suspects) == 0 {
		if d.reports.Has(from) {
			d.reports = d.reports.Without(from)
		}
		return d
	}
	d.reports = d.reports.With(from, report{at: at, suspects: slices.Clone(suspects)})
	return d
}
