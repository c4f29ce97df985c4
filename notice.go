package buckthorndyke

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Sighting says what a VM has seen of one of the platform's records, and when.
type Sighting struct {
	// At is the instant at which it was read.
	At Millis
	// Change is what has changed since the list that the VM knows, or nil if that is
	// not told.
	Change *ListChange
	// Mark identifies what was read.
	Mark uint64
}

// Notice is the leader's word on a record that it reads more often than its
// peers.
type Notice struct {
	// Age is the time since it was read.
	Age Millis
	// Mark identifies what was read, or is 0 if nothing was.
	Mark uint64
}

// NoticeOf returns the notice of s at now.
func NoticeOf(s Sighting, now Millis) Notice {
	return Notice{Age: now - s.At, Mark: s.Mark}
}

// Sighting returns what n says to a VM that has received it at now.
func (n Notice) Sighting(now Millis) Sighting {
	return Sighting{At: now - n.Age, Mark: n.Mark}
}

// ListChange leads from one list of servers to another.
type ListChange struct {
	// Changed are the servers that were added or stand otherwise.
	Changed []Backend
	// Gone are the servers that are no longer listed.
	Gone []RunnerID
}

// Since returns what leads from old to l, as far as marks tell lists apart.
func (l Backends) Since(old Backends) ListChange {
	var out ListChange
	for id, b := range l.Listed.All() {
		if was, ok := old.Listed.Get(id); !ok || was.mark() != b.mark() {
			out.Changed = append(out.Changed, b)
		}
	}
	for id := range old.Listed.All() {
		if !l.Listed.Has(id) {
			out.Gone = append(out.Gone, id)
		}
	}
	return out
}

// WithChange returns the list that c leads to, as it was read at an instant.
func (l Backends) WithChange(c ListChange, at Millis) Backends {
	l.At = at
	for _, b := range c.Changed {
		l.Listed = l.Listed.With(b.ID, b)
	}
	for _, id := range c.Gone {
		l.Listed = l.Listed.Without(id)
	}
	return l
}

// Mark identifies the servers on the list and whether they leave, whatever models
// they hold.
func (l Backends) Mark() uint64 {
	ids := make([]RunnerID, 0, l.Listed.Len())
	for id := range l.Listed.All() {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	d := xxhash.New()
	for _, id := range ids {
		b, _ := l.Listed.Get(id)
		_, _ = d.WriteString(b.mark())
	}
	return d.Sum64() | 1
}

// mark identifies what a list says of a server, whatever models it holds.
func (b Backend) mark() string {
	leaving := byte(0)
	if b.Leaving {
		leaving = 1
	}
	return string(b.ID) + "|" + b.Address + "|" + string(b.Service) + "|" +
		string(append(binary.BigEndian.AppendUint64(nil, uint64(b.Started)), leaving))
}

// Mark identifies the configuration.
func (r Routing) Mark() uint64 { return uint64(r.Version) }
