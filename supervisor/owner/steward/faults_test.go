package steward_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/standin"
	"github.com/buckthorndyke/buckthorndyke/supervisor/owner/steward"
)

const (
	faultRuns  = 20
	faultSeed  = 20261204
	faultSteps = 150
	// maxDelay bounds how long an order is on its way.
	maxDelay = 20 * buckthorndyke.Second
	// faultSettle is the time after the last fault, in seconds.
	faultSettle = 120
)

// TestFaults runs random requests, faults, takeovers and moves of permissions
// and checks after each run what must always hold.
func TestFaults(t *testing.T) {
	for _, checksFence := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks-fence=%t", checksFence), func(t *testing.T) {
			parameters := gopter.DefaultTestParametersWithSeed(faultSeed)
			parameters.MinSuccessfulTests = faultRuns
			properties := gopter.NewProperties(parameters)
			properties.Property("nothing is overcommitted, dropped, late or undecided", prop.ForAll(
				func(seed uint64) string { return faultRun(t, seed, checksFence, false) }, gen.UInt64().WithShrinker(gopter.NoShrinker),
			))
			properties.TestingRun(t)
		})
	}
}

// TestFaultsOfCarelessOwner shows that TestFaults finds an owner that takes over
// at once from one whose order may still be on its way.
func TestFaultsOfCarelessOwner(t *testing.T) {
	for seed := range uint64(faultRuns) {
		if faultRun(t, 2*seed, false, true) != "" {
			return
		}
	}
	t.Error("no run found a fault")
}

// chaos is one run of TestFaults.
type chaos struct {
	*site
	// careless makes the next owner reserve nothing for the last one's order.
	careless    bool
	checksFence bool
	faults      chan string
	jobs        int
	lag         buckthorndyke.Millis
	random      *rand.Rand
	// replaced is the instant of the last takeover.
	replaced buckthorndyke.Millis
	// stop ends the current steward.
	stop context.CancelFunc
}

// faultRun returns what did not hold, or "".
func faultRun(t *testing.T, seed uint64, checksFence, careless bool) string {
	var fault string
	synctest.Test(t, func(t *testing.T) {
		cfg := standin.EngineConfig{
			ResponseTokens: 100, ChecksFencingToken: checksFence, MemoryMB: 2*fit + 500, Restart: 500, Slots: 3,
			StatusLag: buckthorndyke.Millis(seed%2) * 300,
		}
		c := &chaos{
			site: newSite(t, cfg), lag: cfg.StatusLag, checksFence: checksFence, careless: careless, faults: make(chan string, 1000), random: rand.New(rand.NewPCG(seed, 1)),
		}
		defer c.cancel()
		c.replace()
		for range faultSteps {
			c.act()
			c.free()
			c.wait(buckthorndyke.Millis(c.random.IntN(1000)))
		}
		asserter.NoError(t, c.engine.SetFaults(c.ctx, standin.EngineFaults{}))
		for range faultSettle {
			c.wait(buckthorndyke.Second)
			c.free()
		}
		fault = c.check()
	})
	return fault
}

// act does one thing at random.
func (c *chaos) act() {
	models := []buckthorndyke.ModelID{choir, gym, hall, organ}
	model := models[c.random.IntN(len(models))]
	switch n := c.random.IntN(100); {
	case n < 70:
		c.request(model, buckthorndyke.Rank(c.random.IntN(buckthorndyke.RankCount)))
	case n < 76:
		_ = c.engine.SetFaults(c.ctx, standin.EngineFaults{LoseOrderReplies: 1 + c.random.IntN(3)})
	case n < 80:
		_ = c.engine.SetFaults(c.ctx, standin.EngineFaults{
			OrderDelay: buckthorndyke.Millis(c.random.IntN(int(maxDelay))), LoadTimeFactor: 1 + c.random.IntN(4),
		})
	case n < 84:
		_ = c.engine.SetFaults(c.ctx, standin.EngineFaults{})
	case n < 86:
		_ = c.engine.Crash(c.ctx)
	case n < 89:
		c.replace()
	case n < 95 && model != organ:
		c.update(func(v *steward.View) { *v = withdraw(*v, model) })
	case model != organ:
		c.permit(model)
	}
}

// check returns what does not hold at the end of a run.
func (c *chaos) check() string {
	j, err := c.engine.Journal(c.ctx)
	if err != nil {
		return err.Error()
	}
	select {
	case fault := <-c.faults:
		return fault
	default:
	}
	if j.Overcommitted {
		return "memory was overcommitted"
	}
	// On a runner that ignores fencing numbers a dead owner's order that was still
	// on its way can evict a model whose work started since.
	if j.JobsAbortedByUnload > 0 && c.checksFence {
		return "a model was evicted under a job"
	}
	for _, model := range c.residents() {
		if p, _ := c.view.State.PlacementOf(model); !p.Permits(runner) {
			return fmt.Sprintf("%s is loaded and not permitted", model)
		}
	}
	return ""
}

// free takes the steward's proposals to free slots over into the state. The
// engine must not hold the model any more.
func (c *chaos) free() {
	for len(c.proposer.changes) > 0 {
		change, _ := (<-c.proposer.changes).(buckthorndyke.FreeSlotChange)
		if change.Epoch != c.view.Ownership.Epoch {
			continue
		}
		// A report that does not lag shows at once what the engine holds.
		c.wait(c.lag)
		// An engine that is down after a crash holds nothing.
		status, _ := c.engine.Status(c.ctx)
		for _, r := range status.Residents {
			c.expect(r.Model != change.Model, fmt.Sprintf("the slot of %s was freed too early", r.Model))
		}
		c.update(func(v *steward.View) {
			p, _ := v.State.Placements.Get(change.Model)
			v.State = v.State.WithPlacement(p.WithoutSlot(runner))
		})
	}
}

// permit permits model again once its slot was freed.
func (c *chaos) permit(model buckthorndyke.ModelID) {
	p, _ := c.view.State.Placements.Get(model)
	if p.SlotCount() > 0 {
		return
	}
	c.update(func(v *steward.View) {
		v.State = v.State.WithPlacement(p.WithSlot(buckthorndyke.ReplicaSlot{Runner: runner}))
	})
}

// replace kills the steward and lets the next owner's take over.
func (c *chaos) replace() {
	if !c.checksFence && c.clock.Now() < c.replaced+maxDelay {
		// Only one previous owner's order can be outstanding.
		return
	}
	c.replaced = c.clock.Now()
	if c.stop != nil {
		c.stop()
		c.wait(0)
	}
	c.view.Ownership.Epoch++
	c.view.Ownership.PreviousOwner = "dead"
	c.view.PreviousGone = c.careless
	ctx := c.ctx
	c.ctx, c.stop = context.WithCancel(ctx)
	c.start(c.view, steward.WithLease(2*buckthorndyke.Second))
	c.ctx = ctx
}

// request asks for a ticket and, once that is granted, runs a job under it.
func (c *chaos) request(model buckthorndyke.ModelID, rank buckthorndyke.Rank) {
	c.jobs++
	request := buckthorndyke.RequestID(fmt.Sprintf("q%d", c.jobs))
	deadline := buckthorndyke.Millis(500 + c.random.IntN(20_000))
	owner := c.steward
	go func() {
		due := c.clock.Now() + deadline
		ticket, err := owner.Ticket(c.ctx, buckthorndyke.TicketRequest{
			Caller: "clerk", Deadline: deadline, Model: model, Rank: rank, Request: request, Runner: runner,
		})
		if err != nil {
			c.expect(buckthorndyke.VerdictOf(err) == buckthorndyke.NotRun, "a ticket was refused without a verdict")
			return
		}
		for {
			event, err := ticket.Next(c.ctx)
			if c.ctx.Err() != nil {
				return
			}
			if err != nil {
				c.expect(c.clock.Now() <= due, "a waiting request was refused after its deadline")
				c.expect(buckthorndyke.VerdictOf(err) == buckthorndyke.NotRun, "a waiting request was not refused as not run")
				return
			}
			if event.Kind == buckthorndyke.TicketGranted {
				c.expect(c.clock.Now() <= due, "a request was served after its deadline")
				ticket.Close(c.run(ticket, buckthorndyke.JobIDOf(request, "1"), model))
				return
			}
		}
	}()
}

// run runs a job until it ends or its ticket is revoked.
func (c *chaos) run(ticket buckthorndyke.Ticket, id buckthorndyke.JobID, model buckthorndyke.ModelID) buckthorndyke.TicketOutcome {
	stream, err := c.engine.Generate(c.ctx, buckthorndyke.Job{ID: id, MaxTokens: 100, Model: model, Request: "q"})
	if err != nil {
		return buckthorndyke.TicketCrashed
	}
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	go func() {
		if event, err := ticket.Next(ctx); err == nil && event.Kind == buckthorndyke.TicketRevoked {
			_ = c.engine.Cancel(ctx, id)
			cancel()
		}
	}()
	for {
		token, err := stream.Next(ctx)
		switch {
		case err != nil && ctx.Err() == nil:
			return buckthorndyke.TicketCrashed
		case err != nil || token.Last:
			_ = stream.Close()
			// The engine has forgotten the job before its ticket is closed.
			<-c.clock.After(1)
			return buckthorndyke.TicketDone
		}
	}
}

// expect notes a fault unless ok.
func (c *chaos) expect(ok bool, fault string) {
	if !ok && c.ctx.Err() == nil {
		c.faults <- fault
	}
}
