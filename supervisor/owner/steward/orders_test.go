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
	t.Run("an order whose answer is lost is settled by asking", func(t *testing.T) {
		withFixture(t, standin.EngineConfig{}, func(f *fixture) {
			asserter.NoError(t, f.engine.SetFaults(f.ctx, standin.EngineFaults{LoseOrderAnswers: 1}))
			f.grant(hall, ordinary)
			f.grant(gym, ordinary)
			j := f.assertSafe()
			asserter.Equal(t, j.Loads[hall], 1)
			asserter.Equal(t, len(j.Orders), 2)
		})
	})
	t.Run("the memory of an order stays reserved while it is on its way", func(t *testing.T) {
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
	t.Run("a runner that ignores fencing numbers gets no order after the lease", func(t *testing.T) {
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
	t.Run("a fenced steward gives no more orders and refuses what waits", func(t *testing.T) {
		withFixture(t, standin.EngineConfig{ChecksFence: true}, func(f *fixture) {
			f.grant(hall, ordinary)
			f.order(buckthorndyke.Order{FencingToken: 8, ID: "newer", Kind: buckthorndyke.OrderFence})
			f.assertRefused(f.requestTicket(gym, ordinary), buckthorndyke.CodeNotOwner, buckthorndyke.NotRun)
			_, err := f.tryTicket(f.ctx, hall, ordinary, buckthorndyke.Minute)
			asserter.Refused(t, err, buckthorndyke.CodeNotOwner, buckthorndyke.NotRun)
			asserter.Equal(t, f.assertSafe().Loads[gym], 0)
		})
	})
	t.Run("a crash ends what runs and reloads what waits", func(t *testing.T) {
		withFixture(t, standin.EngineConfig{Restart: 100, Slots: 1}, func(f *fixture) {
			running, waiting := f.grant(hall, ordinary), f.requestTicket(hall, ordinary)
			asserter.NoError(t, f.engine.Crash(f.ctx))
			running.Close(buckthorndyke.TicketCrashed)
			f.assertEvent(waiting, buckthorndyke.TicketGranted)
			asserter.Equal(t, f.assertSafe().Loads[hall], 2)
		})
	})
	t.Run("a report asked for in the millisecond of a crash grants nothing", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, standin.EngineConfig{Restart: 100, Slots: 1})
			defer f.cancel()
			engine := &delayedStatusEngine{MemoryEngine: f.engine, held: make(chan chan struct{}), enabled: make(chan struct{})}
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
	t.Run("a crash that only the status shows ends what runs", func(t *testing.T) {
		withFixture(t, standin.EngineConfig{Restart: 100}, func(f *fixture) {
			running := f.grant(hall, ordinary)
			asserter.NoError(t, f.engine.Crash(f.ctx))
			f.assertRefused(running, buckthorndyke.CodeEngineFailed, buckthorndyke.MayHaveRun)
		})
	})
	t.Run("a runner that does not answer takes no work", func(t *testing.T) {
		withFixture(t, standin.EngineConfig{}, func(f *fixture) {
			waiting := f.requestTicket(hall, ordinary)
			asserter.NoError(t, f.engine.SetFaults(f.ctx, standin.EngineFaults{Down: true}))
			f.assertRefused(waiting, buckthorndyke.CodeRunnerUnavailable, buckthorndyke.NotRun)
			asserter.NoError(t, f.engine.SetFaults(f.ctx, standin.EngineFaults{}))
			f.wait(3 * buckthorndyke.Second)
			f.grant(hall, ordinary)
		})
	})
	t.Run("a load waits for the gate and gives way to more urgent ones", func(t *testing.T) {
		withFixture(t, standin.EngineConfig{}, func(f *fixture) {
			f.gate.closed = make(chan struct{})
			f.requestTicket(hall, ordinary)
			asserter.Equal(t, (<-f.gate.requests).Model, hall)
			f.requestTicket(gym, buckthorndyke.RankUrgent)
			asserter.Equal(t, (<-f.gate.requests).Model, gym)
			asserter.Equal(t, len(f.assertSafe().Orders), 0)
			close(f.gate.closed)
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
	t.Run("a ticket ends with its holder's context", func(t *testing.T) {
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
	t.Run("a request that waits is refused before its deadline", func(t *testing.T) {
		withFixture(t, standin.EngineConfig{Slots: 1}, func(f *fixture) {
			f.grant(hall, ordinary)
			deadline := f.clock.Now() + buckthorndyke.Second
			waiting, err := f.tryTicket(f.ctx, hall, ordinary, buckthorndyke.Second)
			asserter.NoError(t, err)
			f.assertRefused(waiting, buckthorndyke.CodeDeadline, buckthorndyke.NotRun)
			asserter.True(t, f.clock.Now() < deadline, "refused after the deadline")
		})
	})
	t.Run("all requests end when the steward dies", func(t *testing.T) {
		withFixture(t, standin.EngineConfig{Slots: 1}, func(f *fixture) {
			// The callers outlive the steward: a caller that leaves gets no answer.
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
	t.Run("quiescing finishes what waits and takes nothing new", func(t *testing.T) {
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
	t.Run("yielding refuses what waits and leaves what runs alone", func(t *testing.T) {
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
	t.Run("a leaving runner finishes what runs and takes nothing new", func(t *testing.T) {
		withFixture(t, standin.EngineConfig{Slots: 1}, func(f *fixture) {
			running, waiting := f.grant(hall, ordinary), f.requestTicket(hall, ordinary)
			f.update(func(v *steward.View) { v.Leaving = true })
			f.assertRefused(waiting, buckthorndyke.CodeRunnerUnavailable, buckthorndyke.NotRun)
			_, err := f.tryTicket(f.ctx, hall, ordinary, buckthorndyke.Minute)
			asserter.Refused(t, err, buckthorndyke.CodeRunnerUnavailable, buckthorndyke.NotRun)
			f.assertNoEvent(running)
		})
	})
	t.Run("free work makes room for a load of paid work", func(t *testing.T) {
		withFixture(t, standin.EngineConfig{MemoryMB: modelMB}, func(f *fixture) {
			running := f.grant(hall, free)
			waiting := f.requestTicket(gym, ordinary)
			f.assertEvent(running, buckthorndyke.TicketRevoked)
			running.Close(buckthorndyke.TicketDone)
			f.assertEvent(waiting, buckthorndyke.TicketGranted)
			f.assertSafe()
		})
	})
	t.Run("free work evicts no model of paid work", func(t *testing.T) {
		withFixture(t, standin.EngineConfig{MemoryMB: modelMB}, func(f *fixture) {
			f.grant(hall, ordinary).Close(buckthorndyke.TicketDone)
			waiting := f.requestTicket(gym, free)
			f.wait(5 * buckthorndyke.Second)
			f.assertNoEvent(waiting)
			asserter.Equal(t, f.residents(), []buckthorndyke.ModelID{hall})
		})
	})
	t.Run("a load that takes longer than a request can wait is begun all the same", func(t *testing.T) {
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
	t.Run("an adapter is not loaded again while its base makes room", func(t *testing.T) {
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
	t.Run("a steady flow to a loaded model does not starve a load", func(t *testing.T) {
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
		t.Error("ended too early")
	default:
	}
}
