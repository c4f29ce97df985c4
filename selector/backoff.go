package selector

import "github.com/buckthorndyke/buckthorndyke"

// Bounds of the time for which a server that failed is avoided.
const (
	backoffFirst = 300 * buckthorndyke.Millisecond
	backoffLimit = 5 * buckthorndyke.Second
)

// setback is the standing of a server that failed lately.
type backoff struct {
	// failures counts the failures since the last success.
	failures int
	// until is the instant until which the server is avoided.
	until buckthorndyke.Millis
}

// withFailure returns the standing after one more failure at now.
func (s backoff) withFailure(now buckthorndyke.Millis) backoff {
	span := backoffFirst
	for range s.failures {
		span = min(2*span, backoffLimit)
	}
	return backoff{failures: s.failures + 1, until: now + span}
}
