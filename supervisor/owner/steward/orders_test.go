package steward_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/standin"
	"github.com/buckthorndyke/buckthorndyke/supervisor/owner/steward"
)

func TestOrders(t *testing.T) {
	const ordinary = buckthorndyke.RankOrdinary
	t.Run("the outcome of an order whose reply is lost is read from the status", func(t *testing.T) {
		withFixture(t, standin.EngineConfig{}, func(f *fixture) {
			asserter.NoError(t, f.engine.SetFaults(f.ctx, standin.EngineFaults{LoseOrderReplies: 1}))
			f.grant(hall, ordinary)
			f.grant(gym, ordinary)
			j := f.assertSafe()
			asserter.Equal(t, j.Loads[hall], 1)
			asserter.Equal(t, len(j.Orders), 2)
		})
	})
	t.Run("the memory of an order stays reserved while it is in transit", func(t *testing.T) {
		withFixture(t, standin.EngineConfig{MemoryMB: modelMB + modelMB/2}, func(f *fixture) {
			asserter.NoError(t, f.engine.SetFaults(f.ctx, standin.EngineFaults{OrderDelay: 40 * buckthorndyke.Second}))
			f.requestTicket(hall, ordinary)
			f.wait(buckthorndyke.Second)
			asserter.NoError(t, f.engine.SetFaults(f.ctx, standin.EngineFaults{}))
			ticket := f.requestTicket(gym, ordinary)
			f.wait(45 * buckthorndyke.Second)
			ticket.Close(buckthorndyke.TicketDone)
			j := f.assertSafe()
			asserter.Equal(t, j.Loads[hall], 1)
			asserter.Equal(t, j.Loads[gym], 0)
		})
	})
	t.Run("a runner that ignores fencing tokens gets no order after the lease", func(t *testing.T) {
		withFixture(t, standin.EngineConfig{}, func(f *fixture) {
			f.grant(hall, ordinary)
			f.update(func(v *steward.View) { v.LeaseEnd = f.clock.Now() })
			cold := f.requestTicket(gym, ordinary)
			f.grant(hall, ordinary)
			f.wait(30 * buckthorndyke.Second)
			f.assertNoEvent(cold)
			asserter.Equal(t, f.assertSafe().Loads[gym], 0)
			f.update(func(v *steward.View) { v.LeaseEnd = f.clock.Now() + buckthorndyke.Minute })
			f.assertEvent(cold, buckthorndyke.TicketGranted)
		})
	})
	t.Run("a fenced steward issues no more orders and refuses waiting requests", func(t *testing.T) {
		withFixture(t, standin.EngineConfig{ChecksFencingToken: true}, func(f *fixture) {
			f.grant(hall, ordinary)
			f.order(buckthorndyke.Order{FencingToken: 8, ID: "newer", Kind: buckthorndyke.OrderFence})
			f.assertRefused(f.requestTicket(gym, ordinary), buckthorndyke.CodeNotOwner, buckthorndyke.NotRun)
			_, err := f.tryTicket(f.ctx, hall, ordinary, buckthorndyke.Minute)
			asserter.Refused(t, err, buckthorndyke.CodeNotOwner, buckthorndyke.NotRun)
			asserter.Equal(t, f.assertSafe().Loads[gym], 0)
		})
	})
	t.Run("after a crash the model of a waiting request is loaded again", func(t *testing.T) {
		withFixture(t, standin.EngineConfig{Restart: 100, Slots: 1}, func(f *fixture) {
			running, waiting := f.grant(hall, ordinary), f.requestTicket(hall, ordinary)
			asserter.NoError(t, f.engine.Crash(f.ctx))
			running.Close(buckthorndyke.TicketCrashed)
			f.assertEvent(waiting, buckthorndyke.TicketGranted)
			asserter.Equal(t, f.assertSafe().Loads[hall], 2)
		})
	})
	t.Run("a status requested in the millisecond of a crash grants nothing", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, standin.EngineConfig{Restart: 100, Slots: 1})
			defer f.cancel()
			engine := &delayedStatusEngine{MemoryEngine: f.engine, enabled: make(chan struct{}), held: make(chan chan struct{})}
			f.steward = steward.New(f.view, engine, f.gate, f.proposer, f.clock)
			standin.Start(f.ctx, f.steward)
			f.wait(3 * buckthorndyke.Second)
			running, waiting := f.grant(hall, ordinary), f.requestTicket(hall, ordinary)
			close(engine.enabled)
			release := <-engine.held
			asserter.NoError(t, f.engine.Crash(f.ctx))
			running.Close(buckthorndyke.TicketCrashed)
			synctest.Wait()
			close(release)
			f.assertEvent(waiting, buckthorndyke.TicketGranted)
			asserter.Equal(t, f.assertSafe().Loads[hall], 2)
		})
	})
	t.Run("a crash that only the status shows ends running requests", func(t *testing.T) {
		withFixture(t, standin.EngineConfig{Restart: 100}, func(f *fixture) {
			running := f.grant(hall, ordinary)
			asserter.NoError(t, f.engine.Crash(f.ctx))
			f.assertRefused(running, buckthorndyke.CodeEngineFailed, buckthorndyke.MayHaveRun)
		})
	})
	t.Run("a runner that does not respond accepts no requests", func(t *testing.T) {
		withFixture(t, standin.EngineConfig{}, func(f *fixture) {
			waiting := f.requestTicket(hall, ordinary)
			asserter.NoError(t, f.engine.SetFaults(f.ctx, standin.EngineFaults{Down: true}))
			f.assertRefused(waiting, buckthorndyke.CodeRunnerUnavailable, buckthorndyke.NotRun)
			asserter.NoError(t, f.engine.SetFaults(f.ctx, standin.EngineFaults{}))
			f.wait(3 * buckthorndyke.Second)
			f.grant(hall, ordinary)
		})
	})
	t.Run("a load waits for the gate and is superseded by a more urgent one", func(t *testing.T) {
		withFixture(t, standin.EngineConfig{}, func(f *fixture) {
			f.gate.blocked = make(chan struct{})
			f.requestTicket(hall, ordinary)
			asserter.Equal(t, (<-f.gate.requests).Model, hall)
			f.requestTicket(gym, buckthorndyke.RankUrgent)
			asserter.Equal(t, (<-f.gate.requests).Model, gym)
			asserter.Equal(t, len(f.assertSafe().Orders), 0)
			close(f.gate.blocked)
			asserter.Equal(t, (<-f.gate.requests).Model, hall)
		})
	})
	t.Run("a checkpoint that the runner has cached needs no permit", func(t *testing.T) {
		withFixture(t, standin.EngineConfig{CachedOnDisk: []buckthorndyke.ModelID{hall}}, func(f *fixture) {
			f.grant(hall, ordinary)
			asserter.Equal(t, len(f.gate.requests), 0)
		})
	})
}

func TestTickets(t *testing.T) {
	const ordinary, free = buckthorndyke.RankOrdinary, buckthorndyke.RankFree
	t.Run("a ticket is closed when its holder's context ends", func(t *testing.T) {
		withFixture(t, standin.EngineConfig{Slots: 1}, func(f *fixture) {
			ctx, leave := context.WithCancel(f.ctx)
			gone, err := f.tryTicket(ctx, hall, ordinary, buckthorndyke.Minute)
			asserter.NoError(t, err)
			f.assertEvent(gone, buckthorndyke.TicketGranted)
			waiting := f.requestTicket(hall, ordinary)
			f.wait(1)
			f.assertNoEvent(waiting)
			leave()
			f.assertEvent(waiting, buckthorndyke.TicketGranted)
		})
	})
	t.Run("a waiting request is refused before its deadline", func(t *testing.T) {
		withFixture(t, standin.EngineConfig{Slots: 1}, func(f *fixture) {
			f.grant(hall, ordinary)
			deadline := f.clock.Now() + buckthorndyke.Second
			waiting, err := f.tryTicket(f.ctx, hall, ordinary, buckthorndyke.Second)
			asserter.NoError(t, err)
			f.assertRefused(waiting, buckthorndyke.CodeDeadline, buckthorndyke.NotRun)
			asserter.True(t, f.clock.Now() < deadline, "the request was refused after its deadline")
		})
	})
	t.Run("all requests end when the steward ends", func(t *testing.T) {
		withFixture(t, standin.EngineConfig{Slots: 1}, func(f *fixture) {
			// The requests must outlive the steward, since a canceled one gets no refusal.
			f.ctx = f.t.Context()
			running, waiting := f.grant(hall, ordinary), f.requestTicket(hall, ordinary)
			f.cancel()
			f.wait(1)
			f.assertRefused(waiting, buckthorndyke.CodeNotOwner, buckthorndyke.NotRun)
			f.assertRefused(running, buckthorndyke.CodeNotOwner, buckthorndyke.MayHaveRun)
			_, err := f.tryTicket(f.ctx, hall, ordinary, buckthorndyke.Minute)
			asserter.Refused(t, err, buckthorndyke.CodeNotOwner, buckthorndyke.NotRun)
		})
	})
	t.Run("quiescing finishes waiting requests and refuses new ones", func(t *testing.T) {
		withFixture(t, standin.EngineConfig{Slots: 1}, func(f *fixture) {
			running, waiting := f.grant(hall, ordinary), f.requestTicket(gym, ordinary)
			done := f.steward.Quiesce()
			f.wait(buckthorndyke.Second)
			_, err := f.tryTicket(f.ctx, hall, ordinary, buckthorndyke.Minute)
			asserter.Refused(t, err, buckthorndyke.CodeDraining, buckthorndyke.NotRun)
			running.Close(buckthorndyke.TicketDone)
			f.assertEvent(waiting, buckthorndyke.TicketGranted)
			assertOpen(t, done)
			waiting.Close(buckthorndyke.TicketDone)
			<-done
		})
	})
	t.Run("yielding refuses waiting requests and leaves running ones", func(t *testing.T) {
		withFixture(t, standin.EngineConfig{Slots: 1}, func(f *fixture) {
			running, waiting := f.grant(hall, ordinary), f.requestTicket(gym, ordinary)
			<-f.steward.Yield()
			f.assertRefused(waiting, buckthorndyke.CodeDraining, buckthorndyke.NotRun)
			f.assertNoEvent(running)
			orders := len(f.assertSafe().Orders)
			f.wait(buckthorndyke.Minute)
			asserter.Equal(t, len(f.assertSafe().Orders), orders)
		})
	})
	t.Run("a leaving runner finishes running requests and refuses others", func(t *testing.T) {
		withFixture(t, standin.EngineConfig{Slots: 1}, func(f *fixture) {
			running, waiting := f.grant(hall, ordinary), f.requestTicket(hall, ordinary)
			f.update(func(v *steward.View) { v.Leaving = true })
			f.assertRefused(waiting, buckthorndyke.CodeRunnerUnavailable, buckthorndyke.NotRun)
			_, err := f.tryTicket(f.ctx, hall, ordinary, buckthorndyke.Minute)
			asserter.Refused(t, err, buckthorndyke.CodeRunnerUnavailable, buckthorndyke.NotRun)
			f.assertNoEvent(running)
		})
	})
	t.Run("a free request is preempted for a load for a paid one", func(t *testing.T) {
		withFixture(t, standin.EngineConfig{MemoryMB: modelMB}, func(f *fixture) {
			running := f.grant(hall, free)
			waiting := f.requestTicket(gym, ordinary)
			f.assertEvent(running, buckthorndyke.TicketRevoked)
			running.Close(buckthorndyke.TicketDone)
			f.assertEvent(waiting, buckthorndyke.TicketGranted)
			f.assertSafe()
		})
	})
	t.Run("a free request evicts no model of a paid one", func(t *testing.T) {
		withFixture(t, standin.EngineConfig{MemoryMB: modelMB}, func(f *fixture) {
			f.grant(hall, ordinary).Close(buckthorndyke.TicketDone)
			waiting := f.requestTicket(gym, free)
			f.wait(5 * buckthorndyke.Second)
			f.assertNoEvent(waiting)
			asserter.Equal(t, f.residents(), []buckthorndyke.ModelID{hall})
		})
	})
	t.Run("a load that takes longer than a request can wait is started nevertheless", func(t *testing.T) {
		withFixture(t, standin.EngineConfig{RemoteMBPerSecond: 1000}, func(f *fixture) {
			f.grant(hall, ordinary).Close(buckthorndyke.TicketDone)
			_, err := f.tryTicket(f.ctx, gym, ordinary, 2*buckthorndyke.Second)
			asserter.Refused(t, err, buckthorndyke.CodeOverloaded, buckthorndyke.NotRun)
			f.wait(buckthorndyke.RefusalOf(err).RetryAfter() + 3*buckthorndyke.Second)
			again, err := f.tryTicket(f.ctx, gym, ordinary, 2*buckthorndyke.Second)
			asserter.NoError(t, err)
			f.assertEvent(again, buckthorndyke.TicketGranted)
			asserter.Equal(t, f.assertSafe().Loads[gym], 1)
		})
	})
	t.Run("an adapter is not loaded again while its base is being evicted", func(t *testing.T) {
		withFixture(t, standin.EngineConfig{MemoryMB: modelMB + 500, Slots: 1}, func(f *fixture) {
			running := f.grant(hall, ordinary)
			f.requestTicket(organ, ordinary)
			f.wait(buckthorndyke.Second)
			urgent := f.requestTicket(choir, buckthorndyke.RankUrgent)
			f.wait(buckthorndyke.Second)
			running.Close(buckthorndyke.TicketDone)
			f.assertEvent(urgent, buckthorndyke.TicketGranted)
			asserter.Equal(t, f.assertSafe().Loads[organ], 1)
		})
	})
	t.Run("a steady flow of requests to a loaded model does not starve a load", func(t *testing.T) {
		withFixture(t, standin.EngineConfig{MemoryMB: modelMB}, func(f *fixture) {
			flow := f.grant(hall, ordinary)
			waiting := f.requestTicket(gym, ordinary)
			next := f.requestTicket(hall, ordinary)
			f.wait(buckthorndyke.Second)
			f.assertNoEvent(next)
			flow.Close(buckthorndyke.TicketDone)
			f.assertEvent(waiting, buckthorndyke.TicketGranted)
			waiting.Close(buckthorndyke.TicketDone)
			f.assertEvent(next, buckthorndyke.TicketGranted)
			f.assertSafe()
		})
	})
}

func assertOpen(t *testing.T, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
		t.Error("the channel was closed too early")
	default:
	}
}
