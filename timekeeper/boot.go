package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/buckthorndyke/buckthorndyke"
)

// BootClock is a RealClock that also counts the time while the machine is suspended, so
// that what has expired meanwhile counts as expired. Its timers do not count that time.
type BootClock struct {
	*RealClock
	// readBoot returns the time since the machine has booted, or false if it is not known.
	readBoot func() (time.Duration, bool)
	// startBoot is the time from the boot of the machine to the clock's start.
	startBoot time.Duration
}

// BootOption configures a BootClock.
type BootOption func(*BootClock)

// WithBootReader replaces the machine's time since its boot.
func WithBootReader(read func() (time.Duration, bool)) BootOption {
	return func(c *BootClock) { c.readBoot = read }
}

// NewBootClock returns a clock that starts at the current wall-clock time.
func NewBootClock(opts ...BootOption) *BootClock {
	c := &BootClock{RealClock: NewRealClock(), readBoot: readBoot}
	for _, opt := range opts {
		opt(c)
	}
	c.startBoot, _ = c.readBoot()
	return c
}

// Now implements buckthorndyke.Clock.
func (c *BootClock) Now() buckthorndyke.Millis {
	boot, ok := c.readBoot()
	if !ok {
		return c.RealClock.Now()
	}
	return buckthorndyke.Millis(c.start.Add(boot - c.startBoot).UnixMilli())
}

// readBoot returns the time since the machine has booted.
func readBoot() (time.Duration, bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}
