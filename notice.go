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
		leaving := byte(0)
		if b.Leaving {
			leaving = 1
		}
		_, _ = d.WriteString(string(id) + "|" + b.Address + "|" + string(b.Service) + "|")
		_, _ = d.Write(append(binary.BigEndian.AppendUint64(nil, uint64(b.Started)), leaving))
	}
	return d.Sum64() | 1
}

// Mark identifies the configuration.
func (r Routing) Mark() uint64 { return uint64(r.Version) }
