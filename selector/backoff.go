package selector

import "github.com/buckthorndyke/buckthorndyke"

// Bounds of the time for which a server is avoided after a failure.
const (
	backoffFirst = 300 * buckthorndyke.Millisecond
	backoffLimit = 5 * buckthorndyke.Second
)

// backoff says how long a server is avoided after failures.
type backoff struct {
	// failures counts the failures since the last success.
	failures int
	// until is the instant until which the server is avoided.
	until buckthorndyke.Millis
}

// withFailure returns the backoff after one more failure at now. The time doubles
// with each failure.
func (b backoff) withFailure(now buckthorndyke.Millis) backoff {
	span := backoffFirst
	for range b.failures {
		span = min(2*span, backoffLimit)
	}
	return backoff{failures: b.failures + 1, until: now + span}
}
