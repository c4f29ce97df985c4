package main

import (
	"runtime"

	"golang.org/x/sync/errgroup"
)

// seeds are the random seeds that each case is run with.
var seeds = []uint64{1, 2, 3, 4, 5}

// results are the tallies of one case, in the order of seeds.
type results []*tally

// merged returns the sum of the tallies.
func (r results) merged() *tally {
	sum := newTally()
	for _, t := range r {
		sum.add(t)
	}
	return sum
}

// spread returns the least and the greatest value among the seeds.
func (r results) spread(value func(*tally) float64) (least, greatest float64) {
	least, greatest = value(r[0]), value(r[0])
	for _, t := range r[1:] {
		least, greatest = min(least, value(t)), max(greatest, value(t))
	}
	return least, greatest
}

// runAll runs n cases with each seed. Each run is single-threaded; up to half
// of GOMAXPROCS run at the same time.
func runAll(n int, run func(i int, seed uint64) *tally) []results {
	all := make([]results, n)
	var group errgroup.Group
	group.SetLimit(max(runtime.GOMAXPROCS(0)/2, 1))
	for i := range all {
		all[i] = make(results, len(seeds))
		for j, seed := range seeds {
			group.Go(func() error {
				all[i][j] = run(i, seed)
				return nil
			})
		}
	}
	// No run returns an error.
	_ = group.Wait()
	return all
}
