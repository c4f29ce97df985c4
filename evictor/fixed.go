package evictor

import "github.com/buckthorndyke/buckthorndyke"

// FixedKeepWarm keeps every model for the same time. It is a baseline.
type FixedKeepWarm struct {
	recency
	keep buckthorndyke.Millis
}

// NewFixedKeepWarm returns a policy that keeps models for keep.
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
