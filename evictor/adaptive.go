package evictor

import "github.com/buckthorndyke/buckthorndyke"

const (
	// DefaultColdStartWeight weighs cold starts and idle time alike.
	DefaultColdStartWeight = 0.5
	// coldStartFactor is the idle time that is worth one unit of load time that a
	// caller waits, at equal weights.
	coldStartFactor = 120
)

// AdaptiveKeepWarm keeps a model for the time that costs least, by the
// histogram of its own inter-arrival times and the time that its load takes.
// The weight of cold starts against idle time is one setting.
type AdaptiveKeepWarm struct {
	arrivals buckthorndyke.Table[buckthorndyke.ModelID, arrivals]
	weight   float64
}

// NewAdaptiveKeepWarm returns a policy for a cold-start weight between 0, which
// only avoids idle time, and 1, which only avoids cold starts.
func NewAdaptiveKeepWarm(coldStartWeight float64) AdaptiveKeepWarm {
	return AdaptiveKeepWarm{weight: min(max(coldStartWeight, 0), 1)}
}

// KeepFor implements buckthorndyke.KeepWarmPolicy.
func (p AdaptiveKeepWarm) KeepFor(model buckthorndyke.ModelID, loadTime buckthorndyke.Millis) buckthorndyke.Millis {
	a, _ := p.arrivals.Get(model)
	return a.cheapest(p.weight*coldStartFactor*float64(loadTime), 1-p.weight)
}

// WithArrival implements buckthorndyke.KeepWarmPolicy.
func (p AdaptiveKeepWarm) WithArrival(model buckthorndyke.ModelID, now buckthorndyke.Millis) buckthorndyke.KeepWarmPolicy {
	a, _ := p.arrivals.Get(model)
	p.arrivals = p.arrivals.With(model, a.with(now))
	return p
}

// Worth implements buckthorndyke.KeepWarmPolicy. It is the expected load time
// saved per millisecond of keeping the model until its next likely request.
func (p AdaptiveKeepWarm) Worth(model buckthorndyke.ModelID, loadTime, now buckthorndyke.Millis) float64 {
	a, _ := p.arrivals.Get(model)
	return float64(loadTime) * a.rate(now)
}
