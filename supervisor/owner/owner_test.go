package owner_test

import (
	"context"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/standin"
)

func TestClaims(t *testing.T) {
	t.Run("runners are spread over the members", func(t *testing.T) {
		inCluster(t, 3, 6, standin.EngineConfig{}, func(c *cluster) {
			owned := make(map[buckthorndyke.VMID]int)
			c.owned(c.nodes["vm0"])
			for _, o := range c.nodes["vm0"].state.Ownerships.All() {
				owned[o.Owner]++
				asserter.Equal(t, len(o.Successors), 2)
				asserter.Equal(t, o.MemoryMB, memoryMB)
			}
			asserter.Equal(t, owned, map[buckthorndyke.VMID]int{"vm0": 2, "vm1": 2, "vm2": 2})
		})
	})
	t.Run("a new member gets its part without a cut", func(t *testing.T) {
		inCluster(t, 1, 4, standin.EngineConfig{ResponseTokens: 3000}, func(c *cluster) {
			c.grant(c.nodes["vm0"], hall)
			stream, err := c.runners["r0"].Generate(c.ctx, buckthorndyke.Job{ID: "j", Model: hall})
			asserter.NoError(t, err)
			n := c.addNode("vm1", 1, false)
			c.setVMs(c.vms)
			c.wait(10 * buckthorndyke.Second)
			o, counts := c.owned(n), 0
			for _, owned := range n.state.Ownerships.All() {
				if owned.Owner == "vm1" {
					counts++
				}
			}
			asserter.Equal(t, counts, 2)
			asserter.Equal(t, o.Owner, "vm1")
			c.grant(n, gym)
			_, err = stream.Next(c.ctx)
			asserter.NoError(t, err)
			c.assertSafe()
		})
	})
	t.Run("only the owner hands out tickets", func(t *testing.T) {
		inCluster(t, 3, 1, standin.EngineConfig{}, func(c *cluster) {
			n := c.ownerOf()
			c.grant(n, hall)
			_, err := c.ask(c.other(n), hall)
			asserter.Refused(t, err, buckthorndyke.CodeNotOwner, buckthorndyke.NotRun)
		})
	})
	t.Run("a take whose answer is lost makes one owner", func(t *testing.T) {
		inCluster(t, 2, 1, standin.EngineConfig{}, func(c *cluster) {
			n := c.ownerOf()
			asserter.NoError(t, c.log.SetFaults(c.ctx, standin.LogFaults{LoseReplies: 2}))
			n.cancel()
			c.suspect(n)
			c.wait(20 * buckthorndyke.Second)
			heir := c.other(n)
			asserter.Equal(t, c.owned(heir).Owner, heir.self.VM)
			c.grant(heir, hall)
		})
	})
}

func TestTakeovers(t *testing.T) {
	kinds := map[string]standin.EngineConfig{"checks": {ChecksFencingToken: true}, "ignores": {}}
	for name, cfg := range kinds {
		t.Run("after a death, of a runner that "+name+" fencing numbers", func(t *testing.T) {
			inCluster(t, 3, 1, cfg, func(c *cluster) {
				n := c.ownerOf()
				c.grant(n, hall)
				waiting, err := c.ask(n, gym)
				asserter.NoError(t, err)
				n.cancel()
				_, err = waiting.Next(c.ctx)
				for err == nil {
					_, err = waiting.Next(c.ctx)
				}
				asserter.Refused(t, err, buckthorndyke.CodeNotOwner, buckthorndyke.NotRun)
				heir := c.takeOver(n)
				c.grant(heir, choir)
				c.assertSafe()
			})
		})
		t.Run("after a pause past the lease, of a runner that "+name+" fencing numbers", func(t *testing.T) {
			inCluster(t, 3, 1, cfg, func(c *cluster) {
				n := c.ownerOf()
				c.grant(n, hall).Close(buckthorndyke.TicketDone)
				n.valve.stop()
				_, err := c.ask(n, gym)
				asserter.NoError(t, err)
				c.wait(100)
				heir := c.takeOver(n)
				_, err = c.ask(heir, choir)
				asserter.NoError(t, err)
				c.wait(30 * buckthorndyke.Second)
				n.valve.resume()
				c.wait(30 * buckthorndyke.Second)
				_, err = c.ask(n, gym)
				asserter.Refused(t, err, buckthorndyke.CodeNotOwner, buckthorndyke.NotRun)
				c.assertLate(gym, cfg.ChecksFencingToken)
				c.assertSafe()
			})
		})
	}
	t.Run("a drain hands over without waiting for the lease", func(t *testing.T) {
		inCluster(t, 3, 1, standin.EngineConfig{}, func(c *cluster) {
			n := c.ownerOf()
			running := c.grant(n, hall)
			drained := make(chan error, 1)
			go func() { drained <- n.owner.Drain(c.ctx) }()
			c.wait(buckthorndyke.Second)
			_, err := c.ask(n, hall)
			asserter.Refused(t, err, buckthorndyke.CodeDraining, buckthorndyke.NotRun)
			running.Close(buckthorndyke.TicketDone)
			asserter.NoError(t, <-drained)
			before := c.clock.Now()
			c.wait(500)
			heir := c.nodes[c.owned(n).Owner]
			asserter.True(t, heir != nil && heir != n, "nobody has inherited the runner")
			c.grant(heir, gym)
			asserter.True(t, c.clock.Now()-before < 9*buckthorndyke.Second, "the heir has waited for the lease")
			c.assertSafe()
		})
	})
	t.Run("a drain ends although a runner could not be taken", func(t *testing.T) {
		inCluster(t, 1, 1, standin.EngineConfig{}, func(c *cluster) {
			vm := buckthorndyke.VM{Address: "nowhere", ID: "r9", Role: buckthorndyke.RoleRunner}
			c.setVMs(append(c.vms, vm))
			c.wait(5 * buckthorndyke.Second)
			ctx, cancel := context.WithTimeout(c.ctx, buckthorndyke.Minute.Duration())
			defer cancel()
			n := c.nodes["vm0"]
			c.propose(n, buckthorndyke.LeaveChange{Draining: true, Incarnation: 1, VM: "vm0"})
			asserter.NoError(t, n.owner.Drain(ctx))
		})
	})
	t.Run("a second life of a VM gets its runner back", func(t *testing.T) {
		inCluster(t, 1, 1, standin.EngineConfig{ChecksFencingToken: true}, func(c *cluster) {
			c.grant(c.ownerOf(), hall)
			c.nodes["vm0"].cancel()
			c.wait(100)
			n := c.addNode("vm0", 2, true)
			c.wait(5 * buckthorndyke.Second)
			c.grant(n, gym)
			c.assertSafe()
		})
	})
}

func TestLogDown(t *testing.T) {
	t.Run("with promises of all successors orders go on", func(t *testing.T) {
		inCluster(t, 3, 1, standin.EngineConfig{}, func(c *cluster) {
			n := c.ownerOf()
			asserter.NoError(t, c.log.SetFaults(c.ctx, standin.LogFaults{Down: true}))
			c.wait(buckthorndyke.Minute)
			c.grant(n, hall)
			c.assertSafe()
		})
	})
	t.Run("without them they stop at the end of the lease", func(t *testing.T) {
		inCluster(t, 3, 1, standin.EngineConfig{}, func(c *cluster) {
			n := c.ownerOf()
			asserter.NoError(t, c.log.SetFaults(c.ctx, standin.LogFaults{Down: true}))
			c.other(n).valve.stop()
			c.wait(buckthorndyke.Minute)
			orders := len(c.orders())
			_, err := c.ask(n, hall)
			asserter.NoError(t, err)
			c.wait(30 * buckthorndyke.Second)
			asserter.Equal(t, len(c.orders()), orders)
		})
	})
	t.Run("a successor that has promised does not take over", func(t *testing.T) {
		inCluster(t, 2, 1, standin.EngineConfig{}, func(c *cluster) {
			n := c.ownerOf()
			heir, o := c.other(n), c.owned(n)
			c.wait(11 * buckthorndyke.Second)
			given, err := heir.owner.Promise(c.ctx, buckthorndyke.PromiseRequest{
				Epoch: o.Epoch, For: 8 * buckthorndyke.Second, Owner: o.Owner, Runner: "r0",
			})
			asserter.NoError(t, err)
			asserter.True(t, given, "no promise was given")
			c.suspect(n)
			c.wait(7 * buckthorndyke.Second)
			asserter.Equal(t, c.owned(heir).Owner, n.self.VM)
			c.wait(3 * buckthorndyke.Second)
			asserter.Equal(t, c.owned(heir).Owner, heir.self.VM)
			given, err = heir.owner.Promise(c.ctx, buckthorndyke.PromiseRequest{
				Epoch: o.Epoch, For: buckthorndyke.Second, Owner: o.Owner, Runner: "r0",
			})
			asserter.NoError(t, err)
			asserter.True(t, !given, "a promise was given for an old epoch")
		})
	})
}

func TestGoneRunner(t *testing.T) {
	t.Run("its slots are freed and its ownership is released", func(t *testing.T) {
		inCluster(t, 2, 1, standin.EngineConfig{}, func(c *cluster) {
			n := c.ownerOf()
			c.grant(n, hall)
			asserter.NoError(t, c.runners["r0"].SetFaults(c.ctx, standin.EngineFaults{Down: true}))
			c.setVMs(c.vms[1:])
			c.wait(5 * buckthorndyke.Second)
			c.owned(n)
			for _, model := range []buckthorndyke.ModelID{hall, gym, choir} {
				p, _ := n.state.Placements.Get(model)
				c.propose(n, buckthorndyke.WithdrawChange{Base: p.Version, Model: model, Runner: "r0"})
			}
			c.wait(10 * buckthorndyke.Second)
			asserter.Equal(t, c.owned(n).Owner, "")
			p, _ := n.state.Placements.Get(hall)
			asserter.Equal(t, p.SlotCount(), 0)
		})
	})
}

func TestTakeoverTime(t *testing.T) {
	for name, limit := range map[string]struct {
		checksFence bool
		within      buckthorndyke.Millis
	}{"checks": {true, 3 * buckthorndyke.Second}, "ignores": {false, 13 * buckthorndyke.Second}} {
		t.Run("the successor's first load on a runner that "+name+" fencing numbers", func(t *testing.T) {
			inCluster(t, 3, 1, standin.EngineConfig{ChecksFencingToken: limit.checksFence}, func(c *cluster) {
				c.wait(11 * buckthorndyke.Second)
				n, died := c.ownerOf(), c.clock.Now()
				n.cancel()
				c.suspect(n)
				for c.owned(c.other(n)).Owner == n.self.VM {
					c.wait(50)
				}
				taken := c.clock.Now()
				_, err := c.ask(c.nodes[c.owned(c.other(n)).Owner], hall)
				asserter.NoError(t, err)
				c.wait(15 * buckthorndyke.Second)
				orders := c.orders()
				first := orders[len(orders)-1].At
				t.Logf("taken %d ms and first load ordered %d ms after the suspicion", taken-died, first-died)
				asserter.True(t, first-died < limit.within, "the first load came too late")
			})
		})
	}
}

// assertLate checks that the late load of model was refused by its fencing
// number if the runner checks that, and else carried out once.
func (c *cluster) assertLate(model buckthorndyke.ModelID, checksFence bool) {
	c.t.Helper()
	want := buckthorndyke.OrderRunning
	if checksFence {
		want = buckthorndyke.OrderFenced
	}
	for _, r := range c.orders() {
		if r.Order.Model == model {
			asserter.Equal(c.t, r.State, want)
			return
		}
	}
	c.t.Errorf("the late order has not arrived")
}

// takeOver has n suspected and returns the node that takes r0 over.
func (c *cluster) takeOver(n *node) *node {
	c.t.Helper()
	c.wait(11 * buckthorndyke.Second)
	c.suspect(n)
	c.wait(3 * buckthorndyke.Second)
	o := c.owned(c.other(n))
	asserter.True(c.t, o.Owner != n.self.VM && o.Owner != "", "nobody has taken over")
	return c.nodes[o.Owner]
}
