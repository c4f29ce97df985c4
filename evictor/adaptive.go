package evictor

import "github.com/buckthorndyke/buckthorndyke"

const (
	// DefaultColdStartWeight weighs cold starts and idle time alike.
	DefaultColdStartWeight = 0.5
	// coldStartFactor is the idle time that is worth one unit of load time that a
	// caller waits, at equal weights.
	coldStartFactor = 120
	// fewGaps is the number of inter-arrival times, of the model or of all models
	// together, below which the histograms say too little.
	minIntervals = 3
)

// AdaptiveKeepWarm keeps a model for the time that costs least, by the
// histogram of its own inter-arrival times and the time that its load takes. A
// model with few arrivals of its own is judged by those of all models. While
// these are too few as well, it is kept until its idle time has cost as much as a
// cold start, which is never more than twice the cost of the best choice in
// hindsight (the ski rental problem).
// The weight of cold starts against idle time is one setting.
type AdaptiveKeepWarm struct {
	arrivals buckthorndyke.Table[buckthorndyke.ModelID, arrivals]
	// pooled holds the inter-arrival times of all models.
	pooled arrivals
	weight float64
}

// NewAdaptiveKeepWarm returns a policy for a cold-start weight between 0, which
// only avoids idle time, and 1, which only avoids cold starts.
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

// Worth implements buckthorndyke.KeepWarmPolicy. It is the expected load time
// saved per millisecond of keeping the model until its next likely request.
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
