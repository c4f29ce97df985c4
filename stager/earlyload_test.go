package stager_test

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/stager"
)

// TestEarlyLoads guards against a load that waits for the report of an unload although
// the runner would refuse it, and against a leader that goes on to order early loads at
// runners that accept them too soon.
func TestEarlyLoads(t *testing.T) {
	unload := stager.PlannedOrder{Kind: buckthorndyke.OrderUnload, Model: "m1", Runner: "a", TargetModel: "m5"}
	full := withCopies(runner("a", 0, 1, 2))
	accepted := withWaiting(viewOf(full), 5).WithOrder(unload, now).WithAccepted("a", 1)
	early := accepted.WithEarlyUnload(unload, now)
	refused := func() stager.View {
		load := early.Plan(now)[0]
		return early.WithOrder(load, now).WithFailed(load, now)
	}
	t.Run("the load follows the accepted unload of an idle model", func(t *testing.T) {
		assertOrders(t, accepted)
		assertOrders(t, early, "load m5 at a from disk")
	})
	t.Run("the unload of a model that runs requests is waited for", func(t *testing.T) {
		v := accepted.WithDemand("other", []buckthorndyke.DemandEntry{{Key: key(1), Running: 1}}, now)
		assertOrders(t, v.WithEarlyUnload(unload, now))
	})
	t.Run("an unload that was not accepted is waited for", func(t *testing.T) {
		assertOrders(t, withWaiting(viewOf(full), 5).WithOrder(unload, now).WithEarlyUnload(unload, now))
	})
	t.Run("the unload is outstanding again once the load was refused", func(t *testing.T) {
		v := refused()
		asserter.Equal(t, len(v.PendingOrders()), 1)
		v = reported(v, full, 1, true, now+250)
		assertOrders(t, v)
		v = reported(v, withCopies(runner("a", 0, 2)), 1, false, now+400)
		asserter.Equal(t, kindsOf(v.Plan(now+400)), []buckthorndyke.OrderKind{buckthorndyke.OrderLoad})
	})
	t.Run("a runner that accepts a load beside the model ends early loads", func(t *testing.T) {
		load := early.Plan(now)[0]
		v := early.WithOrder(load, now).WithAccepted("a", 2)
		v = reported(v, withCopies(runner("a", 0, 2)), 2, true, now+400)
		asserter.True(t, !v.EarlyLoadsRefuted(), "a report of the unload refutes early loads")
		v = reported(early.WithOrder(load, now).WithAccepted("a", 2), full, 2, true, now+400)
		asserter.True(t, v.EarlyLoadsRefuted(), "the report does not refute early loads")
		v = v.WithDone(load, now+500).WithOrder(unload, now+500).WithAccepted("a", 3).WithEarlyUnload(unload, now+500)
		asserter.Equal(t, len(v.PendingOrders()), 1)
	})
}
