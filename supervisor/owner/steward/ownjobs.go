package steward

import "github.com/buckthorndyke/buckthorndyke"

// jobs tells the jobs of the steward's own tickets from those of tickets that a
// previous owner has granted, or whose holders were lost. It is immutable.
type ownJobs struct {
	// ended holds the instants at which the last tickets of requests ended. Their
	// jobs may show in a report for a while.
	endedAt buckthorndyke.Table[buckthorndyke.RequestID, buckthorndyke.Millis]
	// held counts the tickets of each request.
	ticketCounts buckthorndyke.Table[buckthorndyke.RequestID, int]
}

// foreign returns the number of jobs in a report that was asked for at asked and
// lags by at most lag, that belong to no ticket.
func (j ownJobs) countForeign(reported []buckthorndyke.JobID, askedAt, lag buckthorndyke.Millis) int {
	count := 0
	for _, job := range reported {
		request := job.Request()
		if j.ticketCounts.Has(request) {
			continue
		}
		if ended, ok := j.endedAt.Get(request); ok && askedAt <= ended+lag {
			continue
		}
		count++
	}
	return count
}

// withoutOld returns jobs that have forgotten the requests that ended before
// instant before.
func (j ownJobs) withoutOld(before buckthorndyke.Millis) ownJobs {
	for request, ended := range j.endedAt.All() {
		if ended < before {
			j.endedAt = j.endedAt.Without(request)
		}
	}
	return j
}

// withEnded returns jobs in which a ticket of request has ended.
func (j ownJobs) withoutTicket(request buckthorndyke.RequestID, now buckthorndyke.Millis) ownJobs {
	count, _ := j.ticketCounts.Get(request)
	if count > 1 {
		j.ticketCounts = j.ticketCounts.With(request, count-1)
		return j
	}
	j.ticketCounts = j.ticketCounts.Without(request)
	j.endedAt = j.endedAt.With(request, now)
	return j
}

// withHeld returns jobs in which a ticket of request is held.
func (j ownJobs) withTicket(request buckthorndyke.RequestID) ownJobs {
	count, _ := j.ticketCounts.Get(request)
	j.ticketCounts = j.ticketCounts.With(request, count+1)
	return j
}
