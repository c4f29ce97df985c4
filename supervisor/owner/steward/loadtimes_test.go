package steward

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
)

func TestLoadTimes(t *testing.T) {
	const memoryMB = 1000
	seen := func(took ...buckthorndyke.Millis) loadTimes {
		var l loadTimes
		for _, d := range took {
			l = l.withLoad(buckthorndyke.TierRemote, memoryMB, d)
		}
		return l
	}
	assertPredicted := func(t *testing.T, l loadTimes, least, most buckthorndyke.Millis) {
		t.Helper()
		got := l.optimistic(buckthorndyke.TierRemote, memoryMB)
		asserter.True(t, got >= least && got <= most, "the prediction is out of bounds")
	}
	t.Run("nothing is predicted before a load was seen", func(t *testing.T) {
		assertPredicted(t, seen(), 0, 0)
		asserter.Equal(t, seen().expected(buckthorndyke.TierRemote, memoryMB), 500)
	})
	t.Run("a few slow loads hardly change by what requests are refused", func(t *testing.T) {
		assertPredicted(t, seen(500, 10_000, 10_000), 500, 1500)
	})
	t.Run("a first load that is very slow is not taken for the rule", func(t *testing.T) {
		assertPredicted(t, seen(10_000), 2000, 2000)
		assertPredicted(t, seen(1000), 1000, 1000)
	})
	t.Run("loads that stay slow are believed", func(t *testing.T) {
		slow := []buckthorndyke.Millis{500}
		for range 60 {
			slow = append(slow, 10_000)
		}
		assertPredicted(t, seen(slow...), 9000, 10_000)
	})
	t.Run("a fast load is believed at once", func(t *testing.T) {
		assertPredicted(t, seen(10_000, 500), 500, 500)
	})
	t.Run("a slow load counts fully for what is kept", func(t *testing.T) {
		asserter.Equal(t, seen(500, 10_500).expected(buckthorndyke.TierRemote, memoryMB), 3500)
	})
}
