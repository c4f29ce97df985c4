package steward

import "github.com/buckthorndyke/buckthorndyke"

const (
	// firstFactor bounds what a first load is believed, as a multiple of what is
	// assumed: stores of half the assumed speed are common, of a tenth are not.
	firstLoadFactor = 4
	// loadWeight is the weight of the newest load in the mean.
	meanWeight = 0.3
	// slowWeight is the weight of a slower load in the time by which requests are
	// refused. A store that was slow for a while may be fast again, which only another
	// load can show: refused requests cause none.
	slowLoadWeight = 0.05
)

// loadTimes predicts how long loads take, by tier and size. It is immutable.
type loadTimes struct {
	// perMB is the mean time for one megabyte in milliseconds, or 0 if unknown.
	meanPerMB [buckthorndyke.TierRemote + 1]float64
	// shortPerMB follows faster loads at once and slower ones little by little.
	optimisticPerMB [buckthorndyke.TierRemote + 1]float64
}

// assumedPerMB are the times for one megabyte in milliseconds that are assumed
// until one was measured.
var assumedPerMB = [buckthorndyke.TierRemote + 1]float64{0.0625, 0.25, 0.5}

// cost returns the time that a load takes, measured or assumed.
func (l loadTimes) expected(tier buckthorndyke.Tier, memoryMB int) buckthorndyke.Millis {
	tier = min(tier, buckthorndyke.TierRemote)
	perMB := l.meanPerMB[tier]
	if perMB == 0 {
		perMB = assumedPerMB[tier]
	}
	return buckthorndyke.Millis(perMB * float64(memoryMB))
}

// predict returns the time that a load takes if the platform is as fast as it was,
// or 0 if none was measured yet.
func (l loadTimes) optimistic(tier buckthorndyke.Tier, memoryMB int) buckthorndyke.Millis {
	return buckthorndyke.Millis(l.optimisticPerMB[min(tier, buckthorndyke.TierRemote)] * float64(memoryMB))
}

// with returns load times that have seen a load.
func (l loadTimes) withLoad(tier buckthorndyke.Tier, memoryMB int, took buckthorndyke.Millis) loadTimes {
	rate := float64(took) / float64(max(memoryMB, 1))
	tier = min(tier, buckthorndyke.TierRemote)
	mean, optimistic := &l.meanPerMB[tier], &l.optimisticPerMB[tier]
	if *mean == 0 {
		// A new steward may see its first load while the store is slow.
		*mean, *optimistic = rate, min(rate, firstLoadFactor*assumedPerMB[tier])
		return l
	}
	*mean += meanWeight * (rate - *mean)
	*optimistic = min(rate, *optimistic+slowLoadWeight*(rate-*optimistic))
	return l
}
