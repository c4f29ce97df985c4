package stager

import (
	"math"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// quickTimeConstant is the time constant of the quick average of arrivals. VMs report
	// every 0.8 to 1.6 s.
	quickTimeConstant = 3 * buckthorndyke.Second
	// risingDeviations is how many standard deviations of the quick average it has to be
	// above the slow one to count as rising demand. With two, the noise of hundreds of
	// models evicts others for replicas that are not needed.
	risingDeviations = 3
	// risingFactor is the least multiple of the slow average that the expected level has to
	// be. Running requests show smaller rises in time.
	risingFactor = 2
)

// trend holds a slow and a quick average of the arrivals for a model or adapter. It is
// immutable.
type trend struct {
	at         buckthorndyke.Millis
	quickPerMs float64
	slow       buckthorndyke.Rate
}

// expected returns the level, in arrivals per second, that demand is rising to. It is the
// slow average unless the level is at least twice that and the quick average is
// significantly above it. On a steady rise, the slow average lags four times as far behind
// as the quick one, so that the level is that of some seconds ahead. It is at most twice
// the quick average.
func (t trend) expected(now buckthorndyke.Millis) float64 {
	slow, quick := t.slow.PerSecond(now), t.quick(now)
	level := 2*quick - slow
	if level < risingFactor*slow || quick-slow <= risingDeviations*math.Sqrt(quick/(2*quickTimeConstant.Duration().Seconds())) {
		return slow
	}
	return level
}

// growth returns the expected level as a multiple of the quick average, or 1 if demand is
// not rising.
func (t trend) growth(now buckthorndyke.Millis) float64 {
	quick := t.quick(now)
	if quick == 0 {
		return 1
	}
	return max(t.expected(now)/quick, 1)
}

// quick returns the quick average in arrivals per second.
func (t trend) quick(now buckthorndyke.Millis) float64 {
	return t.quickPerMs * math.Exp(-float64(now-t.at)/float64(quickTimeConstant)) * float64(buckthorndyke.Second)
}

// with returns the trend with n arrivals since the previous report.
func (t trend) with(n int, now buckthorndyke.Millis) trend {
	t.quickPerMs = t.quick(now)/float64(buckthorndyke.Second) + float64(n)/float64(quickTimeConstant)
	t.at, t.slow = now, t.slow.WithArrivals(n, now)
	return t
}

// withRecent returns the trend with n arrivals of the time in which the slow average
// decays. They show no rise.
func (t trend) withRecent(n int, now buckthorndyke.Millis) trend {
	before := t.slow.PerSecond(now)
	t.slow = t.slow.WithArrivals(n, now)
	t.quickPerMs = (t.quick(now) + t.slow.PerSecond(now) - before) / float64(buckthorndyke.Second)
	t.at = now
	return t
}
