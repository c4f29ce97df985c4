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
	// maxOrderDelay is the maximum time for which an order is in transit.
	maxOrderDelay = 20 * buckthorndyke.Second
	// recoverySeconds is the time after the last fault before the final check.
	recoverySeconds = 120
)

// TestFaults runs random requests, faults, takeovers and changes of placements, and
// checks the invariants after each run.
func TestFaults(t *testing.T) {
	for _, checksFence := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks-fence=%t", checksFence), func(t *testing.T) {
			parameters := gopter.DefaultTestParametersWithSeed(faultSeed)
			parameters.MinSuccessfulTests = faultRuns
			properties := gopter.NewProperties(parameters)
			properties.Property("memory is not overcommitted, no model in use is unloaded, and requests end in time with a verdict", prop.ForAll(
				func(seed uint64) string { return runFaults(t, seed, checksFence, false) }, gen.UInt64().WithShrinker(gopter.NoShrinker),
			))
			properties.TestingRun(t)
		})
	}
}

// TestFaultsWithoutReserve checks that TestFaults detects an owner that reserves no
// memory for an order of the previous owner that may still be in transit.
func TestFaultsWithoutReserve(t *testing.T) {
	for seed := range uint64(faultRuns) {
		if runFaults(t, 2*seed, false, true) != "" {
			return
		}
	}
	t.Error("no run found a fault")
}

// faultTest is one run of TestFaults.
type faultTest struct {
	*fixture
	checksFence bool
	faults      chan string
	jobs        int
	// lastTakeover is the time of the last takeover.
	lastTakeover buckthorndyke.Millis
	random       *rand.Rand
	// skipReserve makes each owner reserve no memory for an order of the previous one.
	skipReserve bool
	statusLag   buckthorndyke.Millis
	// stopSteward stops the current steward.
	stopSteward context.CancelFunc
}

// runFaults runs one test and returns the violated invariant, or "".
func runFaults(t *testing.T, seed uint64, checksFence, skipReserve bool) string {
	var fault string
	synctest.Test(t, func(t *testing.T) {
		cfg := standin.EngineConfig{
			ResponseTokens: 100, ChecksFencingToken: checksFence, MemoryMB: 2*modelMB + 500, Restart: 500, Slots: 3,
			StatusLag: buckthorndyke.Millis(seed%2) * 300,
		}
		f := &faultTest{
			fixture: newFixture(t, cfg), statusLag: cfg.StatusLag, checksFence: checksFence, skipReserve: skipReserve, faults: make(chan string, 1000), random: rand.New(rand.NewPCG(seed, 1)),
		}
		defer f.cancel()
		f.takeOver()
		for range faultSteps {
			f.step()
			f.applyFreedSlots()
			f.wait(buckthorndyke.Millis(f.random.IntN(1000)))
		}
		asserter.NoError(t, f.engine.SetFaults(f.ctx, standin.EngineFaults{}))
		for range recoverySeconds {
			f.wait(buckthorndyke.Second)
			f.applyFreedSlots()
		}
		fault = f.check()
	})
	return fault
}

// applyFreedSlots applies the steward's proposals to free replica slots to the
// state. The model must no longer be loaded.
func (f *faultTest) applyFreedSlots() {
	for len(f.proposer.changes) > 0 {
		change, _ := (<-f.proposer.changes).(buckthorndyke.FreeSlotChange)
		if change.Epoch != f.view.Ownership.Epoch {
			continue
		}
		// After the status lag, the status shows what was loaded when the slot was freed.
		f.wait(f.statusLag)
		// An engine that restarts after a crash has nothing loaded.
		status, _ := f.engine.Status(f.ctx)
		for _, r := range status.Residents {
			f.expect(r.Model != change.Model, fmt.Sprintf("the slot of %s was freed too early", r.Model))
		}
		f.update(func(v *steward.View) {
			p, _ := v.State.Placements.Get(change.Model)
			v.State = v.State.WithPlacement(p.WithoutSlot(runner))
		})
	}
}

// check returns the invariant that is violated at the end of a run, or "".
func (f *faultTest) check() string {
	j, err := f.engine.Journal(f.ctx)
	if err != nil {
		return err.Error()
	}
	select {
	case fault := <-f.faults:
		return fault
	default:
	}
	if j.Overcommitted {
		return "memory was overcommitted"
	}
	// On a runner that ignores fencing tokens, an order of a stopped owner that was
	// still in transit can unload a model whose requests have started since.
	if j.UnloadAbortedJobs > 0 && f.checksFence {
		return "a model was unloaded while a job used it"
	}
	for _, model := range f.residents() {
		if p, _ := f.view.State.PlacementOf(model); !p.Permits(runner) {
			return fmt.Sprintf("model %s is loaded but not permitted", model)
		}
	}
	return ""
}

// expect records fault unless ok is set.
func (f *faultTest) expect(ok bool, fault string) {
	if !ok && f.ctx.Err() == nil {
		f.faults <- fault
	}
}

// permit adds a replica slot for model if it has none.
func (f *faultTest) permit(model buckthorndyke.ModelID) {
	p, _ := f.view.State.Placements.Get(model)
	if p.SlotCount() > 0 {
		return
	}
	f.update(func(v *steward.View) {
		v.State = v.State.WithPlacement(p.WithSlot(buckthorndyke.ReplicaSlot{Runner: runner}))
	})
}

// request requests a ticket and, once it is granted, runs a job with it.
func (f *faultTest) request(model buckthorndyke.ModelID, rank buckthorndyke.Rank) {
	f.jobs++
	request := buckthorndyke.RequestID(fmt.Sprintf("q%d", f.jobs))
	deadline := buckthorndyke.Millis(500 + f.random.IntN(20_000))
	owner := f.steward
	go func() {
		due := f.clock.Now() + deadline
		ticket, err := owner.Ticket(f.ctx, buckthorndyke.TicketRequest{
			Caller: "clerk", Deadline: deadline, Model: model, Rank: rank, Request: request, Runner: runner,
		})
		if err != nil {
			f.expect(buckthorndyke.VerdictOf(err) == buckthorndyke.NotRun, "a ticket was refused with another verdict than NotRun")
			return
		}
		for {
			event, err := ticket.Next(f.ctx)
			if f.ctx.Err() != nil {
				return
			}
			if err != nil {
				f.expect(f.clock.Now() <= due, "a waiting request was refused after its deadline")
				f.expect(buckthorndyke.VerdictOf(err) == buckthorndyke.NotRun, "a waiting request was refused with another verdict than NotRun")
				return
			}
			if event.Kind == buckthorndyke.TicketGranted {
				f.expect(f.clock.Now() <= due, "a request was served after its deadline")
				ticket.Close(f.run(ticket, buckthorndyke.JobIDOf(request, "1"), model))
				return
			}
		}
	}()
}

// run runs a job until it ends or its ticket is revoked.
func (f *faultTest) run(ticket buckthorndyke.Ticket, id buckthorndyke.JobID, model buckthorndyke.ModelID) buckthorndyke.TicketOutcome {
	stream, err := f.engine.Generate(f.ctx, buckthorndyke.Job{ID: id, MaxTokens: 100, Model: model, Request: "q"})
	if err != nil {
		return buckthorndyke.TicketCrashed
	}
	ctx, cancel := context.WithCancel(f.ctx)
	defer cancel()
	go func() {
		if event, err := ticket.Next(ctx); err == nil && event.Kind == buckthorndyke.TicketRevoked {
			_ = f.engine.Cancel(ctx, id)
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
			// Gives the engine time to end the job before its ticket is closed.
			<-f.clock.After(1)
			return buckthorndyke.TicketDone
		}
	}
}

// step does one random action.
func (f *faultTest) step() {
	models := []buckthorndyke.ModelID{choir, gym, hall, organ}
	model := models[f.random.IntN(len(models))]
	switch n := f.random.IntN(100); {
	case n < 70:
		f.request(model, buckthorndyke.Rank(f.random.IntN(buckthorndyke.RankCount)))
	case n < 76:
		_ = f.engine.SetFaults(f.ctx, standin.EngineFaults{LoseOrderReplies: 1 + f.random.IntN(3)})
	case n < 80:
		_ = f.engine.SetFaults(f.ctx, standin.EngineFaults{
			OrderDelay: buckthorndyke.Millis(f.random.IntN(int(maxOrderDelay))), LoadTimeFactor: 1 + f.random.IntN(4),
		})
	case n < 84:
		_ = f.engine.SetFaults(f.ctx, standin.EngineFaults{})
	case n < 86:
		_ = f.engine.Crash(f.ctx)
	case n < 89:
		f.takeOver()
	case n < 95 && model != organ:
		f.update(func(v *steward.View) { *v = withdraw(*v, model) })
	case model != organ:
		f.permit(model)
	}
}

// takeOver stops the steward and starts that of the next owner.
func (f *faultTest) takeOver() {
	if !f.checksFence && f.clock.Now() < f.lastTakeover+maxOrderDelay {
		// At most one order of a previous owner may be outstanding.
		return
	}
	f.lastTakeover = f.clock.Now()
	if f.stopSteward != nil {
		f.stopSteward()
		f.wait(0)
	}
	f.view.Ownership.Epoch++
	f.view.Ownership.PreviousOwner = "dead"
	f.view.PreviousGone = f.skipReserve
	ctx := f.ctx
	f.ctx, f.stopSteward = context.WithCancel(ctx)
	f.start(f.view, steward.WithLease(2*buckthorndyke.Second))
	f.ctx = ctx
}
