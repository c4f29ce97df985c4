package timekeeper_test

import (
	"testing"
	"testing/synctest"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

func TestRealClock(t *testing.T) {
	t.Run("now advances by the time waited", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			clock := timekeeper.NewRealClock()
			before := clock.Now()
			<-clock.After(250 * buckthorndyke.Millisecond)
			assertElapsed(t, clock.Now()-before, 250*buckthorndyke.Millisecond)
		})
	})
}

func assertElapsed(t *testing.T, got, want buckthorndyke.Millis) {
	t.Helper()
	if got != want {
		t.Errorf("elapsed %d ms, want %d ms", got, want)
	}
}
