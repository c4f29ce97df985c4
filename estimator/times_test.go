package estimator_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/estimator"
)

const begin = 100 * buckthorndyke.Second

// readsOf returns the times after n reads at each of two servers, of 500 to 4,500 tokens. A
// read takes 8 ms and 0.02 ms for each token, times the factor of the server and that of the
// model.
func readsOf(n int, servers [2]float64, models [2]float64) estimator.Times {
	var t estimator.Times
	for i := range 2 * n {
		w := estimator.Work{Amount: 500 + i%5*1000, Incarnation: 1, Model: modelOf(i / 2 % 2), Server: serverOf(i % 2)}
		took := 8 + 0.02*float64(w.Amount)*servers[i%2]*models[i/2%2]
		t = t.With(w, buckthorndyke.Millis(math.Round(took)), begin+buckthorndyke.Millis(i))
	}
	return t
}

func serverOf(n int) buckthorndyke.RunnerID { return buckthorndyke.RunnerID(fmt.Sprintf("s%d", n)) }
func modelOf(n int) buckthorndyke.ModelID   { return buckthorndyke.ModelID(fmt.Sprintf("m%d", n)) }

// assertNear reports an error unless the estimate for w is within a tenth of want.
func assertNear(t *testing.T, times estimator.Times, w estimator.Work, want float64) {
	t.Helper()
	got, ok := times.Estimate(w, begin+buckthorndyke.Second)
	asserter.True(t, ok, "nothing is estimated")
	asserter.True(t, math.Abs(float64(got.Time)-want) < 0.1*want+1, fmt.Sprintf("got %d ms, want %.0f", got.Time, want))
}

func TestTimes(t *testing.T) {
	one := [2]float64{1, 1}
	work := func(amount, server, model int) estimator.Work {
		return estimator.Work{Amount: amount, Incarnation: 1, Model: modelOf(model), Server: serverOf(server)}
	}
	t.Run("nothing is known at first, and of few values", func(t *testing.T) {
		_, ok := readsOf(3, one, one).Estimate(work(500, 0, 0), begin)
		asserter.True(t, !ok, "an estimate from 6 values")
	})
	t.Run("the time grows with the amount", func(t *testing.T) {
		times := readsOf(50, one, one)
		assertNear(t, times, work(500, 0, 0), 18)
		assertNear(t, times, work(9000, 0, 0), 188)
	})
	t.Run("servers and models have factors of their own", func(t *testing.T) {
		times := readsOf(100, [2]float64{1, 2}, [2]float64{1, 3})
		assertNear(t, times, work(3000, 0, 0), 68)
		assertNear(t, times, work(3000, 1, 0), 128)
		assertNear(t, times, work(3000, 1, 1), 368)
	})
	t.Run("an unknown server takes as long as the others", func(t *testing.T) {
		assertNear(t, readsOf(50, one, one), work(3000, 7, 0), 68)
	})
	t.Run("a server that is at times slower has a spread and nearly the usual factor", func(t *testing.T) {
		times := readsOf(50, one, one)
		for n := range 70 {
			factor := 1.0
			if n%7 == 0 {
				factor = 2.5
			}
			times = times.With(work(3000, 1, 0), buckthorndyke.Millis(8+60*factor), begin+200)
		}
		for _, f := range times.ServerFactors(begin + 200) {
			noisy := f.Server == serverOf(1)
			asserter.True(t, !noisy || f.Factor > 0.8 && f.Factor < 1.4 && f.Spread > 1.05, fmt.Sprintf("%+v", f))
		}
	})
	t.Run("an amount that is always the same makes the time proportional", func(t *testing.T) {
		var times estimator.Times
		for range 20 {
			times = times.With(work(650, 0, 0), 26, begin)
		}
		assertNear(t, times, work(1300, 0, 0), 52)
	})
	t.Run("estimates expire", func(t *testing.T) {
		_, ok := readsOf(50, one, one).Estimate(work(500, 0, 0), begin+61*buckthorndyke.Second)
		asserter.True(t, !ok, "an old estimate was used")
	})
	t.Run("an estimate has the age of what its server has shown last", func(t *testing.T) {
		times := readsOf(50, one, one).With(work(500, 0, 0), 18, begin+5000)
		got, _ := times.Estimate(work(500, 1, 0), begin+6000)
		asserter.True(t, got.Age > 5000, "the age is that of another server")
	})
}
