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
		withCluster(t, 3, 6, standin.EngineConfig{}, func(c *cluster) {
			owned := make(map[buckthorndyke.VMID]int)
			c.ownership(c.nodes["vm0"])
			for _, o := range c.nodes["vm0"].state.Ownerships.All() {
				owned[o.Owner]++
				asserter.Equal(t, len(o.Successors), 2)
				asserter.Equal(t, o.MemoryMB, memoryMB)
			}
			asserter.Equal(t, owned, map[buckthorndyke.VMID]int{"vm0": 2, "vm1": 2, "vm2": 2})
		})
	})
	t.Run("a new member gets its share without interrupting streams", func(t *testing.T) {
		withCluster(t, 1, 4, standin.EngineConfig{ResponseTokens: 3000}, func(c *cluster) {
			c.grant(c.nodes["vm0"], hall)
			stream, err := c.runners["r0"].Generate(c.ctx, buckthorndyke.Job{ID: "j", Model: hall})
			asserter.NoError(t, err)
			n := c.addNode("vm1", 1, false)
			c.setVMs(c.vms)
			c.wait(10 * buckthorndyke.Second)
			o, counts := c.ownership(n), 0
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
	t.Run("only the owner issues tickets", func(t *testing.T) {
		withCluster(t, 3, 1, standin.EngineConfig{}, func(c *cluster) {
			n := c.currentOwner()
			c.grant(n, hall)
			_, err := c.requestTicket(c.otherNode(n), hall)
			asserter.Refused(t, err, buckthorndyke.CodeNotOwner, buckthorndyke.NotRun)
		})
	})
	t.Run("a take whose reply is lost results in one owner", func(t *testing.T) {
		withCluster(t, 2, 1, standin.EngineConfig{}, func(c *cluster) {
			n := c.currentOwner()
			asserter.NoError(t, c.log.SetFaults(c.ctx, standin.LogFaults{LoseReplies: 2}))
			n.cancel()
			c.suspect(n)
			c.wait(20 * buckthorndyke.Second)
			successor := c.otherNode(n)
			asserter.Equal(t, c.ownership(successor).Owner, successor.self.VM)
			c.grant(successor, hall)
		})
	})
}

func TestTakeovers(t *testing.T) {
	kinds := map[string]standin.EngineConfig{"checks": {ChecksFencingToken: true}, "ignores": {}}
	for name, cfg := range kinds {
		t.Run("after a crash, of a runner that "+name+" fencing tokens", func(t *testing.T) {
			withCluster(t, 3, 1, cfg, func(c *cluster) {
				n := c.currentOwner()
				c.grant(n, hall)
				waiting, err := c.requestTicket(n, gym)
				asserter.NoError(t, err)
				n.cancel()
				_, err = waiting.Next(c.ctx)
				for err == nil {
					_, err = waiting.Next(c.ctx)
				}
				asserter.Refused(t, err, buckthorndyke.CodeNotOwner, buckthorndyke.NotRun)
				successor := c.takeOver(n)
				c.grant(successor, choir)
				c.assertSafe()
			})
		})
		t.Run("after a pause longer than the lease, of a runner that "+name+" fencing tokens", func(t *testing.T) {
			withCluster(t, 3, 1, cfg, func(c *cluster) {
				n := c.currentOwner()
				c.grant(n, hall).Close(buckthorndyke.TicketDone)
				n.pauser.pause()
				_, err := c.requestTicket(n, gym)
				asserter.NoError(t, err)
				c.wait(100)
				successor := c.takeOver(n)
				_, err = c.requestTicket(successor, choir)
				asserter.NoError(t, err)
				c.wait(30 * buckthorndyke.Second)
				n.pauser.resume()
				c.wait(30 * buckthorndyke.Second)
				_, err = c.requestTicket(n, gym)
				asserter.Refused(t, err, buckthorndyke.CodeNotOwner, buckthorndyke.NotRun)
				c.assertLateOrder(gym, cfg.ChecksFencingToken)
				c.assertSafe()
			})
		})
	}
	t.Run("a drain hands over before the lease ends", func(t *testing.T) {
		withCluster(t, 3, 1, standin.EngineConfig{}, func(c *cluster) {
			n := c.currentOwner()
			running := c.grant(n, hall)
			drained := make(chan error, 1)
			go func() { drained <- n.owner.Drain(c.ctx) }()
			c.wait(buckthorndyke.Second)
			_, err := c.requestTicket(n, hall)
			asserter.Refused(t, err, buckthorndyke.CodeDraining, buckthorndyke.NotRun)
			running.Close(buckthorndyke.TicketDone)
			asserter.NoError(t, <-drained)
			before := c.clock.Now()
			c.wait(500)
			successor := c.nodes[c.ownership(n).Owner]
			asserter.True(t, successor != nil && successor != n, "no other node owns the runner")
			c.grant(successor, gym)
			asserter.True(t, c.clock.Now()-before < 9*buckthorndyke.Second, "the new owner waited for the lease")
			c.assertSafe()
		})
	})
	t.Run("a drain ends even if a runner cannot be taken", func(t *testing.T) {
		withCluster(t, 1, 1, standin.EngineConfig{}, func(c *cluster) {
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
	t.Run("a restarted VM gets its runner back", func(t *testing.T) {
		withCluster(t, 1, 1, standin.EngineConfig{ChecksFencingToken: true}, func(c *cluster) {
			c.grant(c.currentOwner(), hall)
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
	t.Run("orders continue with the promises of all successors", func(t *testing.T) {
		withCluster(t, 3, 1, standin.EngineConfig{}, func(c *cluster) {
			n := c.currentOwner()
			asserter.NoError(t, c.log.SetFaults(c.ctx, standin.LogFaults{Down: true}))
			c.wait(buckthorndyke.Minute)
			c.grant(n, hall)
			c.assertSafe()
		})
	})
	t.Run("orders stop at the end of the lease if a successor does not promise", func(t *testing.T) {
		withCluster(t, 3, 1, standin.EngineConfig{}, func(c *cluster) {
			n := c.currentOwner()
			asserter.NoError(t, c.log.SetFaults(c.ctx, standin.LogFaults{Down: true}))
			c.otherNode(n).pauser.pause()
			c.wait(buckthorndyke.Minute)
			orders := len(c.orders())
			_, err := c.requestTicket(n, hall)
			asserter.NoError(t, err)
			c.wait(30 * buckthorndyke.Second)
			asserter.Equal(t, len(c.orders()), orders)
		})
	})
	t.Run("a successor does not take over before its promise ends", func(t *testing.T) {
		withCluster(t, 2, 1, standin.EngineConfig{}, func(c *cluster) {
			n := c.currentOwner()
			successor, o := c.otherNode(n), c.ownership(n)
			c.wait(11 * buckthorndyke.Second)
			promised, err := successor.owner.Promise(c.ctx, buckthorndyke.PromiseRequest{
				Epoch: o.Epoch, For: 8 * buckthorndyke.Second, Owner: o.Owner, Runner: "r0",
			})
			asserter.NoError(t, err)
			asserter.True(t, promised, "no promise was given")
			c.suspect(n)
			c.wait(7 * buckthorndyke.Second)
			asserter.Equal(t, c.ownership(successor).Owner, n.self.VM)
			c.wait(3 * buckthorndyke.Second)
			asserter.Equal(t, c.ownership(successor).Owner, successor.self.VM)
			promised, err = successor.owner.Promise(c.ctx, buckthorndyke.PromiseRequest{
				Epoch: o.Epoch, For: buckthorndyke.Second, Owner: o.Owner, Runner: "r0",
			})
			asserter.NoError(t, err)
			asserter.True(t, !promised, "a promise was given for an old epoch")
		})
	})
}

func TestGoneRunner(t *testing.T) {
	t.Run("the slots are freed and the ownership is released", func(t *testing.T) {
		withCluster(t, 2, 1, standin.EngineConfig{}, func(c *cluster) {
			n := c.currentOwner()
			c.grant(n, hall)
			asserter.NoError(t, c.runners["r0"].SetFaults(c.ctx, standin.EngineFaults{Down: true}))
			c.setVMs(c.vms[1:])
			c.wait(5 * buckthorndyke.Second)
			c.ownership(n)
			for _, model := range []buckthorndyke.ModelID{hall, gym, choir} {
				p, _ := n.state.Placements.Get(model)
				c.propose(n, buckthorndyke.WithdrawChange{Base: p.Version, Model: model, Runner: "r0"})
			}
			c.wait(10 * buckthorndyke.Second)
			asserter.Equal(t, c.ownership(n).Owner, "")
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
		t.Run("the first load of the successor on a runner that "+name+" fencing tokens", func(t *testing.T) {
			withCluster(t, 3, 1, standin.EngineConfig{ChecksFencingToken: limit.checksFence}, func(c *cluster) {
				c.wait(11 * buckthorndyke.Second)
				n, stoppedAt := c.currentOwner(), c.clock.Now()
				n.cancel()
				c.suspect(n)
				for c.ownership(c.otherNode(n)).Owner == n.self.VM {
					c.wait(50)
				}
				taken := c.clock.Now()
				_, err := c.requestTicket(c.nodes[c.ownership(c.otherNode(n)).Owner], hall)
				asserter.NoError(t, err)
				c.wait(15 * buckthorndyke.Second)
				orders := c.orders()
				first := orders[len(orders)-1].At
				t.Logf("runner taken %d ms and first load ordered %d ms after the owner was suspected", taken-stoppedAt, first-stoppedAt)
				asserter.True(t, first-stoppedAt < limit.within, "the first load was ordered too late")
			})
		})
	}
}

// assertLateOrder checks that the late order to load model was refused for its
// fencing token if the runner checks fencing tokens, and accepted otherwise.
func (c *cluster) assertLateOrder(model buckthorndyke.ModelID, checksFence bool) {
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
	c.t.Errorf("the late order did not arrive")
}

// takeOver reports n as suspected and returns the node that takes over r0.
func (c *cluster) takeOver(n *node) *node {
	c.t.Helper()
	c.wait(11 * buckthorndyke.Second)
	c.suspect(n)
	c.wait(3 * buckthorndyke.Second)
	o := c.ownership(c.otherNode(n))
	asserter.True(c.t, o.Owner != n.self.VM && o.Owner != "", "no successor has taken over the runner")
	return c.nodes[o.Owner]
}
