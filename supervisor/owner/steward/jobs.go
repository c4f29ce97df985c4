package steward

import "github.com/buckthorndyke/buckthorndyke"

// jobs tells the jobs of the steward's own tickets from those of tickets that a
// previous owner has granted, or whose holders were lost. It is immutable.
type jobs struct {
	// ended holds the instants at which the last tickets of requests ended. Their
	// jobs may show in a report for a while.
	ended buckthorndyke.Table[buckthorndyke.RequestID, buckthorndyke.Millis]
	// held counts the tickets of each request.
	held buckthorndyke.Table[buckthorndyke.RequestID, int]
}

// foreign returns the number of jobs in a report that was asked for at asked and
// lags by at most lag, that belong to no ticket.
func (j jobs) foreign(reported []buckthorndyke.JobID, asked, lag buckthorndyke.Millis) int {
	n := 0
	for _, job := range reported {
		request := job.Request()
		if j.held.Has(request) {
			continue
		}
		if ended, ok := j.ended.Get(request); ok && asked <= ended+lag {
			continue
		}
		n++
	}
	return n
}

// withEnded returns jobs in which a ticket of request has ended.
func (j jobs) withEnded(request buckthorndyke.RequestID, now buckthorndyke.Millis) jobs {
	n, _ := j.held.Get(request)
	if n > 1 {
		j.held = j.held.With(request, n-1)
		return j
	}
	j.held = j.held.Without(request)
	j.ended = j.ended.With(request, now)
	return j
}

// withHeld returns jobs in which a ticket of request is held.
func (j jobs) withHeld(request buckthorndyke.RequestID) jobs {
	n, _ := j.held.Get(request)
	j.held = j.held.With(request, n+1)
	return j
}

// withoutOld returns jobs that have forgotten the requests that ended before
// instant before.
func (j jobs) withoutOld(before buckthorndyke.Millis) jobs {
	for request, ended := range j.ended.All() {
		if ended < before {
			j.ended = j.ended.Without(request)
		}
	}
	return j
}
