package stager_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/stager"
)

// diskTakes is the predicted time of a load from a disk: 1 s by the configuration, plus
// the margin.
const diskTakes = 1035 * buckthorndyke.Millisecond

// assertServes reports an error unless v serves model n, or does not, as wanted.
func assertServes(t *testing.T, v stager.View, n int, want bool) {
	t.Helper()
	asserter.Equal(t, v.Index(stager.Index{}, now).Serves(key(n)), want)
}

// reported returns v with a report of a runner at the given instant.
func reported(v stager.View, b buckthorndyke.Backend, orders int64, busy bool, at buckthorndyke.Millis) stager.View {
	return v.WithReport(buckthorndyke.BackendReport{AcceptedOrders: orders, Backend: b, Busy: busy}, at)
}

// TestPredictedLoads guards against requests that wait for a report of a load that has
// ended, and against a leader that believes its prediction more than reports.
func TestPredictedLoads(t *testing.T) {
	order := loadOrder(5, "a", buckthorndyke.TierDisk)
	idle := viewOf(withCopies(runner("a")))
	accepted := idle.WithOrder(order, now).WithAccepted("a", 1)
	predicted := accepted.WithPredictedEnd(order, now+diskTakes)
	t.Run("an accepted load from a disk counts as complete after its time", func(t *testing.T) {
		takes, ok := accepted.PredictedTime(order)
		asserter.True(t, ok, "the load has no predicted time")
		asserter.Equal(t, takes, diskTakes)
		assertServes(t, accepted.WithPredictedEnd(order, now+diskTakes-1), 5, false)
		assertServes(t, predicted, 5, true)
		asserter.Equal(t, len(predicted.PendingOrders()), 0)
	})
	t.Run("a load that was not accepted does not count", func(t *testing.T) {
		assertServes(t, idle.WithOrder(order, now).WithPredictedEnd(order, now+diskTakes), 5, false)
	})
	t.Run("only a report shows the end of an unload or of a load from the weight store", func(t *testing.T) {
		for _, o := range []stager.PlannedOrder{
			loadOrder(5, "a", buckthorndyke.TierRemote),
			{Kind: buckthorndyke.OrderUnload, Model: "m5", Runner: "a"},
			{Adapter: "a1", Kind: buckthorndyke.OrderUnload, Model: "m5", Runner: "a"},
		} {
			_, ok := idle.PredictedTime(o)
			asserter.True(t, !ok, "an order has a predicted time")
			assertServes(t, idle.WithOrder(o, now).WithAccepted("a", 1).WithPredictedEnd(o, now+buckthorndyke.Minute), 5, false)
		}
	})
	t.Run("the estimate is the predicted end", func(t *testing.T) {
		got := accepted.LoadEstimates([]buckthorndyke.DemandEntry{{Key: key(5), Waiting: 1}}, now+1000)
		asserter.Equal(t, got, []buckthorndyke.LoadEstimate{{Key: key(5), ReadyIn: 35}})
	})
	t.Run("a report is requested to confirm it", func(t *testing.T) {
		asserter.Equal(t, len(predicted.Unconfirmed(now+diskTakes+199)), 0)
		asserter.Equal(t, predicted.Unconfirmed(now+diskTakes+200), []buckthorndyke.RunnerID{"a"})
		confirmed := reported(predicted, withCopies(runner("a", 5)), 1, false, now+diskTakes+250)
		asserter.Equal(t, len(confirmed.Unconfirmed(now+buckthorndyke.Minute)), 0)
		assertServes(t, confirmed, 5, true)
	})
	t.Run("a report from before the end does not contradict it", func(t *testing.T) {
		assertServes(t, reported(predicted, withCopies(runner("a")), 1, true, now+diskTakes+100), 5, true)
	})
	contradicted := reported(predicted, withCopies(runner("a")), 1, true, now+diskTakes+350)
	t.Run("a later report contradicts it", func(t *testing.T) {
		assertServes(t, contradicted, 5, false)
		asserter.Equal(t, len(contradicted.PendingOrders()), 1)
		assertServes(t, contradicted.WithPredictedEnd(order, now+5*buckthorndyke.Second), 5, false)
		assertServes(t, reported(contradicted, withCopies(runner("a", 5)), 1, false, now+diskTakes+500), 5, true)
	})
	t.Run("a load that was lost ends after the time for accepted orders", func(t *testing.T) {
		lost := reported(predicted, withCopies(runner("a")), 1, false, now+diskTakes+350)
		assertServes(t, lost, 5, false)
		asserter.Equal(t, len(lost.PendingOrders()), 1)
		asserter.Equal(t, len(reported(lost, withCopies(runner("a")), 1, false, now+4*buckthorndyke.Second).PendingOrders()), 0)
	})
	t.Run("wrong predictions make later ones longer, right ones shorten them again", func(t *testing.T) {
		takes, _ := contradicted.PredictedTime(order)
		asserter.Equal(t, takes, 1290*buckthorndyke.Millisecond)
		right := contradicted
		for range 50 {
			right = reported(right, withCopies(runner("a")), 1, false, now+9*buckthorndyke.Second)
			right = right.WithOrder(order, now+10*buckthorndyke.Second).WithAccepted("a", 1).WithPredictedEnd(order, now+20*buckthorndyke.Second)
			right = reported(right, withCopies(runner("a", 5)), 1, false, now+20*buckthorndyke.Second)
		}
		takes, _ = right.PredictedTime(order)
		asserter.Equal(t, takes, diskTakes)
	})
	t.Run("the memory of a wrongly predicted load stays reserved beside a later order", func(t *testing.T) {
		v := viewOf(withCopies(runner("a", 0))).WithOrder(order, now).WithAccepted("a", 1).WithPredictedEnd(order, now+diskTakes)
		next := loadOrder(6, "a", buckthorndyke.TierDisk)
		v = v.WithOrder(next, now+diskTakes).WithAccepted("a", 2)
		v = reported(v, withCopies(runner("a", 0)), 2, true, now+diskTakes+350)
		v = reported(v, withCopies(runner("a", 0, 6)), 2, false, now+diskTakes+1500)
		late := v.WithDemand(vm, []buckthorndyke.DemandEntry{{Key: key(1), TimeLeft: 900, Waiting: 1}}, now+diskTakes+1500)
		asserter.Equal(t, kindsOf(late.Plan(now+diskTakes+1500)), []buckthorndyke.OrderKind{buckthorndyke.OrderUnload})
		v = reported(v, withCopies(runner("a", 0, 6)), 2, false, now+5*buckthorndyke.Second)
		later := v.WithDemand(vm, []buckthorndyke.DemandEntry{{Key: key(1), TimeLeft: 900, Waiting: 1}}, now+5*buckthorndyke.Second)
		asserter.Equal(t, kindsOf(later.Plan(now+5*buckthorndyke.Second)), []buckthorndyke.OrderKind{buckthorndyke.OrderLoad})
	})
}

// assertKinds reports an error unless orders have the given kinds.
func assertKinds(t *testing.T, orders []stager.PlannedOrder, want ...buckthorndyke.OrderKind) {
	t.Helper()
	asserter.Equal(t, kindsOf(orders), want)
}

// kindsOf returns the kinds of orders.
func kindsOf(orders []stager.PlannedOrder) []buckthorndyke.OrderKind {
	var out []buckthorndyke.OrderKind
	for _, o := range orders {
		out = append(out, o.Kind)
	}
	return out
}

// TestLateRunners checks that the memory of runners that carry accepted orders out late,
// or lose them, is not exceeded, although loads count as complete before reports show it.
func TestLateRunners(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 150
	properties := gopter.NewProperties(parameters)
	properties.Property("memory is not exceeded", prop.ForAll(func(draws []int) string {
		return lateRunnerFault(draws, lateRun{late: true})
	}, gen.SliceOfN(80, gen.IntRange(0, 9999))))
	properties.Property("memory is not exceeded with early loads at runners that begin orders at once", prop.ForAll(func(draws []int) string {
		return lateRunnerFault(draws, lateRun{early: true})
	}, gen.SliceOfN(80, gen.IntRange(0, 9999))))
	properties.TestingRun(t)
	t.Run("early loads exceed it at runners that carry orders out late", func(t *testing.T) {
		asserter.True(t, exceedsForSomeDraws(), "the variant exceeds no memory")
	})
}

// lateRun says how orders are played to a runner.
type lateRun struct {
	// early is set if an accepted unload counts as carried out.
	early bool
	// late is set if the runner carries some orders out late and loses some.
	late bool
}

// exceedsForSomeDraws reports whether a leader that takes accepted unloads for complete
// exceeds the memory of a runner that carries orders out late.
func exceedsForSomeDraws() bool {
	for seed := range 200 {
		draws := make([]int, 80)
		for i := range draws {
			draws[i] = (seed*7919 + i*i*31 + i*101) % 10000
		}
		if lateRunnerFault(draws, lateRun{early: true, late: true}) != "" {
			return true
		}
	}
	return false
}

// lateRunner is a runner that accepts an order if the expected number of orders is right
// and no order is in progress. An order that it carries out late is not in progress until
// it begins.
type lateRunner struct {
	accepted int64
	// begins is the instant at which the accepted order begins, or 0 if there is none.
	begins, ends buckthorndyke.Millis
	loaded       []int
	lost         bool
	model        int
	unload       bool
	// past are the states that a report may show, which is 200 ms old.
	past []buckthorndyke.BackendReport
}

// report returns the state of 200 ms ago.
func (r *lateRunner) report(at buckthorndyke.Millis) buckthorndyke.BackendReport {
	r.step(at)
	busy := r.begins > 0 && at >= r.begins
	r.past = append(r.past, buckthorndyke.BackendReport{AcceptedOrders: r.accepted, Backend: withCopies(runner("a", r.loaded...)), Busy: busy})
	return r.past[max(len(r.past)-3, 0)]
}

// step carries out the accepted order as far as it is due.
func (r *lateRunner) step(at buckthorndyke.Millis) {
	if r.begins == 0 || at < r.ends {
		return
	}
	r.begins = 0
	switch {
	case r.lost:
	case r.unload:
		r.loaded = slices.DeleteFunc(r.loaded, func(n int) bool { return n == r.model })
	default:
		r.loaded = append(r.loaded, r.model)
	}
}

// lateRunnerFault plays orders to a late runner, drawn from draws, and says how its memory
// was exceeded, or returns an empty string.
func lateRunnerFault(draws []int, run lateRun) string {
	r := &lateRunner{loaded: []int{0, 1, 2}}
	v := viewOf(withCopies(runner("a", 0, 1, 2)))
	var expected []stager.PlannedOrder
	var due []buckthorndyke.Millis
	for i, draw := range draws {
		for tick := range 5 {
			at := now + buckthorndyke.Millis(i*500+tick*100)
			v = v.WithReport(r.report(at), at)
			for j, o := range expected {
				if at >= due[j] {
					v = v.WithPredictedEnd(o, at)
				}
			}
			if tick == 0 {
				v = v.WithDemand(vm, []buckthorndyke.DemandEntry{{Arrivals: 1, Key: key(draw % 7), TimeLeft: buckthorndyke.Second, Waiting: 1}}, at)
			}
			for _, o := range v.Plan(at) {
				sent, _ := v.AcceptedOrders("a")
				v = v.WithOrder(o, at)
				if r.step(at); sent != r.accepted || r.begins > 0 && at >= r.begins {
					v = v.WithFailed(o, at)
					continue
				}
				r.accepted++
				var n int
				_, _ = fmt.Sscanf(string(o.Model), "m%d", &n)
				used := len(r.loaded)
				if r.begins > 0 && !r.unload {
					used++
				}
				if o.Kind == buckthorndyke.OrderLoad && used >= 3 {
					return fmt.Sprintf("load of %s beside %v", o.Model, r.loaded)
				}
				if r.begins > 0 {
					// The earlier order is still to begin: it is carried out first.
					r.step(r.ends)
				}
				late := buckthorndyke.Millis(draw / 7 % 3 * 400)
				if !run.late {
					late = 0
				}
				takes := buckthorndyke.Millis(200)
				if o.Kind == buckthorndyke.OrderLoad {
					takes = buckthorndyke.Millis(700 + draw/21%4*300)
				}
				r.model, r.unload, r.lost, r.begins, r.ends = n, o.Kind == buckthorndyke.OrderUnload, run.late && draw%11 == 0, at+late, at+late+takes
				v = v.WithAccepted("a", r.accepted)
				if takes, ok := v.PredictedTime(o); ok {
					expected, due = append(expected, o), append(due, at+takes)
				}
				if run.early {
					v = v.WithEarlyUnload(o, at)
				}
			}
		}
	}
	return ""
}
