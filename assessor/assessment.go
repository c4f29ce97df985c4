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
	attemptTimeConstant = 1500 * buckthorndyke.Millisecond
	// freeFailures is the number of failures that say nothing of a server: single
	// requests fail everywhere.
	ignoredFailures = 2
	// failedParts is the part of the attempts that have to fail beyond these: servers
	// of plain services fail up to an eighth of their requests by themselves.
	failureDivisor = 4
	// suspectFirst and suspectLimit bound the time for which a server is suspect.
	suspectTimeFirst = 2 * buckthorndyke.Second
	suspectTimeLimit = 8 * buckthorndyke.Second
	// suspectMost is the part of the servers of a service that are suspect at most, so
	// that a wrong belief does not shut it out.
	suspectDivisor = 2
)

// Assessment is what is known of servers. It is immutable.
type Assessment struct {
	records buckthorndyke.Table[buckthorndyke.RunnerID, serverRecord]
}

// record is what is known of one server.
type serverRecord struct {
	failed, served float64
	// span is the time for which the server was suspect last, or 0.
	suspectTime buckthorndyke.Millis
	// until is the instant until which the server is suspect, or 0.
	suspectUntil buckthorndyke.Millis
	updatedAt    buckthorndyke.Millis
}

// Suspects returns the servers on list that fail too many of their requests, of no
// service more than half.
func (a Assessment) Suspects(list buckthorndyke.Backends, now buckthorndyke.Millis) []buckthorndyke.RunnerID {
	var out []buckthorndyke.RunnerID
	for id, r := range a.records.All() {
		if now < r.suspectUntil && list.Servers.Has(id) {
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
		return cmp.Or(cmp.Compare(second.suspectUntil, first.suspectUntil), cmp.Compare(x, y))
	})
	taken := make(map[buckthorndyke.ServiceID]int)
	return slices.DeleteFunc(out, func(id buckthorndyke.RunnerID) bool {
		b, _ := list.Servers.Get(id)
		taken[b.Service]++
		return taken[b.Service]*suspectDivisor > servers[b.Service]
	})
}

// WithEvidence returns an assessment that has taken over what requests have seen of
// servers until now.
func (a Assessment) WithAttemptCounts(list []buckthorndyke.AttemptCounts, now buckthorndyke.Millis) Assessment {
	for _, e := range list {
		r, _ := a.records.Get(e.Server)
		a.records = a.records.With(e.Server, r.withAttempts(e, now))
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
func (r serverRecord) withAttempts(e buckthorndyke.AttemptCounts, now buckthorndyke.Millis) serverRecord {
	fade := math.Exp(-float64(now-r.updatedAt) / float64(attemptTimeConstant))
	r.updatedAt = now
	r.failed = r.failed*fade + float64(e.Failed)
	r.served = r.served*fade + float64(e.Served)
	if now < r.suspectUntil || (r.failed-ignoredFailures)*failureDivisor < r.failed+r.served {
		return r
	}
	span := suspectTimeFirst
	if r.suspectTime > 0 && now < r.suspectUntil+suspectTimeLimit {
		span = min(2*r.suspectTime, suspectTimeLimit)
	}
	// What comes after is judged by itself.
	return serverRecord{updatedAt: now, suspectTime: span, suspectUntil: now + span}
}
