package assessor

import (
	"cmp"
	"math"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// evidenceSpan is the span over which attempts are counted: a server that serves
	// a few requests a second shows within it whether it fails.
	evidenceSpan = 1500 * buckthorndyke.Millisecond
	// freeFailures is the number of failures that say nothing of a server: single
	// requests fail everywhere.
	freeFailures = 2
	// failedParts is the part of the attempts that have to fail beyond these: servers
	// of plain services fail up to an eighth of their requests by themselves.
	failedParts = 4
	// suspectFirst and suspectLimit bound the time for which a server is suspect.
	suspectFirst = 2 * buckthorndyke.Second
	suspectLimit = 8 * buckthorndyke.Second
	// suspectMost is the part of the servers of a service that are suspect at most, so
	// that a wrong belief does not shut it out.
	suspectMost = 2
)

// Assessment is what is known of servers. It is immutable.
type Assessment struct {
	records buckthorndyke.Table[buckthorndyke.RunnerID, record]
}

// record is what is known of one server.
type record struct {
	at             buckthorndyke.Millis
	failed, served float64
	// span is the time for which the server was suspect last, or 0.
	span buckthorndyke.Millis
	// until is the instant until which the server is suspect, or 0.
	until buckthorndyke.Millis
}

// Suspects returns the servers on list that fail too many of their requests, of no
// service more than half.
func (a Assessment) Suspects(list buckthorndyke.Backends, now buckthorndyke.Millis) []buckthorndyke.RunnerID {
	var out []buckthorndyke.RunnerID
	for id, r := range a.records.All() {
		if now < r.until && list.Servers.Has(id) {
			out = append(out, id)
		}
	}
	// Each report of demand asks, and mostly no server is suspect.
	if len(out) == 0 {
		return nil
	}
	servers := make(map[buckthorndyke.ServiceID]int)
	for _, b := range list.Servers.All() {
		servers[b.Service]++
	}
	// The servers that were found to fail last are the most likely to fail still.
	slices.SortFunc(out, func(x, y buckthorndyke.RunnerID) int {
		first, _ := a.records.Get(x)
		second, _ := a.records.Get(y)
		return cmp.Or(cmp.Compare(second.until, first.until), cmp.Compare(x, y))
	})
	taken := make(map[buckthorndyke.ServiceID]int)
	return slices.DeleteFunc(out, func(id buckthorndyke.RunnerID) bool {
		b, _ := list.Servers.Get(id)
		taken[b.Service]++
		return taken[b.Service]*suspectMost > servers[b.Service]
	})
}

// WithEvidence returns an assessment that has taken over what requests have seen of
// servers until now.
func (a Assessment) WithAttemptCounts(list []buckthorndyke.AttemptCounts, now buckthorndyke.Millis) Assessment {
	for _, e := range list {
		r, _ := a.records.Get(e.Server)
		a.records = a.records.With(e.Server, r.with(e, now))
	}
	return a
}

// WithoutGone returns an assessment that has forgotten the servers that list lacks.
func (a Assessment) WithoutUnlisted(list buckthorndyke.Backends) Assessment {
	for id := range a.records.All() {
		if !list.Servers.Has(id) {
			a.records = a.records.Without(id)
		}
	}
	return a
}

// with returns the record after more evidence.
func (r record) with(e buckthorndyke.AttemptCounts, now buckthorndyke.Millis) record {
	fade := math.Exp(-float64(now-r.at) / float64(evidenceSpan))
	r.at = now
	r.failed = r.failed*fade + float64(e.Failed)
	r.served = r.served*fade + float64(e.Served)
	if now < r.until || (r.failed-freeFailures)*failedParts < r.failed+r.served {
		return r
	}
	span := suspectFirst
	if r.span > 0 && now < r.until+suspectLimit {
		span = min(2*r.span, suspectLimit)
	}
	// What comes after is judged by itself.
	return record{at: now, span: span, until: now + span}
}
