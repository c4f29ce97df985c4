package evictor

import "github.com/buckthorndyke/buckthorndyke"

const (
	// DefaultColdStartWeight gives cold starts and idle time the same weight.
	DefaultColdStartWeight = 0.5
	// coldStartFactor is the amount of idle time that costs as much as one unit of load
	// time for which a caller waits, at equal weights.
	coldStartFactor = 120
	// minIntervals is the minimum number of inter-arrival times, of the model or of all
	// models together, for the histograms to be used.
	minIntervals = 3
)

// AdaptiveKeepWarm keeps a model loaded for the time with the lowest expected cost,
// given the histogram of its inter-arrival times and its load time. For a model with
// few arrivals, the inter-arrival times of all models are used. If these are too few
// as well, the model is kept until its idle time has cost as much as a cold start,
// which never costs more than twice the best choice in hindsight (the ski rental
// problem). One setting weighs cold starts against idle time.
type AdaptiveKeepWarm struct {
	arrivals buckthorndyke.Table[buckthorndyke.ModelID, arrivals]
	// pooled is the histogram of the inter-arrival times of all models.
	pooled arrivals
	weight float64
}

// NewAdaptiveKeepWarm returns a policy with the given weight of cold starts, between
// 0, which only avoids idle time, and 1, which only avoids cold starts. Other values
// are clamped.
func NewAdaptiveKeepWarm(coldStartWeight float64) AdaptiveKeepWarm {
	return AdaptiveKeepWarm{weight: min(max(coldStartWeight, 0), 1)}
}

// KeepFor implements buckthorndyke.KeepWarmPolicy.
func (p AdaptiveKeepWarm) KeepFor(model buckthorndyke.ModelID, loadTime buckthorndyke.Millis) buckthorndyke.Millis {
	a, _ := p.arrivals.Get(model)
	coldCost, idleCost := p.weight*coldStartFactor*float64(loadTime), 1-p.weight
	if a.count() < minIntervals && p.pooled.count() < minIntervals {
		return breakEven(coldCost, idleCost)
	}
	return a.cheapestKeepTime(p.pooled, coldCost, idleCost)
}

// WithArrival implements buckthorndyke.KeepWarmPolicy.
func (p AdaptiveKeepWarm) WithArrival(model buckthorndyke.ModelID, now buckthorndyke.Millis) buckthorndyke.KeepWarmPolicy {
	a, _ := p.arrivals.Get(model)
	if a.seen {
		p.pooled = p.pooled.withInterval(now - a.last)
	}
	p.arrivals = p.arrivals.With(model, a.with(now))
	return p
}

// Worth implements buckthorndyke.KeepWarmPolicy. It returns the expected load time
// saved per millisecond of keeping the model loaded until its next request.
func (p AdaptiveKeepWarm) Worth(model buckthorndyke.ModelID, loadTime, now buckthorndyke.Millis) float64 {
	a, _ := p.arrivals.Get(model)
	return float64(loadTime) * a.rate(p.pooled, now)
}

// breakEven returns the idle time that costs as much as a cold start.
func breakEven(coldCost, idleCost float64) buckthorndyke.Millis {
	longest := bucketBounds[bucketCount-1]
	if coldCost >= idleCost*float64(longest) {
		return longest
	}
	return buckthorndyke.Millis(coldCost / idleCost)
}
