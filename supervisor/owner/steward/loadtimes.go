package steward

import "github.com/buckthorndyke/buckthorndyke"

const (
	// firstLoadFactor limits the optimistic estimate after the first load, as a
	// multiple of the assumed time. Stores with half the assumed speed are common,
	// those with a tenth are not, so a very slow first load is taken as an exception.
	firstLoadFactor = 4
	// meanWeight is the weight of the newest load in the moving average.
	meanWeight = 0.3
	// slowLoadWeight is the weight of a slower load in the optimistic estimate, by
	// which requests are refused. It is low because a store that was slow for a while
	// may be fast again, which only another load shows, and refused requests cause no
	// loads.
	slowLoadWeight = 0.05
)

// loadTimes estimates the duration of loads from tier and size. It is immutable.
type loadTimes struct {
	// meanPerMB is the moving average in milliseconds per megabyte, or 0 if unknown.
	meanPerMB [buckthorndyke.TierRemote + 1]float64
	// optimisticPerMB follows faster loads immediately and slower ones gradually, in
	// milliseconds per megabyte, or is 0 if unknown.
	optimisticPerMB [buckthorndyke.TierRemote + 1]float64
}

// assumedPerMB is the load time of each tier, in milliseconds per megabyte, that is
// assumed before the first load.
var assumedPerMB = [buckthorndyke.TierRemote + 1]float64{0.0625, 0.25, 0.5}

// expected returns the average duration of a load, or an assumed one before the
// first load from the tier.
func (l loadTimes) expected(tier buckthorndyke.Tier, memoryMB int) buckthorndyke.Millis {
	tier = min(tier, buckthorndyke.TierRemote)
	perMB := l.meanPerMB[tier]
	if perMB == 0 {
		perMB = assumedPerMB[tier]
	}
	return buckthorndyke.Millis(perMB * float64(memoryMB))
}

// optimistic returns the duration of a load at the speed of fast recent loads, or 0
// before the first load from the tier.
func (l loadTimes) optimistic(tier buckthorndyke.Tier, memoryMB int) buckthorndyke.Millis {
	return buckthorndyke.Millis(l.optimisticPerMB[min(tier, buckthorndyke.TierRemote)] * float64(memoryMB))
}

// withLoad returns estimates that include a load that took the given time.
func (l loadTimes) withLoad(tier buckthorndyke.Tier, memoryMB int, took buckthorndyke.Millis) loadTimes {
	rate := float64(took) / float64(max(memoryMB, 1))
	tier = min(tier, buckthorndyke.TierRemote)
	mean, optimistic := &l.meanPerMB[tier], &l.optimisticPerMB[tier]
	if *mean == 0 {
		// The first load of a new steward may happen while the store is slow.
		*mean, *optimistic = rate, min(rate, firstLoadFactor*assumedPerMB[tier])
		return l
	}
	*mean += meanWeight * (rate - *mean)
	*optimistic = min(rate, *optimistic+slowLoadWeight*(rate-*optimistic))
	return l
}
