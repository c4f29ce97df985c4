// Package evictor decides how long idle models stay loaded and which models are
// evicted for others. It has no side effects.
package evictor

import (
	"math"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// bucketCount is the number of buckets. Their upper bounds grow by a factor of the
	// square root of two, from one second to 18 hours.
	bucketCount = 32
	// bucketLimit is the count at which all buckets are halved, so that old arrivals
	// lose weight.
	bucketLimit = math.MaxUint8
	// firstBucketBound is the upper bound of the first bucket.
	firstBucketBound = buckthorndyke.Second
	// priorMass is the weight of the prior distribution, as a number of arrivals.
	priorMass = 2.0
)

// arrivals is the histogram of the inter-arrival times of the requests for one model,
// in logarithmic buckets of one byte.
type arrivals struct {
	buckets [bucketCount]uint8
	last    buckthorndyke.Millis
	seen    bool
}

// bucketBounds are the upper bounds of the buckets.
var bucketBounds = makeBucketBounds()

// bucketOf returns the index of the bucket of an inter-arrival time.
func bucketOf(interval buckthorndyke.Millis) int {
	if interval <= firstBucketBound {
		return 0
	}
	i := int(math.Ceil(2 * math.Log2(float64(interval)/float64(firstBucketBound))))
	return min(i, bucketCount-1)
}

// cheapestKeepTime returns the keep-warm time with the lowest expected cost. A
// request that arrives after that time costs coldCost, and each millisecond for which
// the model stays loaded costs idleCost.
func (a arrivals) cheapestKeepTime(pooled arrivals, coldCost, idleCost float64) buckthorndyke.Millis {
	weights, total := a.weights(pooled)
	best, bestCost := buckthorndyke.Millis(0), coldCost
	idle, within := 0.0, 0.0
	for i := range bucketCount {
		keep := float64(bucketBounds[i])
		within += weights[i] / total
		idle += weights[i] / total * keep
		cost := coldCost*(1-within) + idleCost*(idle+(1-within)*keep)
		if cost < bestCost {
			best, bestCost = bucketBounds[i], cost
		}
	}
	return best
}

// count returns the number of inter-arrival times in the histogram.
func (a arrivals) count() int {
	n := 0
	for _, c := range a.buckets {
		n += int(c)
	}
	return n
}

// rate returns the expected request rate per millisecond from now on, given the time
// since the last request.
func (a arrivals) rate(pooled arrivals, now buckthorndyke.Millis) float64 {
	weights, _ := a.weights(pooled)
	since := buckthorndyke.Millis(0)
	if a.seen {
		since = now - a.last
	}
	mass, remaining := 0.0, 0.0
	for i := range bucketCount {
		if left := bucketBounds[i] - since; left > 0 {
			mass += weights[i]
			remaining += weights[i] * float64(left)
		}
	}
	if mass == 0 {
		return 0
	}
	return mass / remaining
}

// weights returns the weights of the buckets and their sum. The prior, which has the
// weight of priorMass arrivals, is the distribution of pooled.
func (a arrivals) weights(pooled arrivals) ([bucketCount]float64, float64) {
	var weights [bucketCount]float64
	total := 0.0
	scale := priorMass / (float64(pooled.count()) + priorMass)
	for i, c := range a.buckets {
		weights[i] = float64(c) + scale*(float64(pooled.buckets[i])+priorMass/bucketCount)
		total += weights[i]
	}
	return weights, total
}

// with returns a histogram that includes a request at now.
func (a arrivals) with(now buckthorndyke.Millis) arrivals {
	if a.seen {
		a = a.withInterval(now - a.last)
	}
	a.last = now
	a.seen = true
	return a
}

// withInterval returns a histogram that includes one more inter-arrival time.
func (a arrivals) withInterval(interval buckthorndyke.Millis) arrivals {
	i := bucketOf(interval)
	if a.buckets[i] == bucketLimit {
		for j := range a.buckets {
			a.buckets[j] /= 2
		}
	}
	a.buckets[i]++
	return a
}

// makeBucketBounds returns bounds that grow by a factor of the square root of two.
func makeBucketBounds() [bucketCount]buckthorndyke.Millis {
	var b [bucketCount]buckthorndyke.Millis
	for i := range b {
		b[i] = buckthorndyke.Millis(float64(firstBucketBound) * math.Pow(2, float64(i)/2))
	}
	return b
}
