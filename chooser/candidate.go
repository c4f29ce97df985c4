package chooser

import "github.com/buckthorndyke/buckthorndyke"

// loadUnit is the load of a runner whose batch is just full.
const loadUnit = 1000

// Candidate is a runner that may serve a request, as far as its entry VM knows.
type Candidate struct {
	// Live is set if the runner has a live owner and has not failed lately.
	Live bool
	// Load is the runner's load as returned by LoadOf, or 0 if it is not known.
	Load   int
	Loaded bool
	// Affine is set if the runner probably caches the prefix of the prompt.
	PrefixCached bool
	Runner       buckthorndyke.RunnerID
	// Tier says where the runner finds the checkpoint if it is not loaded.
	Tier buckthorndyke.Tier
}

// LoadOf returns the load that a request of rank meets at a runner, in
// thousandths of the runner's batch: what runs and what waits in front.
func LoadOf(report buckthorndyke.RunnerReport, rank buckthorndyke.Rank) int {
	ahead := report.Busy
	for r := range min(rank+1, buckthorndyke.RankCount) {
		ahead += report.Waiting[r]
	}
	return ahead * loadUnit / max(report.Slots, 1)
}
