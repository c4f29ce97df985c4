package steward

import "github.com/buckthorndyke/buckthorndyke"

// ownJobs distinguishes the jobs of the steward's tickets from foreign jobs: those
// of tickets that a previous owner granted or whose state was lost. It is immutable.
type ownJobs struct {
	// endedAt holds the times at which the last tickets of requests ended. Their jobs
	// can still appear in a status that lags.
	endedAt buckthorndyke.Table[buckthorndyke.RequestID, buckthorndyke.Millis]
	// ticketCounts holds the number of open tickets of each request.
	ticketCounts buckthorndyke.Table[buckthorndyke.RequestID, int]
}

// countForeign returns the number of reported jobs that belong to no ticket. The
// status that reports them was requested at askedAt and lags by at most lag.
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

// withoutOld returns jobs without the requests that ended before the given time.
func (j ownJobs) withoutOld(before buckthorndyke.Millis) ownJobs {
	for request, ended := range j.endedAt.All() {
		if ended < before {
			j.endedAt = j.endedAt.Without(request)
		}
	}
	return j
}

// withoutTicket returns jobs with one ticket less for request.
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

// withTicket returns jobs with one more ticket for request.
func (j ownJobs) withTicket(request buckthorndyke.RequestID) ownJobs {
	count, _ := j.ticketCounts.Get(request)
	j.ticketCounts = j.ticketCounts.With(request, count+1)
	return j
}
