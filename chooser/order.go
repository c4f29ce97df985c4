package chooser

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/placer"
)

// prefixLoadLimit is the load above which a cached prefix does not make up for the
// wait.
const prefixLoadLimit = loadUnit

// overloadLimit is the load from which on a request is served earlier if another
// runner loads the model: the batch is full and as many requests wait.
const overloadLimit = 2 * loadUnit

// Order returns the candidates in the order in which a request for model tries them.
// Runners that have loaded the model come first: the one that probably caches the
// prompt's prefix unless its batch is full, then the less loaded of two random ones,
// then the others by load. Cold runners follow, those with the fastest tier first,
// and within a tier in the order of rendezvous hashing, so that all entry VMs send
// the requests for a cold model to the same runner. Overloaded runners come after
// these. Runners without a live owner, or that have failed recently, come last. The
// same seed gives the same order.
func Order(model buckthorndyke.ModelID, candidates []Candidate, seed uint64) []buckthorndyke.RunnerID {
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(class(a), class(b)),
			compareWithin(model, a, b),
			cmp.Compare(a.Runner, b.Runner),
		)
	})
	first, _ := slices.BinarySearchFunc(sorted, classLoaded, compareClass)
	end, _ := slices.BinarySearchFunc(sorted, classCold, compareClass)
	promoteOneOfTwo(sorted[first:end], seed)
	order := make([]buckthorndyke.RunnerID, len(sorted))
	for i, c := range sorted {
		order[i] = c.Runner
	}
	return order
}

// Classes of candidates, best first.
const (
	classPrefixCached = iota
	classLoaded
	classCold
	classOverloaded
	classNoOwner
)

// class returns the class of c.
func class(c Candidate) int {
	switch {
	case !c.Live:
		return classNoOwner
	case c.Load >= overloadLimit:
		return classOverloaded
	case !c.Loaded:
		return classCold
	case c.PrefixCached && c.Load < prefixLoadLimit:
		return classPrefixCached
	default:
		return classLoaded
	}
}

// compareClass compares the class of c with want.
func compareClass(c Candidate, want int) int {
	return cmp.Compare(class(c), want)
}

// compareWithin compares two candidates of one class.
func compareWithin(model buckthorndyke.ModelID, a, b Candidate) int {
	if a.Loaded != b.Loaded {
		if a.Loaded {
			return -1
		}
		return 1
	}
	if a.Loaded {
		return cmp.Compare(a.Load, b.Load)
	}
	return cmp.Or(
		cmp.Compare(a.Tier, b.Tier),
		cmp.Compare(placer.Score(string(model), string(b.Runner)), placer.Score(string(model), string(a.Runner))),
	)
}

// promoteOneOfTwo moves the less loaded of two random candidates to the front. The
// candidates are sorted by load, so that of two the first is the better.
func promoteOneOfTwo(loaded []Candidate, seed uint64) {
	if len(loaded) < 3 {
		return
	}
	random := rand.New(rand.NewPCG(seed, seed))
	first := random.IntN(len(loaded))
	second := random.IntN(len(loaded) - 1)
	if second >= first {
		second++
	}
	best := min(first, second)
	chosen := loaded[best]
	copy(loaded[1:best+1], loaded[:best])
	loaded[0] = chosen
}
