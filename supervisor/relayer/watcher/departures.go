package watcher

import "github.com/buckthorndyke/buckthorndyke"

// departureMemory is how long a server that is no longer listed is remembered. An older copy
// of the store's is some seconds old.
const departureMemory = 2 * buckthorndyke.Minute

// departure is what is known of a server that is no longer listed.
type departure struct {
	at buckthorndyke.Millis
	// heartbeats is the highest number of heartbeats that an entry of the server may have and
	// still come from an older copy of the store.
	heartbeats  int64
	incarnation buckthorndyke.Incarnation
}

// departures remembers the servers that are no longer listed. A store that was restored from
// an older copy lists them again until their entries expire. It is immutable.
type departures struct {
	// era is the era of the last list that was read, or 0 if none was.
	era     int64
	servers buckthorndyke.Table[buckthorndyke.RunnerID, departure]
}

// WithChange returns the departures after the list old was replaced by next.
func (d departures) WithChange(old, next buckthorndyke.Backends, now buckthorndyke.Millis) departures {
	for id, b := range old.Servers.All() {
		if !next.Servers.Has(id) {
			d.servers = d.servers.With(id, departure{at: now, heartbeats: b.Heartbeats, incarnation: b.Incarnation})
		}
	}
	for id, gone := range d.servers.All() {
		if next.Servers.Has(id) || now > gone.at+departureMemory {
			d.servers = d.servers.Without(id)
		}
	}
	return d
}

// Apply returns a list that was read without the servers that only an older copy of the store
// lists, and the departures after the read. Once the store was restored, a server that had left
// is listed again only after it has sent another heartbeat.
func (d departures) Apply(read buckthorndyke.Backends) (buckthorndyke.Backends, departures) {
	isRestored := d.era != 0 && read.Era > d.era
	for id, gone := range d.servers.All() {
		b, ok := read.Servers.Get(id)
		if !ok || b.Incarnation != gone.incarnation {
			continue
		}
		if isRestored {
			gone.heartbeats = max(gone.heartbeats, b.Heartbeats)
			d.servers = d.servers.With(id, gone)
		}
		if b.Heartbeats <= gone.heartbeats {
			read.Servers = read.Servers.Without(id)
		}
	}
	d.era = max(d.era, read.Era)
	return read, d
}
