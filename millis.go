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

// permilleScale is the number of thousandths in a whole.
const permilleScale = 1000

// Millis is an instant or a duration in milliseconds. Instants can only be compared
// if they were read from the same Clock.
type Millis int64

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// WithDrift returns the longest time that can pass on this machine's clock while m
// passes on another machine's clock that may run slower by permille thousandths.
func (m Millis) WithDrift(permille int) Millis {
	return (m*Millis(permilleScale+permille) + permilleScale - 1) / permilleScale
}

// MillisOf returns d in whole milliseconds, rounded toward zero.
func MillisOf(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}
