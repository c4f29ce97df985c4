package timekeeper_test

import (
	"testing"
	"testing/synctest"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

func TestRealClock(t *testing.T) {
	t.Run("Now advances by the time waited", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			clock := timekeeper.NewRealClock()
			before := clock.Now()
			<-clock.After(250 * buckthorndyke.Millisecond)
			asserter.Equal(t, clock.Now()-before, 250*buckthorndyke.Millisecond)
		})
	})
}
