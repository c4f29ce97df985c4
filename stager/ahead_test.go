package stager_test

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/stager"
)

// TestRisingDemand guards against replicas and copies that are ordered by an average of
// the last twelve seconds while demand doubles every few, and against noise that counts as
// a rise.
func TestRisingDemand(t *testing.T) {
	// after returns the demand after reports of a rate every 0.8 s.
	after := func(seconds int, rate func(second float64) float64) stager.Demand {
		var d stager.Demand
		d = d.WithReport(vm, nil, now).WithReport(vm, nil, now)
		carry := 0.0
		for at := buckthorndyke.Millis(0); at < buckthorndyke.Millis(seconds)*buckthorndyke.Second; at += 800 {
			carry += rate(at.Duration().Seconds()) * 0.8
			n := int(carry)
			carry -= float64(n)
			d = d.WithReport(vm, []buckthorndyke.DemandEntry{{Arrivals: n, Key: key(0)}}, now+at)
		}
		return d
	}
	t.Run("a rate that doubles in seconds counts by the level it is rising to", func(t *testing.T) {
		d := after(46, func(second float64) float64 { return 20 + 18*max(second-40, 0) })
		got := d.ExpectedRate(key(0), now+45600)
		asserter.True(t, got > 130 && got < 250, "the expected rate is far from 20 + 18 times 6 and more")
		asserter.True(t, d.Growth(key(0), now+45600) > 1.4, "the demand does not count as rising")
	})
	t.Run("a steady rate does not", func(t *testing.T) {
		d := after(60, func(float64) float64 { return 20 })
		asserter.Equal(t, d.ExpectedRate(key(0), now+59200), d.ArrivalRate(key(0), now+59200))
		asserter.Equal(t, d.Growth(key(0), now+59200), 1.0)
	})
	t.Run("a few arrivals of a rare model do not", func(t *testing.T) {
		d := after(60, func(second float64) float64 {
			if second >= 58 {
				return 2
			}
			return 0.2
		})
		asserter.Equal(t, d.ExpectedRate(key(0), now+59200), d.ArrivalRate(key(0), now+59200))
	})
	t.Run("all recent arrivals, as a new leader asks for them, do not", func(t *testing.T) {
		d := stager.Demand{}.WithReport(vm, nil, now).WithReport(vm, []buckthorndyke.DemandEntry{{Arrivals: 240, Key: key(0)}}, now)
		asserter.Equal(t, d.ExpectedRate(key(0), now), 20.0)
	})
}

// TestRanks guards against urgent requests for rare models that wait behind many others.
func TestRanks(t *testing.T) {
	v := viewOf(withCopies(runner("a", 0, 1)))
	demand := func(urgent, others int) stager.View {
		return v.WithDemand(vm, []buckthorndyke.DemandEntry{
			{Key: key(4), Priority: 2, TimeLeft: 1800, Waiting: others}, {Key: key(5), TimeLeft: 1800, Waiting: urgent},
		}, now)
	}
	t.Run("an urgent request comes before some others", func(t *testing.T) {
		assertOrders(t, demand(1, 3), "load m5 at a from disk")
	})
	t.Run("many others are not passed over", func(t *testing.T) {
		assertOrders(t, demand(1, 5), "load m4 at a from disk")
	})
	t.Run("without priorities, the number of requests decides", func(t *testing.T) {
		assertOrders(t, v.WithDemand(vm, []buckthorndyke.DemandEntry{
			{Key: key(4), TimeLeft: 1800, Waiting: 3}, {Key: key(5), TimeLeft: 1800, Waiting: 1},
		}, now), "load m4 at a from disk")
	})
}

// TestCopiesAhead guards against models whose only copy is lost with its runner.
func TestCopiesAhead(t *testing.T) {
	hot := []buckthorndyke.DemandEntry{{Arrivals: 60, Key: key(0)}}
	t.Run("a hot model gets a second copy if its load takes longer than requests wait", func(t *testing.T) {
		v := viewOf(withCopies(runner("a", 0)), without(withCopies(runner("b", 1)), 0))
		assertOrders(t, v.WithDemand(vm, hot, now))
		assertOrders(t, impatient(v).WithDemand(vm, hot, now), "load m0 at b from remote")
	})
	t.Run("a second copy leaves the weight store to models that requests wait for", func(t *testing.T) {
		v := viewOf(withCopies(runner("a", 0)), without(withCopies(runner("b", 1)), 0), runner("c"), runner("d"))
		v = v.WithOrder(loadOrder(5, "c", buckthorndyke.TierRemote), now).WithOrder(loadOrder(6, "d", buckthorndyke.TierRemote), now)
		assertOrders(t, impatient(v).WithDemand(vm, hot, now))
	})
	t.Run("a copy is not made where there is one", func(t *testing.T) {
		v := impatient(viewOf(withCopies(runner("a", 1)), withCopies(runner("b", 0, 2))))
		assertOrders(t, v.WithDemand(vm, hot, now))
	})
	t.Run("a copy is made in another failure domain", func(t *testing.T) {
		a, b, c := withCopies(runner("a", 0)), without(withCopies(runner("b", 1)), 0), without(withCopies(runner("c", 1)), 0)
		a.Domain, b.Domain, c.Domain = "x", "x", "y"
		assertOrders(t, impatient(viewOf(a, b, c)).WithDemand(vm, hot, now), "load m0 at c from remote")
	})
}

// TestLeavingRunners guards against requests that wait until a leaving runner is gone.
func TestLeavingRunners(t *testing.T) {
	leaving := withCopies(runner("a", 0))
	leaving.Leaving = true
	full := withCopies(runner("b", 1))
	t.Run("what only a leaving runner has loaded is loaded elsewhere", func(t *testing.T) {
		v := viewOf(leaving, full).WithDemand(vm, []buckthorndyke.DemandEntry{{Arrivals: 3, Key: key(0), Running: 1}}, now)
		assertOrders(t, v, "load m0 at b from disk")
		v = viewOf(leaving, full).WithDemand(vm, []buckthorndyke.DemandEntry{{Arrivals: 3, Key: key(0)}}, now)
		assertOrders(t, v, "load m0 at b from disk")
	})
	t.Run("not if no request is expected", func(t *testing.T) {
		assertOrders(t, viewOf(leaving, full).WithDemand(vm, []buckthorndyke.DemandEntry{{Arrivals: 1, Key: key(0)}}, now))
	})
	t.Run("not if another runner has loaded it", func(t *testing.T) {
		v := viewOf(leaving, full, withCopies(runner("c", 0))).WithDemand(vm, []buckthorndyke.DemandEntry{{Arrivals: 3, Key: key(0), Running: 1}}, now)
		assertOrders(t, v)
	})
}
