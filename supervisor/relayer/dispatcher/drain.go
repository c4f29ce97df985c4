package dispatcher

import "github.com/buckthorndyke/buckthorndyke"

// durationMarginDivisor divides the longest recent duration of a route's requests: a request
// is expected to take longer by that part.
const durationMarginDivisor = 8

// drain says until when a VM that is stopping serves requests. It is immutable.
type drain struct {
	// end is the instant at which the requests in progress are ended, or 0 if the VM is not
	// stopping.
	end buckthorndyke.Millis
	// waitUntil is the instant after which no request waits for a server, or 0.
	waitUntil buckthorndyke.Millis
}

// allows reports whether a request may be sent to a server at now. It may if it will have
// been answered before the end: because of its deadline, or because requests like it take
// the expected time, if that is known.
func (d drain) allows(now, deadline, expected buckthorndyke.Millis, known bool) bool {
	if d.end == 0 || deadline <= d.end {
		return true
	}
	return known && now+expected+expected/durationMarginDivisor <= d.end
}

// refuseStopping refuses a request that would not be answered before the VM stops, and
// reports whether it did.
func (t *task) refuseStopping(m admissionRequested) bool {
	now := t.clock.Now()
	expected, known := t.durations[m.job.route.Name].Value(now)
	if t.drain.allows(now, m.job.deadline, expected, known) {
		return false
	}
	m.reply.Answer(admission{err: buckthorndyke.ErrStopping, final: true})
	return true
}
