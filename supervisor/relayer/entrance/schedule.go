package entrance

import "github.com/buckthorndyke/buckthorndyke"

const (
	// acceptTime is how long new connections are accepted after a drain has begun. By then
	// the load balancer has noticed that the VM is not ready.
	acceptTime = 2600 * buckthorndyke.Millisecond
	// refusalTime is the time for the responses to the requests that are ended.
	refusalTime = 200 * buckthorndyke.Millisecond
	// stopMargin is the part of the drain limit that is left for the rest of the supervisor
	// tree.
	stopMargin = 800 * buckthorndyke.Millisecond
)

// Schedule holds the steps of a drain, as times from its beginning. It is immutable.
type Schedule struct {
	// AcceptUntil is the end of the time in which new connections are accepted.
	AcceptUntil buckthorndyke.Millis
	// End is when the requests that are still in progress are ended with a response.
	End buckthorndyke.Millis
	// Close is when all connections are closed.
	Close buckthorndyke.Millis
}

// NewSchedule returns the schedule of a drain that may take limit. Short drains divide the
// time in the same order.
func NewSchedule(limit buckthorndyke.Millis) Schedule {
	closeAt := limit - min(stopMargin, limit/4)
	return Schedule{
		AcceptUntil: min(acceptTime, limit/2),
		Close:       closeAt,
		End:         closeAt - min(refusalTime, closeAt/8),
	}
}
