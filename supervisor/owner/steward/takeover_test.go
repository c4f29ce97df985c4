package steward_test

import (
	"testing"
	"testing/synctest"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/evictor"
	"github.com/buckthorndyke/buckthorndyke/standin"
	"github.com/buckthorndyke/buckthorndyke/supervisor/owner/steward"
)

func TestTakeover(t *testing.T) {
	t.Run("a runner that checks fencing numbers is fenced first", func(t *testing.T) {
		inTakeover(t, standin.EngineConfig{ChecksFencingToken: true}, nil, func(s *site) {
			s.grant(hall, buckthorndyke.RankOrdinary)
			orders := s.assertSafe().Orders
			asserter.Equal(t, orders[0].Order.Kind, buckthorndyke.OrderFence)
			asserter.Equal(t, orders[0].Order.FencingToken, 7)
			assertBefore(t, orders[1].At-s.start0, steward.DefaultLease)
		})
	})
	t.Run("nothing starts before the runner is fenced", func(t *testing.T) {
		prepare := func(s *site) {
			s.order(loadOf(hall))
			asserter.NoError(t, s.engine.SetFaults(s.ctx, standin.EngineFaults{OrderDelay: 3 * buckthorndyke.Second}))
		}
		inTakeover(t, standin.EngineConfig{ChecksFencingToken: true}, prepare, func(s *site) {
			waiting := s.ask(hall, buckthorndyke.RankOrdinary)
			s.wait(2 * buckthorndyke.Second)
			s.assertNone(waiting)
			s.assertEvent(waiting, buckthorndyke.TicketGranted)
		})
	})
	t.Run("a runner that ignores them gets no order before the lease has ended", func(t *testing.T) {
		inTakeover(t, standin.EngineConfig{}, nil, func(s *site) {
			s.grant(hall, buckthorndyke.RankOrdinary)
			assertBefore(t, steward.DefaultLease, s.assertSafe().Orders[0].At-s.start0)
		})
	})
	t.Run("a loaded model is served before the lease has ended", func(t *testing.T) {
		prepare := func(s *site) { s.order(loadOf(hall)) }
		inTakeover(t, standin.EngineConfig{}, prepare, func(s *site) {
			s.grant(hall, buckthorndyke.RankOrdinary)
			assertBefore(t, s.clock.Now()-s.start0, buckthorndyke.Second)
		})
	})
	t.Run("a paused owner's late order finds its memory reserved", func(t *testing.T) {
		s := lateOrder(t, false)
		asserter.True(t, !s.Overcommitted, "memory was overcommitted")
	})
	t.Run("without the reserve the assertion fails", func(t *testing.T) {
		s := lateOrder(t, true)
		asserter.True(t, s.Overcommitted, "the late order did not matter")
	})
	t.Run("a withdrawn slot is not freed while a late order may fill it", func(t *testing.T) {
		prepare := func(s *site) { s.view = withdraw(s.view, hall) }
		inTakeover(t, standin.EngineConfig{}, prepare, func(s *site) {
			s.wait(buckthorndyke.Minute)
			asserter.Equal(t, len(s.proposer.changes), 0)
			s.update(func(v *steward.View) { v.PreviousGone = true })
			s.assertFreed(hall)
		})
	})
	t.Run("a model under a previous owner's ticket is not evicted", func(t *testing.T) {
		var old buckthorndyke.TokenStream
		prepare := func(s *site) {
			s.order(loadOf(hall))
			old = s.generate(hall)
		}
		cfg := standin.EngineConfig{ResponseTokens: 2000, ChecksFencingToken: true, MemoryMB: fit, TokenInterval: 50}
		inTakeover(t, cfg, prepare, func(s *site) {
			waiting := s.ask(gym, buckthorndyke.RankOrdinary)
			s.wait(10 * buckthorndyke.Second)
			s.assertNone(waiting)
			asserter.NoError(t, old.Close())
			s.assertEvent(waiting, buckthorndyke.TicketGranted)
			s.assertSafe()
		})
	})
	t.Run("a report that lags does not lead to overcommitment", func(t *testing.T) {
		cfg := standin.EngineConfig{ChecksFencingToken: true, MemoryMB: fit, StatusLag: 900}
		prepare := func(s *site) { s.order(loadOf(hall)) }
		inTakeover(t, cfg, prepare, func(s *site) {
			s.grant(gym, buckthorndyke.RankOrdinary)
			s.assertSafe()
		})
	})
}

func TestPermissions(t *testing.T) {
	const ordinary = buckthorndyke.RankOrdinary
	t.Run("a withdrawn model is evicted after its work and then freed", func(t *testing.T) {
		inSite(t, standin.EngineConfig{Slots: 1}, func(s *site) {
			running, waiting := s.grant(hall, ordinary), s.ask(hall, ordinary)
			s.update(func(v *steward.View) { *v = withdraw(*v, hall) })
			s.assertRefused(waiting, buckthorndyke.CodeRunnerUnavailable, buckthorndyke.NotRun)
			s.wait(5 * buckthorndyke.Second)
			asserter.Equal(t, s.residents(), []buckthorndyke.ModelID{hall})
			asserter.Equal(t, len(s.proposer.changes), 0)
			running.Close(buckthorndyke.TicketDone)
			s.assertFreed(hall)
			asserter.Equal(t, len(s.residents()), 0)
			s.assertSafe()
		})
	})
	t.Run("an eviction whose answer is lost frees the slot only once it is known", func(t *testing.T) {
		inSite(t, standin.EngineConfig{}, func(s *site) {
			s.grant(hall, ordinary).Close(buckthorndyke.TicketDone)
			asserter.NoError(t, s.engine.SetFaults(s.ctx, standin.EngineFaults{OrderDelay: 20 * buckthorndyke.Second}))
			s.update(func(v *steward.View) { *v = withdraw(*v, hall) })
			s.wait(18 * buckthorndyke.Second)
			asserter.Equal(t, len(s.proposer.changes), 0)
			s.assertFreed(hall)
			asserter.Equal(t, len(s.residents()), 0)
		})
	})
	t.Run("a model that is not permitted is refused", func(t *testing.T) {
		inSite(t, standin.EngineConfig{}, func(s *site) {
			s.update(func(v *steward.View) { *v = withdraw(*v, hall) })
			for _, model := range []buckthorndyke.ModelID{hall, organ, "unknown"} {
				_, err := s.tryAsk(s.ctx, model, ordinary, buckthorndyke.Minute)
				asserter.Refused(t, err, buckthorndyke.CodeRunnerUnavailable, buckthorndyke.NotRun)
			}
			asserter.Equal(t, len(s.assertSafe().Loads), 0)
		})
	})
	t.Run("an idle model is evicted after its keep time", func(t *testing.T) {
		keep := steward.WithKeepWarm(evictor.NewFixedKeepWarm(buckthorndyke.Minute))
		inSite(t, standin.EngineConfig{}, func(s *site) {
			s.grant(organ, ordinary).Close(buckthorndyke.TicketDone)
			s.wait(50 * buckthorndyke.Second)
			asserter.Equal(t, len(s.residents()), 2)
			s.wait(15 * buckthorndyke.Second)
			asserter.Equal(t, len(s.residents()), 0)
		}, keep)
	})
}

// assertFreed waits for the proposal to free the slot of model.
func (s *site) assertFreed(model buckthorndyke.ModelID) {
	s.t.Helper()
	want := buckthorndyke.FreeSlotChange{Epoch: 7, Model: model, Runner: runner}
	asserter.Equal(s.t, <-s.proposer.changes, buckthorndyke.Change(want))
}

func assertBefore(t *testing.T, a, b buckthorndyke.Millis) {
	t.Helper()
	if a >= b {
		t.Errorf("%d ms is not before %d ms", a, b)
	}
}

// inTakeover runs test with a steward that has just taken the runner over.
func inTakeover(t *testing.T, cfg standin.EngineConfig, prepare, test func(s *site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, cfg)
		defer s.cancel()
		s.view.Ownership.PreviousOwner = "dead"
		if prepare != nil {
			prepare(s)
		}
		s.start0 = s.clock.Now()
		s.start(s.view)
		test(s)
	})
}

// lateOrder takes over from an owner whose last order arrives long after its
// lease. careless leaves the reserve out.
func lateOrder(t *testing.T, careless bool) standin.EngineJournal {
	var journal standin.EngineJournal
	prepare := func(s *site) { s.view.PreviousGone = careless }
	inTakeover(t, standin.EngineConfig{MemoryMB: 2 * fit}, prepare, func(s *site) {
		s.ask(hall, buckthorndyke.RankOrdinary)
		s.ask(gym, buckthorndyke.RankOrdinary)
		s.wait(30 * buckthorndyke.Second)
		s.order(loadOf(choir))
		s.wait(30 * buckthorndyke.Second)
		var err error
		journal, err = s.engine.Journal(s.ctx)
		asserter.NoError(t, err)
	})
	return journal
}

// loadOf returns an order of the previous owner.
func loadOf(model buckthorndyke.ModelID) buckthorndyke.Order {
	return buckthorndyke.Order{
		FencingToken: 3, ID: buckthorndyke.OrderID("late-" + model), Kind: buckthorndyke.OrderLoad, MemoryMB: fit, Model: model,
	}
}

// withdraw returns v with the permission of model withdrawn.
func withdraw(v steward.View, model buckthorndyke.ModelID) steward.View {
	p, _ := v.State.Placements.Get(model)
	v.State = v.State.WithPlacement(p.WithSlot(buckthorndyke.ReplicaSlot{Runner: runner, Withdrawn: true}))
	return v
}
