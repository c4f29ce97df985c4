package estimator

import "github.com/buckthorndyke/buckthorndyke"

const (
	// lineTTL is how long a line is used after the last value.
	lineTTL = 60 * buckthorndyke.Second
	// lineWeight is the least weight of a further value.
	lineWeight = 1.0 / 64
	// minValues is the number of values from which on a line is used.
	minValues = 8
	// minVariance is the variance of the amounts, relative to the square of their mean,
	// below which the time is taken to be proportional to the amount.
	minVariance = 0.02
	// outlierFactor bounds a further value by a multiple of what the line predicts, and
	// outlierMargin is added to that.
	outlierFactor = 4
	outlierMargin = 20
)

// line is the time that work takes as a linear function of its amount, by least squares with
// weights that fall with the age of a value. It is immutable.
type line struct {
	at buckthorndyke.Millis
	n  int
	// amount and took are the means, variance is that of the amounts, and covariance that
	// of amount and time.
	amount, took, variance, covariance float64
}

// known reports whether the line can be used at now.
func (l line) known(now buckthorndyke.Millis) bool { return l.n >= minValues && now < l.at+lineTTL }

// parts returns the fixed time and the time for one unit of the amount.
func (l line) parts() (fixed, perUnit float64) {
	switch {
	case l.amount <= 0:
		return l.took, 0
	case l.variance < minVariance*l.amount*l.amount:
		return 0, l.took / l.amount
	}
	perUnit = max(l.covariance/l.variance, 0)
	fixed = l.took - perUnit*l.amount
	if fixed < 0 {
		return 0, l.took / l.amount
	}
	return fixed, perUnit
}

// with returns the line with one more value.
func (l line) with(amount, took float64, now buckthorndyke.Millis) line {
	if now >= l.at+lineTTL {
		l = line{}
	}
	if l.n >= minValues {
		fixed, perUnit := l.parts()
		took = min(took, outlierFactor*(fixed+perUnit*amount)+outlierMargin)
	}
	l.n++
	weight := max(1/float64(l.n), lineWeight)
	da, dt := amount-l.amount, took-l.took
	l.variance = (1 - weight) * (l.variance + weight*da*da)
	l.covariance = (1 - weight) * (l.covariance + weight*da*dt)
	l.amount += weight * da
	l.took += weight * dt
	l.at = now
	return l
}
