package main

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

// request is one arrival.
type request struct {
	at buckthorndyke.Millis
	// hold is how long the request occupies a slot.
	hold  buckthorndyke.Millis
	model buckthorndyke.ModelID
	rank  buckthorndyke.Rank
	// stream distinguishes sources of arrivals that have the same rank.
	stream int
}

// merge returns the requests of several sources in the order of their arrival.
func merge(sources ...[]request) []request {
	merged := slices.Concat(sources...)
	slices.SortStableFunc(merged, func(a, b request) int {
		return cmp.Or(
			cmp.Compare(a.at, b.at), cmp.Compare(a.rank, b.rank),
			cmp.Compare(a.model, b.model), cmp.Compare(a.stream, b.stream),
		)
	})
	return merged
}

// newRandom returns a generator that depends on the seed and the name of the
// source, so that sources are independent of each other.
func newRandom(seed uint64, source string) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(source))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}
