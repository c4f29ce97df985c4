package chooser

import (
	"math/rand/v2"

	"github.com/buckthorndyke/buckthorndyke"
)

// Limits of the time between two attempts.
const (
	backoffFirst = 20 * buckthorndyke.Millisecond
	backoffLimit = 1 * buckthorndyke.Second
)

// Backoff returns the time to wait before the attempt with the given number, which
// counts from 1. It doubles with each attempt up to a limit, and half of it is
// random, drawn by seed.
func Backoff(attempt int, seed uint64) buckthorndyke.Millis {
	span := backoffFirst
	for range attempt - 1 {
		span = min(2*span, backoffLimit)
	}
	random := rand.New(rand.NewPCG(seed, uint64(attempt)))
	return span/2 + buckthorndyke.Millis(random.Int64N(int64(span/2)+1))
}

// Attempt describes a failed attempt.
type Attempt struct {
	// Repeatable is set if the request is idempotent.
	Repeatable bool
	Verdict    buckthorndyke.Verdict
}

// MayRepeat reports whether the request may be sent again: if it has certainly not
// run, or if it is idempotent. Generation may always be continued, since the router
// suppresses tokens that the caller already has.
func (a Attempt) MayRepeat() bool {
	return a.Repeatable || a.Verdict.RetryIsSafe()
}
