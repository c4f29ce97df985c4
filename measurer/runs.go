package main

import (
	"runtime"

	"golang.org/x/sync/errgroup"
)

// seeds are those of all runs.
var seeds = []uint64{1, 2, 3, 4, 5}

// results are the tallies of one case, in the order of the seeds.
type results []*tally

// merged returns what happened in all runs.
func (r results) merged() *tally {
	sum := newTally()
	for _, t := range r {
		sum.add(t)
	}
	return sum
}

// spread returns the least and the greatest value of one seed.
func (r results) spread(value func(*tally) float64) (least, greatest float64) {
	least, greatest = value(r[0]), value(r[0])
	for _, t := range r[1:] {
		least, greatest = min(least, value(t)), max(greatest, value(t))
	}
	return least, greatest
}

// runAll runs n cases with each seed. Each run is single-threaded; several run
// at the same time.
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
	// Runs return no error.
	_ = group.Wait()
	return all
}
