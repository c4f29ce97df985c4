package buckthorndyke

import "time"

// Clock tells the time and provides timers. Its instants never go backwards. They
// are milliseconds since the Unix epoch, based on the wall clock at the time the
// Clock was created, so that they can also be shown to an operator.
type Clock interface {
	// After returns a channel that receives one value after d has elapsed.
	After(d Millis) <-chan time.Time
	// Now returns the current instant.
	Now() Millis
}
