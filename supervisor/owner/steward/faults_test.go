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
	maxOrderDelay = 20 * buckthorndyke.Second
	// faultSettle is the time after the last fault, in seconds.
	recoverySeconds = 120
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
				func(seed uint64) string { return runFaults(t, seed, checksFence, false) }, gen.UInt64().WithShrinker(gopter.NoShrinker),
			))
			properties.TestingRun(t)
		})
	}
}

// TestFaultsOfCarelessOwner shows that TestFaults finds an owner that takes over
// at once from one whose order may still be on its way.
func TestFaultsOfCarelessOwner(t *testing.T) {
	for seed := range uint64(faultRuns) {
		if runFaults(t, 2*seed, false, true) != "" {
			return
		}
	}
	t.Error("no run found a fault")
}

// chaos is one run of TestFaults.
type faultTest struct {
	*fixture
	checksFence bool
	faults      chan string
	jobs        int
	// replaced is the instant of the last takeover.
	lastTakeover buckthorndyke.Millis
	random       *rand.Rand
	// careless makes the next owner reserve nothing for the last one's order.
	skipReserve bool
	statusLag   buckthorndyke.Millis
	// stop ends the current steward.
	stopSteward context.CancelFunc
}

// faultRun returns what did not hold, or "".
func runFaults(t *testing.T, seed uint64, checksFence, skipReserve bool) string {
	var fault string
	synctest.Test(t, func(t *testing.T) {
		cfg := standin.EngineConfig{
			AnswerTokens: 100, ChecksFence: checksFence, MemoryMB: 2*modelMB + 500, Restart: 500, Slots: 3,
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

// free takes the steward's proposals to free slots over into the state. The
// engine must not hold the model any more.
func (f *faultTest) applyFreedSlots() {
	for len(f.proposer.changes) > 0 {
		change, _ := (<-f.proposer.changes).(buckthorndyke.FreeSlotChange)
		if change.Epoch != f.view.Ownership.Epoch {
			continue
		}
		// A report that does not lag shows at once what the engine holds.
		f.wait(f.statusLag)
		// An engine that is down after a crash holds nothing.
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

// check returns what does not hold at the end of a run.
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
	// On a runner that ignores fencing numbers a dead owner's order that was still
	// on its way can evict a model whose work started since.
	if j.UnloadedUnderJobs > 0 && f.checksFence {
		return "a model was evicted under a job"
	}
	for _, model := range f.residents() {
		if p, _ := f.view.State.PlacementOf(model); !p.Permits(runner) {
			return fmt.Sprintf("%s is loaded and not permitted", model)
		}
	}
	return ""
}

// expect notes a fault unless ok.
func (f *faultTest) expect(ok bool, fault string) {
	if !ok && f.ctx.Err() == nil {
		f.faults <- fault
	}
}

// permit permits model again once its slot was freed.
func (f *faultTest) permit(model buckthorndyke.ModelID) {
	p, _ := f.view.State.Placements.Get(model)
	if p.SlotCount() > 0 {
		return
	}
	f.update(func(v *steward.View) {
		v.State = v.State.WithPlacement(p.WithSlot(buckthorndyke.ReplicaSlot{Runner: runner}))
	})
}

// request asks for a ticket and, once that is granted, runs a job under it.
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
			f.expect(buckthorndyke.VerdictOf(err) == buckthorndyke.NotRun, "a ticket was refused without a verdict")
			return
		}
		for {
			event, err := ticket.Next(f.ctx)
			if f.ctx.Err() != nil {
				return
			}
			if err != nil {
				f.expect(f.clock.Now() <= due, "a waiting request was refused after its deadline")
				f.expect(buckthorndyke.VerdictOf(err) == buckthorndyke.NotRun, "a waiting request was not refused as not run")
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
			// The engine has forgotten the job before its ticket is closed.
			<-f.clock.After(1)
			return buckthorndyke.TicketDone
		}
	}
}

// act does one thing at random.
func (f *faultTest) step() {
	models := []buckthorndyke.ModelID{choir, gym, hall, organ}
	model := models[f.random.IntN(len(models))]
	switch n := f.random.IntN(100); {
	case n < 70:
		f.request(model, buckthorndyke.Rank(f.random.IntN(buckthorndyke.RankCount)))
	case n < 76:
		_ = f.engine.SetFaults(f.ctx, standin.EngineFaults{LoseOrderAnswers: 1 + f.random.IntN(3)})
	case n < 80:
		_ = f.engine.SetFaults(f.ctx, standin.EngineFaults{
			OrderDelay: buckthorndyke.Millis(f.random.IntN(int(maxOrderDelay))), SlowLoads: 1 + f.random.IntN(4),
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

// replace kills the steward and lets the next owner's take over.
func (f *faultTest) takeOver() {
	if !f.checksFence && f.clock.Now() < f.lastTakeover+maxOrderDelay {
		// Only one previous owner's order can be outstanding.
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
