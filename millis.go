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

// thousand is the whole that drift is a part of.
const thousand = 1000

// Millis is an instant or a span of time, in milliseconds. Instants are
// comparable only when they were read from the same Clock.
type Millis int64

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// WithDrift returns the longest time that m, as counted by another machine's
// clock, can take by this one's, if the other may run slower by permille parts
// of a thousand.
func (m Millis) WithDrift(permille int) Millis {
	return (m*Millis(thousand+permille) + thousand - 1) / thousand
}

// MillisOf returns d in whole milliseconds, rounded towards zero.
func MillisOf(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}
