package buckthorndyke_test

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
)

func TestRate(t *testing.T) {
	const now = 100 * buckthorndyke.Second
	r := buckthorndyke.Rate{}.WithArrivals(60, now)
	t.Run("averages arrivals over the time constant", func(t *testing.T) {
		asserter.Equal(t, r.PerSecond(now), 5.0)
	})
	t.Run("decays with time", func(t *testing.T) {
		asserter.True(t, r.PerSecond(now+12*buckthorndyke.Second) < 2, "the rate did not decay")
	})
	t.Run("is restored from its recent arrivals", func(t *testing.T) {
		later := now + 3*buckthorndyke.Second
		other := buckthorndyke.Rate{}.WithArrivals(r.Recent(later), later)
		asserter.True(t, other.PerSecond(later) > 0.98*r.PerSecond(later), "the restored rate is too low")
	})
}
