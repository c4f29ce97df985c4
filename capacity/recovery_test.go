package capacity_test

import (
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/standin"
	"github.com/buckthorndyke/buckthorndyke/tester"
)

const (
	// recoveryNodes is the present number of entry VMs.
	recoveryNodes = 8
	// pollInterval is the interval at which the runners' journals are polled.
	pollInterval = 50 * buckthorndyke.Millisecond
	// recoveryLimit bounds the wait for a successor's order.
	recoveryLimit = 2 * buckthorndyke.Minute
)

// TestRecoveryTime prints how long a runner has no acting owner after its owner was
// killed, and how long accepted rules take to be in force on all VMs.
func TestRecoveryTime(t *testing.T) {
	for name, checksToken := range map[string]bool{"checks fencing tokens": true, "ignores fencing tokens": false} {
		t.Run("time from the owner's kill to the successor's first order, runner "+name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startRecoveryFleet(t, checksToken)
				runner, owner := ownedRunner(t, f)
				ownerships := f.State(survivor(owner)).Ownerships
				before, _ := ownerships.Get(runner)
				begun := f.Clock.Now()
				f.Kill(owner)
				took := awaitOrder(t, f, runner, before.Epoch, owner) - begun
				fmt.Printf("time from the owner's kill to the successor's first order, runner %s, %d VMs: %d ms\n", name, recoveryNodes, took)
			})
		})
	}
	t.Run("time until accepted rules are in force on all VMs", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := startRecoveryFleet(t, true)
			begun := f.Clock.Now()
			f.ApplyRules(rulesFor(64, 1))
			took := f.Clock.Now() - begun
			fmt.Printf("rules in force on %d VMs: %d ms of virtual time (no network delay)\n", recoveryNodes, took)
			asserter.True(t, took <= 6*buckthorndyke.Second, "the rules were not in force within 6 s")
		})
	})
}

// awaitOrder requests a cold model, waits until the runner receives an order with a
// fencing token above after, and returns the time of that order.
func awaitOrder(
	t *testing.T, f *tester.Fleet, runner buckthorndyke.RunnerID, after buckthorndyke.Offset, killed int,
) buckthorndyke.Millis {
	t.Helper()
	model := modelOn(t, f, runner, survivor(killed))
	go f.Generate(t.Context(), survivor(killed), tester.UrgentToken, model, "after the kill")
	for waited := buckthorndyke.Millis(0); waited < recoveryLimit; waited += pollInterval {
		<-f.Clock.After(pollInterval)
		for _, order := range f.Journals()[runner].Orders {
			if order.Order.FencingToken > after {
				return order.At
			}
		}
	}
	t.Fatal("no successor sent an order")
	return 0
}

// modelOn returns a model that the given runner may load.
func modelOn(t *testing.T, f *tester.Fleet, runner buckthorndyke.RunnerID, node int) buckthorndyke.ModelID {
	t.Helper()
	for id, p := range f.State(node).Placements.All() {
		if p.Permits(runner) {
			return id
		}
	}
	t.Fatal("no model is permitted on the runner")
	return ""
}

func startRecoveryFleet(t *testing.T, checksToken bool) *tester.Fleet {
	t.Helper()
	f := tester.NewFleet(t, tester.Config{
		Engine: standin.EngineConfig{ChecksFencingToken: checksToken}, Nodes: recoveryNodes, Runners: recoveryNodes,
	})
	f.ApplyRules(rulesFor(64, 0))
	f.AwaitServing()
	<-f.Clock.After(measureWindow)
	return f
}

// ownedRunner returns a runner and the index of the node that owns it.
func ownedRunner(t *testing.T, f *tester.Fleet) (runner buckthorndyke.RunnerID, owner int) {
	t.Helper()
	for id, o := range f.State(0).Ownerships.All() {
		for i, n := range f.Nodes {
			if n.Self.VM == o.Owner {
				return id, i
			}
		}
	}
	t.Fatal("no runner has an owner")
	return "", 0
}

// survivor returns the index of a node other than the killed one.
func survivor(killed int) int {
	return (killed + 1) % recoveryNodes
}
