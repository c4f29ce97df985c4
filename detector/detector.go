// Package detector implements a failure detector for members: it determines which
// members probe which, and which are suspected to be dead or unreachable. It does no
// I/O and reads no clock.
package detector

import (
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

// Defaults.
const (
	// DefaultFanOut is the number of members that probe each member.
	DefaultFanOut = 4
	// DefaultMisses is the number of consecutive probes without a reply after which a
	// member is reported as unreachable.
	DefaultMisses = 3
	// DefaultUnconfirmedMisses is the number of consecutive probes without a reply after
	// which a member is suspected if too few others are reachable to confirm it.
	DefaultUnconfirmedMisses = 12
	// DefaultReportLifetime is how long a peer's report counts.
	DefaultReportLifetime = 5 * buckthorndyke.Second
	// DefaultQuorum is the number of members that must report a member before it is
	// suspected.
	DefaultQuorum = 2
)

// Detector is the state of one member's failure detector. It is immutable.
type Detector struct {
	cfg            config
	lastContact    buckthorndyke.Millis
	misses         buckthorndyke.Table[buckthorndyke.VMID, int]
	reports        buckthorndyke.Table[buckthorndyke.VMID, report]
	self           buckthorndyke.VMID
	suspectedSince buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.Millis]
}

// report lists the members that a peer cannot reach.
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

// Option configures a Detector.
type Option func(*config)

// WithMisses sets the number of consecutive probes without a reply after which a member
// is reported as unreachable, and the number after which it is suspected without
// confirmation by others.
func WithMisses(misses, unconfirmed int) Option {
	return func(c *config) { c.misses, c.unconfirmedMisses = misses, unconfirmed }
}

// WithQuorum sets how many members must report a member before it is suspected.
func WithQuorum(n int) Option {
	return func(c *config) { c.quorum = n }
}

// WithReportLifetime sets how long a peer's report counts.
func WithReportLifetime(d buckthorndyke.Millis) Option {
	return func(c *config) { c.reportLifetime = d }
}

// New returns the detector of self, without any misses or reports.
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

// Doubtful returns the members that have not replied to the last probe or that a peer
// reports. They are to be probed until the doubt is resolved.
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

// LastContact returns the instant of the last reply or report from a peer, or 0 if there
// was none.
func (d Detector) LastContact() buckthorndyke.Millis { return d.lastContact }

// Unreachable returns the members that self reports to its peers since they have not
// replied to its own probes. Reports of others are not passed on, so that no report
// outlives the member that made it.
func (d Detector) Unreachable() []buckthorndyke.VMID {
	var reported []buckthorndyke.VMID
	for vm, n := range d.misses.All() {
		if n >= d.cfg.misses {
			reported = append(reported, vm)
		}
	}
	return reported
}

// WithMiss returns a copy after another probe of vm without a reply.
func (d Detector) WithMiss(vm buckthorndyke.VMID) Detector {
	n, _ := d.misses.Get(vm)
	d.misses = d.misses.With(vm, n+1)
	return d
}

// WithReply returns a copy after a reply of vm at the given instant. The reply resets the
// misses of vm and, if vm is suspected, removes it from the reports of others.
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

// WithReport returns a copy with the report of a peer at the given instant. It replaces
// the previous report of that peer.
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
