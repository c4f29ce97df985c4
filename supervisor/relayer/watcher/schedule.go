package watcher

import (
	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/spreader"
)

const (
	// fullReadInterval is the time between two reads of a list whose version the leader
	// confirms. A large list is read less often in proportion. The leader's replies also contain changes of loaded models, but not those
	// of the other fields that the version tag does not cover.
	fullReadInterval = 15 * buckthorndyke.Second
	// leaderReadsPerLimit divides a record's limit: after that part of it the leader reads
	// the record again.
	leaderReadsPerLimit = 4
	// stalePermille is the part of a record's limit, in thousandths, after which a VM
	// reads the record itself. A notice can be older by a quarter of the limit and the
	// time between two demand reports.
	stalePermille = 700
	// copyingStalePermille is that part for a VM that gets large records from other VMs. In
	// fleets of that size, the time between two notices and their age together exceed
	// stalePermille, and VMs that wait at the store for a change all read it at once.
	copyingStalePermille = 800
)

// schedule determines when a VM reads a record of the directory. It is immutable.
type schedule struct {
	// confirmed is the last instant at which the VM's version was known to be current.
	confirmed buckthorndyke.Millis
	// copies is set if the VM gets changes of the record from other VMs.
	copies bool
	// leaderConfirmed is the last instant at which the leader read the version that the
	// VM has, or 0.
	leaderConfirmed buckthorndyke.Millis
	leading         bool
	limit           buckthorndyke.Millis
	// read is the instant of the VM's own last read.
	read buckthorndyke.Millis
	// servers is the number of servers on the list, or 0.
	servers    int
	versionTag uint64
}

// Due returns the instant at which the VM has to read the record.
func (s schedule) Due() buckthorndyke.Millis {
	if s.leading {
		return s.read + s.limit/leaderReadsPerLimit
	}
	interval := fullReadInterval * buckthorndyke.Millis(max(s.servers/spreader.LargeList, 1))
	return min(s.read+interval, s.confirmed+s.limit*stalePermille/1000)
}

// LeaderConfirmedUntil returns the instant until which the VM need not wait for changes
// itself, because the leader has confirmed its version. It is 0 if the VM leads or the
// leader has confirmed nothing.
func (s schedule) LeaderConfirmedUntil() buckthorndyke.Millis {
	if s.leading || s.leaderConfirmed == 0 {
		return 0
	}
	if s.copies {
		return s.leaderConfirmed + s.limit*copyingStalePermille/1000
	}
	return s.leaderConfirmed + s.limit*stalePermille/1000
}

// NeedsRefresh reports whether a VM that asked for a copy at the given instant needs a newer
// one than that of the VM's own last read, which is new enough for the time margin.
func (s schedule) NeedsRefresh(at, margin buckthorndyke.Millis) bool { return at > s.read+margin }

// WithChangeApplied returns the schedule of a VM that has applied the change in a notice
// from the leader.
func (s schedule) WithChangeApplied(notice buckthorndyke.SeenVersion) schedule {
	s.versionTag, s.leaderConfirmed = notice.VersionTag, notice.At
	s.confirmed = max(s.confirmed, notice.At)
	return s
}

// WithCopies returns the schedule of a VM that gets changes of the record from other VMs, or
// does not.
func (s schedule) WithCopies(copies bool) schedule {
	s.copies = copies
	return s
}

// WithCopy returns the schedule of a VM that has another VM's copy of the given version.
func (s schedule) WithCopy(versionTag uint64) schedule {
	s.versionTag = versionTag
	return s
}

// WithLeading returns the schedule of a VM that leads or does not lead.
func (s schedule) WithLeading(leading bool) schedule {
	s.leading = leading
	return s
}

// WithNotice returns the schedule after a notice from the leader, and whether the VM lacks
// a change.
func (s schedule) WithNotice(notice buckthorndyke.SeenVersion) (schedule, bool) {
	switch {
	case notice.VersionTag == 0 || notice.At <= s.leaderConfirmed:
		return s, false
	case notice.VersionTag != s.versionTag:
		return s, notice.At > s.confirmed
	}
	s.leaderConfirmed = notice.At
	s.confirmed = max(s.confirmed, notice.At)
	return s, false
}

// WithServers returns the schedule of a list with n servers.
func (s schedule) WithServers(n int) schedule {
	s.servers = n
	return s
}

// WithRead returns the schedule after a read that began at the given instant and returned
// the given version.
func (s schedule) WithRead(at buckthorndyke.Millis, versionTag uint64) schedule {
	s.confirmed, s.versionTag, s.read = at, versionTag, at
	return s
}
