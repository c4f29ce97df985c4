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
		inSite(t, standin.EngineConfig{}, func(s *site) {
			asserter.NoError(t, s.engine.SetFaults(s.ctx, standin.EngineFaults{LoseOrderReplies: 1}))
			s.grant(hall, ordinary)
			s.grant(gym, ordinary)
			j := s.assertSafe()
			asserter.Equal(t, j.Loads[hall], 1)
			asserter.Equal(t, len(j.Orders), 2)
		})
	})
	t.Run("the memory of an order stays reserved while it is on its way", func(t *testing.T) {
		inSite(t, standin.EngineConfig{MemoryMB: fit + fit/2}, func(s *site) {
			asserter.NoError(t, s.engine.SetFaults(s.ctx, standin.EngineFaults{OrderDelay: 40 * buckthorndyke.Second}))
			s.ask(hall, ordinary)
			s.wait(buckthorndyke.Second)
			asserter.NoError(t, s.engine.SetFaults(s.ctx, standin.EngineFaults{}))
			ticket := s.ask(gym, ordinary)
			s.wait(45 * buckthorndyke.Second)
			ticket.Close(buckthorndyke.TicketDone)
			j := s.assertSafe()
			asserter.Equal(t, j.Loads[hall], 1)
			asserter.Equal(t, j.Loads[gym], 0)
		})
	})
	t.Run("a runner that ignores fencing numbers gets no order after the lease", func(t *testing.T) {
		inSite(t, standin.EngineConfig{}, func(s *site) {
			s.grant(hall, ordinary)
			s.update(func(v *steward.View) { v.Lease = s.clock.Now() })
			cold := s.ask(gym, ordinary)
			s.grant(hall, ordinary)
			s.wait(30 * buckthorndyke.Second)
			s.assertNone(cold)
			asserter.Equal(t, s.assertSafe().Loads[gym], 0)
			s.update(func(v *steward.View) { v.Lease = s.clock.Now() + buckthorndyke.Minute })
			s.assertEvent(cold, buckthorndyke.TicketGranted)
		})
	})
	t.Run("a fenced steward gives no more orders and refuses what waits", func(t *testing.T) {
		inSite(t, standin.EngineConfig{ChecksFencingToken: true}, func(s *site) {
			s.grant(hall, ordinary)
			s.order(buckthorndyke.Order{FencingToken: 8, ID: "newer", Kind: buckthorndyke.OrderFence})
			s.assertRefused(s.ask(gym, ordinary), buckthorndyke.CodeNotOwner, buckthorndyke.NotRun)
			_, err := s.tryAsk(s.ctx, hall, ordinary, buckthorndyke.Minute)
			asserter.Refused(t, err, buckthorndyke.CodeNotOwner, buckthorndyke.NotRun)
			asserter.Equal(t, s.assertSafe().Loads[gym], 0)
		})
	})
	t.Run("a crash ends what runs and reloads what waits", func(t *testing.T) {
		inSite(t, standin.EngineConfig{Restart: 100, Slots: 1}, func(s *site) {
			running, waiting := s.grant(hall, ordinary), s.ask(hall, ordinary)
			asserter.NoError(t, s.engine.Crash(s.ctx))
			running.Close(buckthorndyke.TicketCrashed)
			s.assertEvent(waiting, buckthorndyke.TicketGranted)
			asserter.Equal(t, s.assertSafe().Loads[hall], 2)
		})
	})
	t.Run("a report asked for in the millisecond of a crash grants nothing", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(t, standin.EngineConfig{Restart: 100, Slots: 1})
			defer s.cancel()
			engine := &delayedStatus{MemoryEngine: s.engine, asked: make(chan chan struct{}), on: make(chan struct{})}
			s.steward = steward.New(s.view, engine, s.gate, s.proposer, s.clock)
			standin.Start(s.ctx, s.steward)
			s.wait(3 * buckthorndyke.Second)
			running, waiting := s.grant(hall, ordinary), s.ask(hall, ordinary)
			close(engine.on)
			release := <-engine.asked
			asserter.NoError(t, s.engine.Crash(s.ctx))
			running.Close(buckthorndyke.TicketCrashed)
			synctest.Wait()
			close(release)
			s.assertEvent(waiting, buckthorndyke.TicketGranted)
			asserter.Equal(t, s.assertSafe().Loads[hall], 2)
		})
	})
	t.Run("a crash that only the status shows ends what runs", func(t *testing.T) {
		inSite(t, standin.EngineConfig{Restart: 100}, func(s *site) {
			running := s.grant(hall, ordinary)
			asserter.NoError(t, s.engine.Crash(s.ctx))
			s.assertRefused(running, buckthorndyke.CodeEngineFailed, buckthorndyke.MayHaveRun)
		})
	})
	t.Run("a runner that does not answer takes no work", func(t *testing.T) {
		inSite(t, standin.EngineConfig{}, func(s *site) {
			waiting := s.ask(hall, ordinary)
			asserter.NoError(t, s.engine.SetFaults(s.ctx, standin.EngineFaults{Down: true}))
			s.assertRefused(waiting, buckthorndyke.CodeRunnerUnavailable, buckthorndyke.NotRun)
			asserter.NoError(t, s.engine.SetFaults(s.ctx, standin.EngineFaults{}))
			s.wait(3 * buckthorndyke.Second)
			s.grant(hall, ordinary)
		})
	})
	t.Run("a load waits for the gate and gives way to more urgent ones", func(t *testing.T) {
		inSite(t, standin.EngineConfig{}, func(s *site) {
			s.gate.shut = make(chan struct{})
			s.ask(hall, ordinary)
			asserter.Equal(t, (<-s.gate.asked).Model, hall)
			s.ask(gym, buckthorndyke.RankUrgent)
			asserter.Equal(t, (<-s.gate.asked).Model, gym)
			asserter.Equal(t, len(s.assertSafe().Orders), 0)
			close(s.gate.shut)
			asserter.Equal(t, (<-s.gate.asked).Model, hall)
		})
	})
	t.Run("a checkpoint that the runner has cached needs no permit", func(t *testing.T) {
		inSite(t, standin.EngineConfig{CachedOnDisk: []buckthorndyke.ModelID{hall}}, func(s *site) {
			s.grant(hall, ordinary)
			asserter.Equal(t, len(s.gate.asked), 0)
		})
	})
}

func TestTickets(t *testing.T) {
	const ordinary, free = buckthorndyke.RankOrdinary, buckthorndyke.RankFree
	t.Run("a ticket ends with its holder's context", func(t *testing.T) {
		inSite(t, standin.EngineConfig{Slots: 1}, func(s *site) {
			ctx, leave := context.WithCancel(s.ctx)
			gone, err := s.tryAsk(ctx, hall, ordinary, buckthorndyke.Minute)
			asserter.NoError(t, err)
			s.assertEvent(gone, buckthorndyke.TicketGranted)
			waiting := s.ask(hall, ordinary)
			s.wait(1)
			s.assertNone(waiting)
			leave()
			s.assertEvent(waiting, buckthorndyke.TicketGranted)
		})
	})
	t.Run("a request that waits is refused before its deadline", func(t *testing.T) {
		inSite(t, standin.EngineConfig{Slots: 1}, func(s *site) {
			s.grant(hall, ordinary)
			deadline := s.clock.Now() + buckthorndyke.Second
			waiting, err := s.tryAsk(s.ctx, hall, ordinary, buckthorndyke.Second)
			asserter.NoError(t, err)
			s.assertRefused(waiting, buckthorndyke.CodeDeadline, buckthorndyke.NotRun)
			asserter.True(t, s.clock.Now() < deadline, "refused after the deadline")
		})
	})
	t.Run("all requests end when the steward dies", func(t *testing.T) {
		inSite(t, standin.EngineConfig{Slots: 1}, func(s *site) {
			// The callers outlive the steward: a caller that leaves gets no answer.
			s.ctx = s.t.Context()
			running, waiting := s.grant(hall, ordinary), s.ask(hall, ordinary)
			s.cancel()
			s.wait(1)
			s.assertRefused(waiting, buckthorndyke.CodeNotOwner, buckthorndyke.NotRun)
			s.assertRefused(running, buckthorndyke.CodeNotOwner, buckthorndyke.MayHaveRun)
			_, err := s.tryAsk(s.ctx, hall, ordinary, buckthorndyke.Minute)
			asserter.Refused(t, err, buckthorndyke.CodeNotOwner, buckthorndyke.NotRun)
		})
	})
	t.Run("quiescing finishes what waits and takes nothing new", func(t *testing.T) {
		inSite(t, standin.EngineConfig{Slots: 1}, func(s *site) {
			running, waiting := s.grant(hall, ordinary), s.ask(gym, ordinary)
			done := s.steward.Quiesce()
			s.wait(buckthorndyke.Second)
			_, err := s.tryAsk(s.ctx, hall, ordinary, buckthorndyke.Minute)
			asserter.Refused(t, err, buckthorndyke.CodeDraining, buckthorndyke.NotRun)
			running.Close(buckthorndyke.TicketDone)
			s.assertEvent(waiting, buckthorndyke.TicketGranted)
			assertOpen(t, done)
			waiting.Close(buckthorndyke.TicketDone)
			<-done
		})
	})
	t.Run("yielding refuses what waits and leaves what runs alone", func(t *testing.T) {
		inSite(t, standin.EngineConfig{Slots: 1}, func(s *site) {
			running, waiting := s.grant(hall, ordinary), s.ask(gym, ordinary)
			<-s.steward.Yield()
			s.assertRefused(waiting, buckthorndyke.CodeDraining, buckthorndyke.NotRun)
			s.assertNone(running)
			orders := len(s.assertSafe().Orders)
			s.wait(buckthorndyke.Minute)
			asserter.Equal(t, len(s.assertSafe().Orders), orders)
		})
	})
	t.Run("a leaving runner finishes what runs and takes nothing new", func(t *testing.T) {
		inSite(t, standin.EngineConfig{Slots: 1}, func(s *site) {
			running, waiting := s.grant(hall, ordinary), s.ask(hall, ordinary)
			s.update(func(v *steward.View) { v.Leaving = true })
			s.assertRefused(waiting, buckthorndyke.CodeRunnerUnavailable, buckthorndyke.NotRun)
			_, err := s.tryAsk(s.ctx, hall, ordinary, buckthorndyke.Minute)
			asserter.Refused(t, err, buckthorndyke.CodeRunnerUnavailable, buckthorndyke.NotRun)
			s.assertNone(running)
		})
	})
	t.Run("free work makes room for a load of paid work", func(t *testing.T) {
		inSite(t, standin.EngineConfig{MemoryMB: fit}, func(s *site) {
			running := s.grant(hall, free)
			waiting := s.ask(gym, ordinary)
			s.assertEvent(running, buckthorndyke.TicketRevoked)
			running.Close(buckthorndyke.TicketDone)
			s.assertEvent(waiting, buckthorndyke.TicketGranted)
			s.assertSafe()
		})
	})
	t.Run("free work evicts no model of paid work", func(t *testing.T) {
		inSite(t, standin.EngineConfig{MemoryMB: fit}, func(s *site) {
			s.grant(hall, ordinary).Close(buckthorndyke.TicketDone)
			waiting := s.ask(gym, free)
			s.wait(5 * buckthorndyke.Second)
			s.assertNone(waiting)
			asserter.Equal(t, s.residents(), []buckthorndyke.ModelID{hall})
		})
	})
	t.Run("a load that takes longer than a request can wait is begun all the same", func(t *testing.T) {
		inSite(t, standin.EngineConfig{RemoteMBPerSecond: 1000}, func(s *site) {
			s.grant(hall, ordinary).Close(buckthorndyke.TicketDone)
			_, err := s.tryAsk(s.ctx, gym, ordinary, 2*buckthorndyke.Second)
			asserter.Refused(t, err, buckthorndyke.CodeOverloaded, buckthorndyke.NotRun)
			s.wait(buckthorndyke.RefusalOf(err).RetryAfter() + 3*buckthorndyke.Second)
			again, err := s.tryAsk(s.ctx, gym, ordinary, 2*buckthorndyke.Second)
			asserter.NoError(t, err)
			s.assertEvent(again, buckthorndyke.TicketGranted)
			asserter.Equal(t, s.assertSafe().Loads[gym], 1)
		})
	})
	t.Run("an adapter is not loaded again while its base makes room", func(t *testing.T) {
		inSite(t, standin.EngineConfig{MemoryMB: fit + 500, Slots: 1}, func(s *site) {
			running := s.grant(hall, ordinary)
			s.ask(organ, ordinary)
			s.wait(buckthorndyke.Second)
			urgent := s.ask(choir, buckthorndyke.RankUrgent)
			s.wait(buckthorndyke.Second)
			running.Close(buckthorndyke.TicketDone)
			s.assertEvent(urgent, buckthorndyke.TicketGranted)
			asserter.Equal(t, s.assertSafe().Loads[organ], 1)
		})
	})
	t.Run("a steady flow to a loaded model does not starve a load", func(t *testing.T) {
		inSite(t, standin.EngineConfig{MemoryMB: fit}, func(s *site) {
			flow := s.grant(hall, ordinary)
			waiting := s.ask(gym, ordinary)
			next := s.ask(hall, ordinary)
			s.wait(buckthorndyke.Second)
			s.assertNone(next)
			flow.Close(buckthorndyke.TicketDone)
			s.assertEvent(waiting, buckthorndyke.TicketGranted)
			waiting.Close(buckthorndyke.TicketDone)
			s.assertEvent(next, buckthorndyke.TicketGranted)
			s.assertSafe()
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
