package chooser

import "github.com/buckthorndyke/buckthorndyke"

// loadUnit is the load of a runner whose batch is exactly full.
const loadUnit = 1000

// Candidate is a runner that may serve a request, by the state that its entry VM
// knows.
type Candidate struct {
	// Live is set if the runner has a live owner and has not failed recently.
	Live bool
	// Load is the runner's load as returned by LoadOf, or 0 if it is not known.
	Load int
	// Loaded is set if the runner has loaded the model.
	Loaded bool
	// PrefixCached is set if the runner probably caches the prompt's prefix.
	PrefixCached bool
	Runner       buckthorndyke.RunnerID
	// Tier is the tier from which the runner would load the model.
	Tier buckthorndyke.Tier
}

// LoadOf returns the load at a runner for a request of rank, in thousandths of the
// runner's batch: the running requests and the waiting ones of the same or a more
// urgent rank.
func LoadOf(report buckthorndyke.RunnerReport, rank buckthorndyke.Rank) int {
	ahead := report.Busy
	for r := range min(rank+1, buckthorndyke.RankCount) {
		ahead += report.Waiting[r]
	}
	return ahead * loadUnit / max(report.Slots, 1)
}
