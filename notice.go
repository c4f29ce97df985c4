package buckthorndyke

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// SeenVersion says what a VM has seen of one of the platform's records, and when.
type SeenVersion struct {
	// At is the instant at which it was read.
	At Millis
	// Change is what has changed since the list that the VM knows, or nil if that is
	// not told.
	Change *ListChange
	// VersionTag identifies what was read.
	VersionTag uint64
}

// VersionNotice is the leader's word on a record that it reads more often than its
// peers.
type VersionNotice struct {
	// Age is the time since it was read.
	Age Millis
	// VersionTag identifies what was read, or is 0 if nothing was.
	VersionTag uint64
}

// VersionNoticeOf returns the notice of s at now.
func VersionNoticeOf(s SeenVersion, now Millis) VersionNotice {
	return VersionNotice{Age: now - s.At, VersionTag: s.VersionTag}
}

// SeenVersion returns what n says to a VM that has received it at now.
func (n VersionNotice) SeenVersion(now Millis) SeenVersion {
	return SeenVersion{At: now - n.Age, VersionTag: n.VersionTag}
}

// ListChange leads from one list of servers to another.
type ListChange struct {
	// Changed are the servers that were added or stand otherwise.
	Changed []Backend
	// Removed are the servers that are no longer listed.
	Removed []RunnerID
}

// ChangesSince returns what leads from old to l, as far as marks tell lists apart.
func (l Backends) ChangesSince(old Backends) ListChange {
	var out ListChange
	for id, b := range l.Servers.All() {
		if was, ok := old.Servers.Get(id); !ok || was.versionTag() != b.versionTag() {
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

// VersionTag identifies the servers on the list and whether they leave, whatever models
// they hold.
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

// WithChange returns the list that c leads to, as it was read at an instant.
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

// versionTag identifies what a list says of a server, whatever models it holds.
func (b Backend) versionTag() string {
	leaving := byte(0)
	if b.Leaving {
		leaving = 1
	}
	return string(b.ID) + "|" + b.Address + "|" + string(b.Service) + "|" +
		string(append(binary.BigEndian.AppendUint64(nil, uint64(b.Incarnation)), leaving))
}

// VersionTag identifies the configuration.
func (r Routing) VersionTag() uint64 { return uint64(r.Version) }
