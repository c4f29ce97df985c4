// Package timekeeper implements buckthorndyke.Clock.
package timekeeper

import (
	"time"

	"github.com/buckthorndyke/buckthorndyke"
)

// RealClock is the machine's monotonic clock. In a testing/synctest bubble it follows
// the fake time of the bubble.
type RealClock struct {
	start time.Time
}

// NewRealClock returns a clock that starts at the current wall-clock time.
func NewRealClock() *RealClock {
	return &RealClock{start: time.Now()}
}

// After implements buckthorndyke.Clock.
func (c *RealClock) After(d buckthorndyke.Millis) <-chan time.Time {
	return time.After(d.Duration())
}

// Now implements buckthorndyke.Clock.
func (c *RealClock) Now() buckthorndyke.Millis {
	elapsed := time.Since(c.start)
	return buckthorndyke.Millis(c.start.Add(elapsed).UnixMilli())
}
