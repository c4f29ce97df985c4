package chooser

import (
	"math/rand/v2"

	"github.com/buckthorndyke/buckthorndyke"
)

// Bounds of the time between two attempts.
const (
	backoffFirst = 20 * buckthorndyke.Millisecond
	backoffLimit = 1 * buckthorndyke.Second
)

// Backoff returns how long to wait before the attempt with the given number,
// which counts from 1. It doubles from attempt to attempt, and half of it is
// drawn at random by seed.
func Backoff(attempt int, seed uint64) buckthorndyke.Millis {
	span := backoffFirst
	for range attempt - 1 {
		span = min(2*span, backoffLimit)
	}
	random := rand.New(rand.NewPCG(seed, uint64(attempt)))
	return span/2 + buckthorndyke.Millis(random.Int64N(int64(span/2)+1))
}

// Attempt is what is known of a failed attempt.
type Attempt struct {
	// Repeatable is set if a second execution does no harm.
	Repeatable bool
	Verdict    buckthorndyke.Verdict
}

// MayRepeat reports whether the request may be sent again: if it certainly has
// not run, or if running twice does no harm. Generation may always be carried
// on, since the router suppresses tokens that the caller already has.
func (a Attempt) MayRepeat() bool {
	return a.Repeatable || a.Verdict.RetryIsSafe()
}
