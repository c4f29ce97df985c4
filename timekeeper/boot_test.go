package timekeeper_test

import (
	"testing"
	"time"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

// TestBootClock guards against a leader on a machine that was suspended and that went on
// with a grant which had expired meanwhile.
func TestBootClock(t *testing.T) {
	t.Run("the time while the machine is suspended counts", func(t *testing.T) {
		boot := 40 * time.Second
		c := timekeeper.NewBootClock(timekeeper.WithBootReader(func() (time.Duration, bool) { return boot, true }))
		before := c.Now()
		boot += 5 * time.Second
		asserter.Equal(t, c.Now()-before, 5*buckthorndyke.Second)
	})
	t.Run("the clock runs without the machine's time since its boot", func(t *testing.T) {
		c := timekeeper.NewBootClock(timekeeper.WithBootReader(func() (time.Duration, bool) { return 0, false }))
		asserter.True(t, c.Now() > 0, "the clock has no time")
	})
	t.Run("the machine's own clock advances and starts at the wall-clock time", func(t *testing.T) {
		c := timekeeper.NewBootClock()
		before := c.Now()
		asserter.True(t, before >= buckthorndyke.Millis(time.Now().Add(-time.Minute).UnixMilli()), "the clock starts in the past")
		asserter.Eventually(t, time.Second, func() bool { return c.Now() > before })
	})
}
