package selector

import "github.com/buckthorndyke/buckthorndyke"

// Bounds of the time for which a server that failed is avoided.
const (
	setbackFirst = 300 * buckthorndyke.Millisecond
	setbackLimit = 5 * buckthorndyke.Second
)

// setback is the standing of a server that failed lately.
type setback struct {
	// failures counts the failures since the last success.
	failures int
	// until is the instant until which the server is avoided.
	until buckthorndyke.Millis
}

// withFailure returns the standing after one more failure at now.
func (s setback) withFailure(now buckthorndyke.Millis) setback {
	span := setbackFirst
	for range s.failures {
		span = min(2*span, setbackLimit)
	}
	return setback{failures: s.failures + 1, until: now + span}
}
