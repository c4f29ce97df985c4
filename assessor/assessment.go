package assessor

import (
	"cmp"
	"math"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// attemptTimeConstant is the time constant with which attempt counts decay.
	// Within it, a server with a few requests per second shows whether it fails.
	attemptTimeConstant = 1500 * buckthorndyke.Millisecond
	// ignoredFailures is the number of failures that never make a server suspect,
	// since single requests fail on any server.
	ignoredFailures = 2
	// failureDivisor is the divisor of the attempts that gives the further failures
	// of a suspect server. Healthy servers of plain services fail up to an eighth of
	// their requests.
	failureDivisor = 4
	// suspectTimeFirst and suspectTimeLimit bound the time for which a server is
	// suspect.
	suspectTimeFirst = 2 * buckthorndyke.Second
	suspectTimeLimit = 8 * buckthorndyke.Second
	// suspectDivisor is the divisor of the servers of a service that gives the
	// greatest number of suspects, so that a wrong assessment does not shut down the
	// service.
	suspectDivisor = 2
)

// Assessment counts the attempts at servers and finds suspects. It is immutable.
type Assessment struct {
	records buckthorndyke.Table[buckthorndyke.RunnerID, serverRecord]
}

// serverRecord holds the attempt counts of one server.
type serverRecord struct {
	// failed and served are the decayed attempt counts at updatedAt.
	failed, served float64
	// suspectTime is the length of the last suspicion, or 0.
	suspectTime buckthorndyke.Millis
	// suspectUntil is the instant until which the server is suspect, or 0.
	suspectUntil buckthorndyke.Millis
	updatedAt    buckthorndyke.Millis
}

// Suspects returns the listed servers that fail too many of their requests, but no
// more than half of the servers of a service.
func (a Assessment) Suspects(list buckthorndyke.Backends, now buckthorndyke.Millis) []buckthorndyke.RunnerID {
	var out []buckthorndyke.RunnerID
	for id, r := range a.records.All() {
		if now < r.suspectUntil && list.Servers.Has(id) {
			out = append(out, id)
		}
	}
	// This runs for each demand report, and usually no server is suspect.
	if len(out) == 0 {
		return nil
	}
	servers := make(map[buckthorndyke.ServiceID]int)
	for _, b := range list.Servers.All() {
		servers[b.Service]++
	}
	// The latest suspects are the most likely to still fail.
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

// WithAttemptCounts returns an assessment with attempt counts reported at now.
func (a Assessment) WithAttemptCounts(list []buckthorndyke.AttemptCounts, now buckthorndyke.Millis) Assessment {
	for _, counts := range list {
		r, _ := a.records.Get(counts.Server)
		a.records = a.records.With(counts.Server, r.withAttempts(counts, now))
	}
	return a
}

// WithoutUnlisted returns an assessment without the servers that list lacks.
func (a Assessment) WithoutUnlisted(list buckthorndyke.Backends) Assessment {
	for id := range a.records.All() {
		if !list.Servers.Has(id) {
			a.records = a.records.Without(id)
		}
	}
	return a
}

// withAttempts returns the record with further attempts, and with a new suspicion if
// too many have failed. The suspicion lasts twice as long as one that has ended
// recently.
func (r serverRecord) withAttempts(counts buckthorndyke.AttemptCounts, now buckthorndyke.Millis) serverRecord {
	decay := math.Exp(-float64(now-r.updatedAt) / float64(attemptTimeConstant))
	r.updatedAt = now
	r.failed = r.failed*decay + float64(counts.Failed)
	r.served = r.served*decay + float64(counts.Served)
	if now < r.suspectUntil || (r.failed-ignoredFailures)*failureDivisor < r.failed+r.served {
		return r
	}
	span := suspectTimeFirst
	if r.suspectTime > 0 && now < r.suspectUntil+suspectTimeLimit {
		span = min(2*r.suspectTime, suspectTimeLimit)
	}
	// The counts start again, so that later attempts are judged on their own.
	return serverRecord{suspectTime: span, suspectUntil: now + span, updatedAt: now}
}
