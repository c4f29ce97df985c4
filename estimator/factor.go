package estimator

import (
	"math"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// factorTTL is how long a factor is used after the last value.
	factorTTL = 60 * buckthorndyke.Second
	// factorWeight is the least weight of a further value.
	factorWeight = 1.0 / 8
	// factorPrior is the number of values of 1 that are assumed before the first one, so
	// that a single outlier decides little.
	factorPrior = 3
	// factorBound bounds a single value, and its inverse.
	factorBound = 4
)

// factor is by how much something takes longer than others of its kind. Values are averaged
// by their logarithms, so that a server that is 2.5 times slower in a seventh of the time
// counts as 1.14 times slower. It is immutable.
type factor struct {
	at buckthorndyke.Millis
	// incarnation is that of the server, or 0.
	incarnation buckthorndyke.Incarnation
	// mean is the mean of the logarithms, and spread the mean of their distances from it.
	mean, spread float64
	n            int
}

// log returns the logarithm of the factor, which is 0 if nothing recent is known.
func (f factor) log(incarnation buckthorndyke.Incarnation, now buckthorndyke.Millis) float64 {
	if !f.valid(incarnation, now) {
		return 0
	}
	return f.mean
}

// valid reports whether the factor can be used.
func (f factor) valid(incarnation buckthorndyke.Incarnation, now buckthorndyke.Millis) bool {
	return f.n > 0 && f.incarnation == incarnation && now < f.at+factorTTL
}

// with returns the factor with one more value, which is given by its logarithm.
func (f factor) with(value float64, incarnation buckthorndyke.Incarnation, now buckthorndyke.Millis) factor {
	if !f.valid(incarnation, now) {
		f = factor{incarnation: incarnation}
	}
	value = min(max(value, -math.Log(factorBound)), math.Log(factorBound))
	f.n++
	weight := max(1/float64(f.n+factorPrior), factorWeight)
	f.spread += (math.Abs(value-f.mean) - f.spread) * weight
	f.mean += (value - f.mean) * weight
	f.at = now
	return f
}
