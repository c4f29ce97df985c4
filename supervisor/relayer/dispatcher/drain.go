package dispatcher

import "github.com/buckthorndyke/buckthorndyke"

// durationMarginDivisor divides the longest recent duration of a route's requests: a request
// is expected to take longer by that part.
const durationMarginDivisor = 8

// DrainSchedule holds the steps of a stop, as times from its beginning. It is immutable.
type DrainSchedule struct {
	// End is when the requests in progress are ended.
	End buckthorndyke.Millis
	// EstimateUntil is the end of the time in which a request may arrive that is served
	// because requests like it would have been answered before End. A later one is served
	// only if its deadline comes before End: an estimate does not hold for each request.
	EstimateUntil buckthorndyke.Millis
	// WaitUntil is the end of the time in which requests wait for a server.
	WaitUntil buckthorndyke.Millis
}

// drain says until when a VM that is stopping serves requests. It is immutable.
type drain struct {
	// end is the instant at which the requests in progress are ended, or 0 if the VM is not
	// stopping.
	end buckthorndyke.Millis
	// estimateUntil is the instant after which no request arrives that is served because of
	// an estimate.
	estimateUntil buckthorndyke.Millis
	// waitUntil is the instant after which no request waits for a server, or 0.
	waitUntil buckthorndyke.Millis
}

// newDrain returns the drain of a VM that begins to stop at now.
func newDrain(now buckthorndyke.Millis, s DrainSchedule) drain {
	return drain{end: now + s.End, estimateUntil: now + s.EstimateUntil, waitUntil: now + s.WaitUntil}
}

// allows reports whether a request that has arrived and has the given deadline may be sent to
// a server at now. It may if it will have been answered before the end: because of its
// deadline, or because requests like it take the expected time, if that is known and the
// request has arrived in time for an estimate.
func (d drain) allows(now, arrived, deadline, expected buckthorndyke.Millis, known bool) bool {
	if d.end == 0 || deadline <= d.end {
		return true
	}
	return known && arrived <= d.estimateUntil && now+expected+expected/durationMarginDivisor <= d.end
}

// refuseStopping refuses a request that would not be answered before the VM stops, and
// reports whether it did.
func (t *task) refuseStopping(m admissionRequested) bool {
	now := t.clock.Now()
	expected, known := t.durations[m.job.route.Name].Value(now)
	if t.drain.allows(now, m.job.request.Arrived, m.job.deadline, expected, known) {
		return false
	}
	m.reply.Answer(admission{err: buckthorndyke.ErrStopping, final: true})
	return true
}
