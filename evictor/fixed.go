package evictor

import "github.com/buckthorndyke/buckthorndyke"

// FixedKeepWarm keeps each model loaded for the same time. It serves as a baseline.
type FixedKeepWarm struct {
	recency
	keep buckthorndyke.Millis
}

// NewFixedKeepWarm returns a policy with the given keep-warm time.
func NewFixedKeepWarm(keep buckthorndyke.Millis) FixedKeepWarm {
	return FixedKeepWarm{keep: keep}
}

// KeepFor implements buckthorndyke.KeepWarmPolicy.
func (p FixedKeepWarm) KeepFor(buckthorndyke.ModelID, buckthorndyke.Millis) buckthorndyke.Millis {
	return p.keep
}

// WithArrival implements buckthorndyke.KeepWarmPolicy.
func (p FixedKeepWarm) WithArrival(model buckthorndyke.ModelID, now buckthorndyke.Millis) buckthorndyke.KeepWarmPolicy {
	p.recency = p.with(model, now)
	return p
}
