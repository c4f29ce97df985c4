package prober_test

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/standin"
	"github.com/buckthorndyke/buckthorndyke/supervisor/prober"
)

const (
	// detectionTime is the time within which peers must suspect a VM that has died.
	detectionTime = 7 * buckthorndyke.Second
	// slowFactor lengthens the probe interval in tests that cover a long time.
	slowFactor = 10
)

func TestMembership(t *testing.T) {
	t.Run("all VMs join and are ready", func(t *testing.T) {
		withFleet(t, 6, func(f *fleet) {
			f.start()
			for _, n := range f.nodes {
				asserter.NoError(t, n.prober.Ready(f.ctx))
			}
			assertSuspects(t, f.nodes[0])
		})
	})
	t.Run("a VM that starts while the log is down is not ready, and joins later", func(t *testing.T) {
		withFleet(t, 3, func(f *fleet) {
			f.setLogFaults(standin.LogFaults{Down: true})
			f.start()
			asserter.Refused(t, f.nodes[0].prober.Ready(f.ctx), buckthorndyke.CodeNotReady, buckthorndyke.NotRun)
			f.setLogFaults(standin.LogFaults{})
			f.wait(10 * buckthorndyke.Second)
			asserter.NoError(t, f.nodes[0].prober.Ready(f.ctx))
		})
	})
	t.Run("a VM that leaves is removed and does not join again", func(t *testing.T) {
		withFleet(t, 4, func(f *fleet) {
			f.start()
			asserter.NoError(t, f.nodes[1].prober.Drain(f.ctx))
			f.wait(2 * buckthorndyke.Second)
			asserter.Refused(t, f.nodes[1].prober.Ready(f.ctx), buckthorndyke.CodeDraining, buckthorndyke.NotRun)
			m, _ := f.state(0).Members.Get("v1")
			asserter.Equal(t, m.Leaving, true)
			asserter.NoError(t, f.nodes[1].prober.Leave(f.ctx))
			f.wait(5 * buckthorndyke.Second)
			asserter.Equal(t, f.state(0).Members.Has("v1"), false)
		})
	})
	t.Run("a dead VM that is missing from the VM list is removed, a live one is not", func(t *testing.T) {
		withFleet(t, 6, func(f *fleet) {
			f.start()
			f.setListed("v0", "v1", "v2", "v3")
			f.nodes[5].stop()
			f.wait(buckthorndyke.Minute)
			asserter.Equal(t, f.state(0).Members.Has("v5"), false)
			asserter.Equal(t, f.state(0).Members.Has("v4"), true)
		})
	})
	t.Run("a VM that is disconnected and removed does not keep joining", func(t *testing.T) {
		withFleet(t, 6, func(f *fleet) {
			f.start()
			f.setListed("v0", "v1", "v2", "v3", "v4")
			f.nodes[5].disconnect(f.nodes...)
			f.wait(buckthorndyke.Hour / 4)
			asserter.True(t, f.state(0).Offset < 40, "the control stream has 40 records or more")
		})
	})
	t.Run("a VM that the platform reclaims reports it", func(t *testing.T) {
		withFleet(t, 3, func(f *fleet) {
			f.start()
			f.setList(buckthorndyke.VM{ID: "v0"}, buckthorndyke.VM{ID: "v1", Leaving: true}, buckthorndyke.VM{ID: "v2"})
			f.wait(8 * buckthorndyke.Second)
			asserter.Equal(t, f.nodes[1].liveness().Reclaimed, true)
			asserter.Equal(t, f.nodes[0].liveness().Reclaimed, false)
		})
	})
}

func TestSuspicion(t *testing.T) {
	t.Run("a dead VM is suspected by its probers and by successors for its runners", func(t *testing.T) {
		withFleet(t, 24, func(f *fleet) {
			f.start()
			successor := f.nonNeighbor(3)
			f.setOwner("v3", successor.self.VM)
			f.nodes[3].stop()
			f.wait(detectionTime)
			assertSuspects(t, successor, "v3")
			assertSuspects(t, f.proberOf(3), "v3")
		})
	})
	t.Run("a VM that replies again is no longer suspected", func(t *testing.T) {
		withFleet(t, 6, func(f *fleet) {
			f.start()
			f.nodes[2].disconnect(f.nodes...)
			f.wait(detectionTime)
			assertSuspects(t, f.proberOf(2), "v2")
			f.reconnect()
			f.wait(2 * detectionTime)
			for _, n := range f.nodes {
				assertSuspects(t, n)
			}
			asserter.Equal(t, f.state(0).Members.Has("v2"), true)
		})
	})
	t.Run("replies of an earlier incarnation do not count for a later one", func(t *testing.T) {
		withFleet(t, 6, func(f *fleet) {
			f.start()
			f.rejoin(2)
			f.wait(detectionTime)
			assertSuspects(t, f.proberOf(2), "v2")
			asserter.Refused(t, f.nodes[2].prober.Ready(f.ctx), buckthorndyke.CodeNotReady, buckthorndyke.NotRun)
		})
	})
	t.Run("one broken link does not make a VM a suspect", func(t *testing.T) {
		withFleet(t, 6, func(f *fleet) {
			f.start()
			f.nodes[2].disconnect(f.proberOf(2))
			f.wait(buckthorndyke.Minute)
			for _, n := range f.nodes {
				assertSuspects(t, n)
			}
		})
	})
	t.Run("both sides of a network partition suspect the other until it ends", func(t *testing.T) {
		withFleet(t, 6, func(f *fleet) {
			f.start()
			f.partition(f.nodes[:3], f.nodes[3:])
			f.wait(buckthorndyke.Hour)
			asserter.True(t, f.countSuspected(f.nodes[:3]) == 0, "a VM of the first group is suspected within the group")
			asserter.True(t, f.countSuspected(f.nodes[3:]) == 0, "a VM of the second group is suspected within the group")
			asserter.True(t, f.nodes[0].liveness().Suspects.Len() > 0, "the first group suspects no VM of the second")
			f.reconnect()
			f.wait(2 * detectionTime * slowFactor)
			for _, n := range f.nodes {
				assertSuspects(t, n)
			}
			asserter.Equal(t, f.state(0).Members.Len(), 6)
		}, prober.WithInterval(slowFactor*buckthorndyke.Second, slowFactor*800))
	})
	t.Run("a failure domain that is disconnected is suspected by the others", func(t *testing.T) {
		withFleet(t, 9, func(f *fleet) {
			f.start()
			near, far := f.inDomain("d0"), f.outsideDomain("d0")
			f.partition(near, far)
			f.wait(2 * detectionTime)
			for _, n := range near {
				asserter.True(t, f.anySuspects(far, n), "no VM outside the failure domain suspects "+string(n.self.VM))
			}
		})
	})
	t.Run("the only VM left needs more time to suspect the others", func(t *testing.T) {
		withFleet(t, 3, func(f *fleet) {
			f.start()
			f.nodes[0].stop()
			f.nodes[1].stop()
			f.wait(detectionTime)
			assertSuspects(t, f.nodes[2])
			f.wait(20 * buckthorndyke.Second)
			assertSuspects(t, f.nodes[2], "v0", "v1")
		})
	})
}

func TestReadiness(t *testing.T) {
	t.Run("a VM out of contact with the log and all peers is not ready after the limit", func(t *testing.T) {
		withFleet(t, 4, func(f *fleet) {
			f.start()
			f.setLogFaults(standin.LogFaults{Down: true})
			f.nodes[0].disconnect(f.nodes...)
			f.wait(20 * buckthorndyke.Second)
			asserter.NoError(t, f.nodes[0].prober.Ready(f.ctx))
			f.wait(20 * buckthorndyke.Second)
			asserter.Refused(t, f.nodes[0].prober.Ready(f.ctx), buckthorndyke.CodeStale, buckthorndyke.NotRun)
			asserter.NoError(t, f.nodes[1].prober.Ready(f.ctx))
		})
	})
	t.Run("the rules versions show which VMs have the newest rules", func(t *testing.T) {
		withFleet(t, 4, func(f *fleet) {
			f.start()
			f.applyRules("model m memory-mb=1 replicas=1 # asked for by A\n")
			f.nodes[3].disconnect(f.nodes...)
			f.wait(3 * buckthorndyke.Second)
			versions := f.nodes[0].prober.RulesVersions(f.ctx)
			for _, vm := range []buckthorndyke.VMID{"v0", "v2"} {
				got, _ := versions.Get(vm)
				asserter.NoError(t, got.Err)
				asserter.Equal(t, got.Version, f.state(0).RulesVersion)
			}
			lacking, _ := versions.Get("v3")
			asserter.Error(t, lacking.Err)
		})
	})
}

func assertSuspects(t *testing.T, n *node, want ...buckthorndyke.VMID) {
	t.Helper()
	got := []buckthorndyke.VMID{}
	for vm := range n.liveness().Suspects.All() {
		got = append(got, vm)
	}
	asserter.Equal(t, got, append([]buckthorndyke.VMID{}, want...))
}
