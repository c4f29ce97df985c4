package evictor

import (
	"math"

	"github.com/buckthorndyke/buckthorndyke"
)

// Forever is a keep-warm time that never ends.
const Forever buckthorndyke.Millis = math.MaxInt64 / 4

// LRUKeepWarm keeps models loaded until their memory is needed and then evicts the
// least recently used. It serves as a baseline.
type LRUKeepWarm struct {
	recency
}

// NewLRUKeepWarm returns a policy without recorded requests.
func NewLRUKeepWarm() LRUKeepWarm {
	return LRUKeepWarm{}
}

// KeepFor implements buckthorndyke.KeepWarmPolicy.
func (p LRUKeepWarm) KeepFor(buckthorndyke.ModelID, buckthorndyke.Millis) buckthorndyke.Millis {
	return Forever
}

// WithArrival implements buckthorndyke.KeepWarmPolicy.
func (p LRUKeepWarm) WithArrival(model buckthorndyke.ModelID, now buckthorndyke.Millis) buckthorndyke.KeepWarmPolicy {
	p.recency = p.with(model, now)
	return p
}

// recency holds the time of the last request for each model.
type recency struct {
	last buckthorndyke.Table[buckthorndyke.ModelID, buckthorndyke.Millis]
}

// Worth implements buckthorndyke.KeepWarmPolicy. It returns the negative time since
// the last request.
func (r recency) Worth(model buckthorndyke.ModelID, _, now buckthorndyke.Millis) float64 {
	last, _ := r.last.Get(model)
	return -float64(now - last)
}

// with returns a recency that includes a request for model at now.
func (r recency) with(model buckthorndyke.ModelID, now buckthorndyke.Millis) recency {
	r.last = r.last.With(model, now)
	return r
}
