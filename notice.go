package buckthorndyke

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// SeenVersion is the version of a directory record (the server list or the
// configuration) that a VM has read or been told of, and when.
type SeenVersion struct {
	// At is the instant at which the version was read.
	At Millis
	// Change is the difference from the list that the VM knows, or nil if it was not
	// given.
	Change *ListChange
	// Era counts the restores of the directory from older copies, or is 0 if it is not known.
	Era int64
	// EraAt is the instant at which Era was first known.
	EraAt Millis
	// VersionTag identifies the version, or is 0 if there is none.
	VersionTag uint64
}

// WithoutChange returns the version without the difference.
func (s SeenVersion) WithoutChange() SeenVersion {
	s.Change = nil
	return s
}

// VersionNotice tells other VMs which version of a directory record the leader has
// read last. The leader reads the records more often than the others do.
type VersionNotice struct {
	// Age is the time since the leader read it.
	Age Millis
	// Era counts the restores of the directory from older copies, or is 0 if it is not known.
	Era int64
	// EraAge is the time for which Era has been known.
	EraAge Millis
	// VersionTag identifies the version, or is 0 if the leader has read none.
	VersionTag uint64
}

// VersionNoticeOf returns the notice that tells of s at now.
func VersionNoticeOf(s SeenVersion, now Millis) VersionNotice {
	n := VersionNotice{Age: now - s.At, Era: s.Era, VersionTag: s.VersionTag}
	if s.Era != 0 {
		n.EraAge = now - s.EraAt
	}
	return n
}

// SeenVersion returns the version that n tells of, for a VM that received n at now.
func (n VersionNotice) SeenVersion(now Millis) SeenVersion {
	return SeenVersion{At: now - n.Age, Era: n.Era, EraAt: now - n.EraAge, VersionTag: n.VersionTag}
}

// ListChange is the difference between two lists of servers.
type ListChange struct {
	// Changed are the servers that were added or have another version tag.
	Changed []Backend
	// Removed are the servers that are no longer listed.
	Removed []RunnerID
}

// ChangesSince returns the difference from old to l. It ignores changes that do not
// affect the version tag.
func (l Backends) ChangesSince(old Backends) ListChange {
	var out ListChange
	for id, b := range l.Servers.All() {
		if previous, ok := old.Servers.Get(id); !ok || previous.versionTag() != b.versionTag() {
			out.Changed = append(out.Changed, b)
		}
	}
	for id := range old.Servers.All() {
		if !l.Servers.Has(id) {
			out.Removed = append(out.Removed, id)
		}
	}
	return out
}

// VersionTag returns a hash of the servers on the list and whether they are leaving,
// which does not depend on heartbeats and loaded models. It is never 0.
func (l Backends) VersionTag() uint64 {
	ids := make([]RunnerID, 0, l.Servers.Len())
	for id := range l.Servers.All() {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	d := xxhash.New()
	for _, id := range ids {
		b, _ := l.Servers.Get(id)
		_, _ = d.WriteString(b.versionTag())
	}
	return d.Sum64() | 1
}

// WithChange returns the list that results from applying c to l, read at the given
// instant.
func (l Backends) WithChange(c ListChange, at Millis) Backends {
	l.At = at
	for _, b := range c.Changed {
		l.Servers = l.Servers.With(b.ID, b)
	}
	for _, id := range c.Removed {
		l.Servers = l.Servers.Without(id)
	}
	return l
}

// versionTag returns the part of b that counts for the list's version tag.
func (b Backend) versionTag() string {
	leaving := byte(0)
	if b.Leaving {
		leaving = 1
	}
	return string(b.ID) + "|" + b.Address + "|" + string(b.Service) + "|" +
		string(append(binary.BigEndian.AppendUint64(nil, uint64(b.Incarnation)), leaving))
}

// VersionTag identifies the version of the configuration.
func (r Routing) VersionTag() uint64 { return uint64(r.Version) }
