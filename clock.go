package buckthorndyke

import "time"

// Clock tells the time and waits. Its instants never go backwards; they count
// from the Unix epoch as it stood when the clock was made, so that they can
// also be shown to an operator.
type Clock interface {
	// After returns a channel that receives one value once d has passed.
	After(d Millis) <-chan time.Time
	// Now returns the current instant.
	Now() Millis
}
