package main

import "github.com/buckthorndyke/buckthorndyke"

// Speeds of loads, and the fractions of the checkpoints that a runner caches.
const (
	adapterLoadMin         = 5 * buckthorndyke.Millisecond
	adapterLoadSpread      = 6
	cachedInMemoryFraction = 0.1
	cachedOnDiskFraction   = 0.3
	diskMBPerSecond        = 4000
	memoryMBPerSecond      = 16000
	remoteMBPerSecond      = 2000
)

// loadTime returns the time of a load that shares no bandwidth with others.
func loadTime(tier buckthorndyke.Tier, rule buckthorndyke.ModelRule) buckthorndyke.Millis {
	if rule.IsAdapter() {
		return adapterLoadMin + buckthorndyke.Millis(len(rule.ID)%adapterLoadSpread)
	}
	speed := [...]int{memoryMBPerSecond, diskMBPerSecond, remoteMBPerSecond}[tier]
	return buckthorndyke.Second * buckthorndyke.Millis(rule.MemoryMB) / buckthorndyke.Millis(speed)
}

// randomTiers returns the tier that one runner loads each model from. Adapters
// always come from the weight store.
func randomTiers(d deployment, seed uint64, runner buckthorndyke.RunnerID) map[buckthorndyke.ModelID]buckthorndyke.Tier {
	r := newRandom(seed, "tiers/"+string(runner))
	tiers := make(map[buckthorndyke.ModelID]buckthorndyke.Tier, len(d.models))
	for _, m := range d.models {
		pick := r.Float64()
		switch {
		case m.IsAdapter():
			tiers[m.ID] = buckthorndyke.TierRemote
		case pick < cachedInMemoryFraction:
			tiers[m.ID] = buckthorndyke.TierMemory
		case pick < cachedInMemoryFraction+cachedOnDiskFraction:
			tiers[m.ID] = buckthorndyke.TierDisk
		default:
			tiers[m.ID] = buckthorndyke.TierRemote
		}
	}
	return tiers
}
