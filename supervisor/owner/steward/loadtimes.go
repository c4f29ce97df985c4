package steward

import "github.com/buckthorndyke/buckthorndyke"

// loadWeight is the weight of the newest load in the mean.
const loadWeight = 0.3

// loadTimes predicts how long loads take, by tier and size. It is immutable.
type loadTimes struct {
	// perMB is the mean time for one megabyte in milliseconds, or 0 if unknown.
	perMB [buckthorndyke.TierRemote + 1]float64
}

// assumedPerMB are the times for one megabyte in milliseconds that are assumed
// until one was measured.
var assumedPerMB = [buckthorndyke.TierRemote + 1]float64{0.0625, 0.25, 0.5}

// cost returns the time that a load takes, measured or assumed.
func (l loadTimes) cost(tier buckthorndyke.Tier, memoryMB int) buckthorndyke.Millis {
	tier = min(tier, buckthorndyke.TierRemote)
	if l.perMB[tier] == 0 {
		return buckthorndyke.Millis(assumedPerMB[tier] * float64(memoryMB))
	}
	return l.predict(tier, memoryMB)
}

// predict returns the time that a load takes, or 0 if none was measured yet.
func (l loadTimes) predict(tier buckthorndyke.Tier, memoryMB int) buckthorndyke.Millis {
	return buckthorndyke.Millis(l.perMB[min(tier, buckthorndyke.TierRemote)] * float64(memoryMB))
}

// with returns load times that have seen a load.
func (l loadTimes) with(tier buckthorndyke.Tier, memoryMB int, took buckthorndyke.Millis) loadTimes {
	rate := float64(took) / float64(max(memoryMB, 1))
	mean := &l.perMB[min(tier, buckthorndyke.TierRemote)]
	if *mean == 0 {
		*mean = rate
	} else {
		*mean += loadWeight * (rate - *mean)
	}
	return l
}
