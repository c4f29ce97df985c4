package buckthorndyke

import "math"

// rateTimeConstant is the time constant of the average: twice the time that
// loading a model from the weight store takes.
const rateTimeConstant = 12 * Second

// Rate is an exponentially decaying average of the arrival rate. It is immutable.
type Rate struct {
	at    Millis
	perMs float64
}

// PerSecond returns the average arrivals per second at now.
func (r Rate) PerSecond(now Millis) float64 {
	return r.decayed(now) * float64(Second)
}

// Recent returns the number of recent arrivals that the rate at now corresponds to.
// Adding them to an empty Rate at now gives about the same rate.
func (r Rate) Recent(now Millis) int {
	return int(math.Round(r.decayed(now) * float64(rateTimeConstant)))
}

// WithArrivals returns a rate with n further arrivals at now.
func (r Rate) WithArrivals(n int, now Millis) Rate {
	return Rate{at: now, perMs: r.decayed(now) + float64(n)/float64(rateTimeConstant)}
}

// decayed returns the average arrivals per millisecond at now.
func (r Rate) decayed(now Millis) float64 {
	return r.perMs * math.Exp(-float64(now-r.at)/float64(rateTimeConstant))
}
