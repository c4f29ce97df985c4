package steward

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
)

func TestLoadTimes(t *testing.T) {
	const memoryMB = 1000
	loadsOf := func(took ...buckthorndyke.Millis) loadTimes {
		var l loadTimes
		for _, d := range took {
			l = l.withLoad(buckthorndyke.TierRemote, memoryMB, d)
		}
		return l
	}
	assertOptimistic := func(t *testing.T, l loadTimes, minimum, maximum buckthorndyke.Millis) {
		t.Helper()
		got := l.optimistic(buckthorndyke.TierRemote, memoryMB)
		asserter.True(t, got >= minimum && got <= maximum, "the optimistic estimate is out of bounds")
	}
	t.Run("there is no optimistic estimate before the first load", func(t *testing.T) {
		assertOptimistic(t, loadsOf(), 0, 0)
		asserter.Equal(t, loadsOf().expected(buckthorndyke.TierRemote, memoryMB), 500)
	})
	t.Run("a few slow loads hardly change the optimistic estimate", func(t *testing.T) {
		assertOptimistic(t, loadsOf(500, 10_000, 10_000), 500, 1500)
	})
	t.Run("a very slow first load counts only up to a limit", func(t *testing.T) {
		assertOptimistic(t, loadsOf(10_000), 2000, 2000)
		assertOptimistic(t, loadsOf(1000), 1000, 1000)
	})
	t.Run("the optimistic estimate follows loads that stay slow", func(t *testing.T) {
		slow := []buckthorndyke.Millis{500}
		for range 60 {
			slow = append(slow, 10_000)
		}
		assertOptimistic(t, loadsOf(slow...), 9000, 10_000)
	})
	t.Run("the optimistic estimate follows a fast load immediately", func(t *testing.T) {
		assertOptimistic(t, loadsOf(10_000, 500), 500, 500)
	})
	t.Run("the average follows a slow load with its full weight", func(t *testing.T) {
		asserter.Equal(t, loadsOf(500, 10_500).expected(buckthorndyke.TierRemote, memoryMB), 3500)
	})
}
