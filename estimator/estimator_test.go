package estimator_test

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/estimator"
)

// assertPeak checks the value of p at an instant, where 0 means that there is none.
func assertPeak(t *testing.T, p estimator.Peak, now, want buckthorndyke.Millis) {
	t.Helper()
	got, known := p.Value(now)
	asserter.Equal(t, got, want)
	asserter.Equal(t, known, want > 0)
}

func TestPeak(t *testing.T) {
	const second = buckthorndyke.Second
	t.Run("nothing is known at first", func(t *testing.T) {
		assertPeak(t, estimator.Peak{}, 100*second, 0)
	})
	t.Run("the longest duration counts", func(t *testing.T) {
		p := estimator.Peak{}.With(200, 100*second).With(900, 101*second).With(300, 102*second)
		assertPeak(t, p, 103*second, 900)
	})
	t.Run("a duration counts for half a minute at least and a minute at most", func(t *testing.T) {
		p := estimator.Peak{}.With(200, 100*second)
		assertPeak(t, p, 129*second, 200)
		assertPeak(t, p, 161*second, 0)
		for now := 100 * second; now < 160*second; now += second {
			p = p.With(50, now)
		}
		assertPeak(t, p, 160*second, 50)
	})
	t.Run("a duration of the previous window counts beside newer ones", func(t *testing.T) {
		p := estimator.Peak{}.With(900, 100*second).With(50, 131*second)
		assertPeak(t, p, 132*second, 900)
		assertPeak(t, p, 161*second, 50)
	})
}
