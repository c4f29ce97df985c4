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
	t.Run("the fencing token of a runner that checks it is raised first", func(t *testing.T) {
		withTakeover(t, standin.EngineConfig{ChecksFencingToken: true}, nil, func(f *fixture) {
			f.grant(hall, buckthorndyke.RankOrdinary)
			orders := f.assertSafe().Orders
			asserter.Equal(t, orders[0].Order.Kind, buckthorndyke.OrderFence)
			asserter.Equal(t, orders[0].Order.FencingToken, 7)
			assertBefore(t, orders[1].At-f.startedAt, steward.DefaultLease)
		})
	})
	t.Run("no request starts before the fencing token is raised", func(t *testing.T) {
		setUp := func(f *fixture) {
			f.order(loadOf(hall))
			asserter.NoError(t, f.engine.SetFaults(f.ctx, standin.EngineFaults{OrderDelay: 3 * buckthorndyke.Second}))
		}
		withTakeover(t, standin.EngineConfig{ChecksFencingToken: true}, setUp, func(f *fixture) {
			waiting := f.requestTicket(hall, buckthorndyke.RankOrdinary)
			f.wait(2 * buckthorndyke.Second)
			f.assertNoEvent(waiting)
			f.assertEvent(waiting, buckthorndyke.TicketGranted)
		})
	})
	t.Run("a runner that ignores fencing tokens gets no order before the lease has ended", func(t *testing.T) {
		withTakeover(t, standin.EngineConfig{}, nil, func(f *fixture) {
			f.grant(hall, buckthorndyke.RankOrdinary)
			assertBefore(t, steward.DefaultLease, f.assertSafe().Orders[0].At-f.startedAt)
		})
	})
	t.Run("a loaded model is served before the lease has ended", func(t *testing.T) {
		setUp := func(f *fixture) { f.order(loadOf(hall)) }
		withTakeover(t, standin.EngineConfig{}, setUp, func(f *fixture) {
			f.grant(hall, buckthorndyke.RankOrdinary)
			assertBefore(t, f.clock.Now()-f.startedAt, buckthorndyke.Second)
		})
	})
	t.Run("memory is reserved for a late order of a paused owner", func(t *testing.T) {
		f := lateOrder(t, false)
		asserter.True(t, !f.Overcommitted, "memory was overcommitted")
	})
	t.Run("without the reserve a late order overcommits memory", func(t *testing.T) {
		f := lateOrder(t, true)
		asserter.True(t, f.Overcommitted, "the late order did not overcommit memory")
	})
	t.Run("a withdrawn slot is not freed while a late order may load the model", func(t *testing.T) {
		setUp := func(f *fixture) { f.view = withdraw(f.view, hall) }
		withTakeover(t, standin.EngineConfig{}, setUp, func(f *fixture) {
			f.wait(buckthorndyke.Minute)
			asserter.Equal(t, len(f.proposer.changes), 0)
			f.update(func(v *steward.View) { v.PreviousGone = true })
			f.assertFreed(hall)
		})
	})
	t.Run("a model in use by a ticket of a previous owner is not evicted", func(t *testing.T) {
		var old buckthorndyke.TokenStream
		setUp := func(f *fixture) {
			f.order(loadOf(hall))
			old = f.generate(hall)
		}
		cfg := standin.EngineConfig{ResponseTokens: 2000, ChecksFencingToken: true, MemoryMB: modelMB, TokenInterval: 50}
		withTakeover(t, cfg, setUp, func(f *fixture) {
			waiting := f.requestTicket(gym, buckthorndyke.RankOrdinary)
			f.wait(10 * buckthorndyke.Second)
			f.assertNoEvent(waiting)
			asserter.NoError(t, old.Close())
			f.assertEvent(waiting, buckthorndyke.TicketGranted)
			f.assertSafe()
		})
	})
	t.Run("a status that lags does not lead to overcommitted memory", func(t *testing.T) {
		cfg := standin.EngineConfig{ChecksFencingToken: true, MemoryMB: modelMB, StatusLag: 900}
		setUp := func(f *fixture) { f.order(loadOf(hall)) }
		withTakeover(t, cfg, setUp, func(f *fixture) {
			f.grant(gym, buckthorndyke.RankOrdinary)
			f.assertSafe()
		})
	})
}

func TestPermissions(t *testing.T) {
	const ordinary = buckthorndyke.RankOrdinary
	t.Run("a withdrawn model is evicted after its requests and then its slot is freed", func(t *testing.T) {
		withFixture(t, standin.EngineConfig{Slots: 1}, func(f *fixture) {
			running, waiting := f.grant(hall, ordinary), f.requestTicket(hall, ordinary)
			f.update(func(v *steward.View) { *v = withdraw(*v, hall) })
			f.assertRefused(waiting, buckthorndyke.CodeRunnerUnavailable, buckthorndyke.NotRun)
			f.wait(5 * buckthorndyke.Second)
			asserter.Equal(t, f.residents(), []buckthorndyke.ModelID{hall})
			asserter.Equal(t, len(f.proposer.changes), 0)
			running.Close(buckthorndyke.TicketDone)
			f.assertFreed(hall)
			asserter.Equal(t, len(f.residents()), 0)
			f.assertSafe()
		})
	})
	t.Run("an eviction whose reply is lost frees the slot only once its outcome is known", func(t *testing.T) {
		withFixture(t, standin.EngineConfig{}, func(f *fixture) {
			f.grant(hall, ordinary).Close(buckthorndyke.TicketDone)
			asserter.NoError(t, f.engine.SetFaults(f.ctx, standin.EngineFaults{OrderDelay: 20 * buckthorndyke.Second}))
			f.update(func(v *steward.View) { *v = withdraw(*v, hall) })
			f.wait(18 * buckthorndyke.Second)
			asserter.Equal(t, len(f.proposer.changes), 0)
			f.assertFreed(hall)
			asserter.Equal(t, len(f.residents()), 0)
		})
	})
	t.Run("a model that is not permitted is refused", func(t *testing.T) {
		withFixture(t, standin.EngineConfig{}, func(f *fixture) {
			f.update(func(v *steward.View) { *v = withdraw(*v, hall) })
			for _, model := range []buckthorndyke.ModelID{hall, organ, "unknown"} {
				_, err := f.tryTicket(f.ctx, model, ordinary, buckthorndyke.Minute)
				asserter.Refused(t, err, buckthorndyke.CodeRunnerUnavailable, buckthorndyke.NotRun)
			}
			asserter.Equal(t, len(f.assertSafe().Loads), 0)
		})
	})
	t.Run("an idle model is evicted after its keep-warm time", func(t *testing.T) {
		keep := steward.WithKeepWarm(evictor.NewFixedKeepWarm(buckthorndyke.Minute))
		withFixture(t, standin.EngineConfig{}, func(f *fixture) {
			f.grant(organ, ordinary).Close(buckthorndyke.TicketDone)
			f.wait(50 * buckthorndyke.Second)
			asserter.Equal(t, len(f.residents()), 2)
			f.wait(15 * buckthorndyke.Second)
			asserter.Equal(t, len(f.residents()), 0)
		}, keep)
	})
}

// assertFreed waits for the proposal to free the replica slot of model.
func (f *fixture) assertFreed(model buckthorndyke.ModelID) {
	f.t.Helper()
	want := buckthorndyke.FreeSlotChange{Epoch: 7, Model: model, Runner: runner}
	asserter.Equal(f.t, <-f.proposer.changes, buckthorndyke.Change(want))
}

func assertBefore(t *testing.T, a, b buckthorndyke.Millis) {
	t.Helper()
	if a >= b {
		t.Errorf("%d ms is not before %d ms", a, b)
	}
}

// withTakeover runs test with a steward that has just taken over the runner from
// another owner. setUp runs before the steward starts.
func withTakeover(t *testing.T, cfg standin.EngineConfig, setUp, test func(f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, cfg)
		defer f.cancel()
		f.view.Ownership.PreviousOwner = "dead"
		if setUp != nil {
			setUp(f)
		}
		f.startedAt = f.clock.Now()
		f.start(f.view)
		test(f)
	})
}

// lateOrder takes over from an owner whose last order arrives long after the end of
// its lease. If skipReserve is set, the steward reserves no memory for that order.
func lateOrder(t *testing.T, skipReserve bool) standin.EngineJournal {
	var journal standin.EngineJournal
	setUp := func(f *fixture) { f.view.PreviousGone = skipReserve }
	withTakeover(t, standin.EngineConfig{MemoryMB: 2 * modelMB}, setUp, func(f *fixture) {
		f.requestTicket(hall, buckthorndyke.RankOrdinary)
		f.requestTicket(gym, buckthorndyke.RankOrdinary)
		f.wait(30 * buckthorndyke.Second)
		f.order(loadOf(choir))
		f.wait(30 * buckthorndyke.Second)
		var err error
		journal, err = f.engine.Journal(f.ctx)
		asserter.NoError(t, err)
	})
	return journal
}

// loadOf returns an order of the previous owner to load model.
func loadOf(model buckthorndyke.ModelID) buckthorndyke.Order {
	return buckthorndyke.Order{
		FencingToken: 3, ID: buckthorndyke.OrderID("late-" + model), Kind: buckthorndyke.OrderLoad, MemoryMB: modelMB, Model: model,
	}
}

// withdraw returns v with the replica slot of model withdrawn.
func withdraw(v steward.View, model buckthorndyke.ModelID) steward.View {
	p, _ := v.State.Placements.Get(model)
	v.State = v.State.WithPlacement(p.WithSlot(buckthorndyke.ReplicaSlot{Runner: runner, Withdrawn: true}))
	return v
}
