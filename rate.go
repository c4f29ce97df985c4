package buckthorndyke

import "math"

// rateSpan is the span over which arrivals are averaged: twice the time that a
// model takes to be loaded from the weight store, from the deployments' sheets.
const rateSpan = 12 * Second

// Rate is an average of arrivals that decays with time. It is immutable.
type Rate struct {
	at    Millis
	perMs float64
}

// PerSecond returns the arrivals a second as averaged at now.
func (r Rate) PerSecond(now Millis) float64 {
	return r.decayed(now) * float64(Second)
}

// Recent returns the number of arrivals that a rate at now stands for.
func (r Rate) Recent(now Millis) int {
	return int(math.Round(r.decayed(now) * float64(rateSpan)))
}

// WithArrivals returns a rate with n more arrivals at now.
func (r Rate) WithArrivals(n int, now Millis) Rate {
	return Rate{at: now, perMs: r.decayed(now) + float64(n)/float64(rateSpan)}
}

// decayed returns the arrivals in a millisecond as averaged at now.
func (r Rate) decayed(now Millis) float64 {
	return r.perMs * math.Exp(-float64(now-r.at)/float64(rateSpan))
}
