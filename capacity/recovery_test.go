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
	// recoveryNodes is the number of entry VMs of today.
	recoveryNodes = 8
	// pollInterval is how often the runners' journals are looked at.
	pollInterval = 50 * buckthorndyke.Millisecond
	// recoveryLimit bounds the wait for a successor.
	recoveryLimit = 2 * buckthorndyke.Minute
)

func TestRecoveryTime(t *testing.T) {
	for name, checks := range map[string]bool{"checks fences": true, "ignores fences": false} {
		t.Run("owner's death to the successor's first order, runner "+name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startRecoveryFleet(t, checks)
				runner, owner := ownedRunner(t, f)
				epoch := f.State(survivor(owner)).Ownerships
				before, _ := epoch.Get(runner)
				begun := f.Clock.Now()
				f.Kill(owner)
				took := awaitOrder(t, f, runner, before.Epoch, owner) - begun
				fmt.Printf("owner's death to the successor's first order, runner %s, %d VMs: %d ms\n", name, recoveryNodes, took)
			})
		})
	}
	t.Run("an accepted rule set in force on all VMs", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := startRecoveryFleet(t, true)
			begun := f.Clock.Now()
			f.Apply(rulesFor(64, 1))
			took := f.Clock.Now() - begun
			fmt.Printf("rules in force on %d VMs: %d ms of virtual time (no network delay)\n", recoveryNodes, took)
			asserter.True(t, took <= 6*buckthorndyke.Second, "the rules took longer than 6 s")
		})
	})
}

// awaitOrder keeps asking for a cold model until the runner has an order with a
// later fencing number, and returns when it came.
func awaitOrder(
	t *testing.T, f *tester.Fleet, runner buckthorndyke.RunnerID, after buckthorndyke.Offset, dead int,
) buckthorndyke.Millis {
	t.Helper()
	model := modelOn(t, f, runner, survivor(dead))
	go f.Generate(t.Context(), survivor(dead), tester.UrgentToken, model, "after the death")
	for waited := buckthorndyke.Millis(0); waited < recoveryLimit; waited += pollInterval {
		<-f.Clock.After(pollInterval)
		for _, order := range f.Journals()[runner].Orders {
			if order.Order.FencingToken > after {
				return order.At
			}
		}
	}
	t.Fatal("no successor gave an order")
	return 0
}

// modelOn returns a model that only the given runner may load.
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

func startRecoveryFleet(t *testing.T, checks bool) *tester.Fleet {
	t.Helper()
	f := tester.NewFleet(t, tester.Config{
		Engine: standin.EngineConfig{ChecksFence: checks}, Nodes: recoveryNodes, Runners: recoveryNodes,
	})
	f.Apply(rulesFor(64, 0))
	f.AwaitServing()
	<-f.Clock.After(measureWindow)
	return f
}

// ownedRunner returns a runner and the node that owns it.
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

// survivor returns a node other than the dead one.
func survivor(dead int) int {
	return (dead + 1) % recoveryNodes
}
