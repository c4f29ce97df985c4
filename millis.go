package buckthorndyke

import "time"

// Units of Millis.
const (
	Millisecond Millis = 1
	Second             = 1000 * Millisecond
	Minute             = 60 * Second
	Hour               = 60 * Minute
	Day                = 24 * Hour
)

// Millis is an instant or a span of time, in milliseconds. Instants are
// comparable only when they were read from the same Clock.
type Millis int64

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// MillisOf returns d in whole milliseconds, rounded towards zero.
func MillisOf(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}
