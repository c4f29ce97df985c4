package keeper_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/quarantiner"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/keeper"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

// world is the state of the store and of the VM's evidence. Only its task uses it.
type world struct {
	calls    int
	down     bool
	entries  map[buckthorndyke.Fingerprint]buckthorndyke.Millis
	evidence quarantiner.Evidence
}

// fakes implements buckthorndyke.QuarantineStore and buckthorndyke.CrashSource.
type fakes struct {
	box   *mailer.Mailbox[func(w *world)]
	clock buckthorndyke.Clock
}

// serve runs the task that owns w.
func (f fakes) serve(ctx context.Context, w *world) {
	for {
		select {
		case <-ctx.Done():
			return
		case do := <-f.box.Receive():
			do(w)
		}
	}
}

// ask runs do in the task of f and returns its result.
func ask[R any](ctx context.Context, f fakes, do func(w *world) R) (R, error) {
	return mailer.Ask(ctx, f.box, func(reply mailer.Reply[R]) func(w *world) {
		return func(w *world) { reply.Answer(do(w)) }
	})
}

// call counts a call to the store and runs do.
func (f fakes) call(ctx context.Context, do func(w *world)) error {
	down, err := ask(ctx, f, func(w *world) bool {
		w.calls++
		do(w)
		return w.down
	})
	if down {
		return errors.New("down")
	}
	return err
}

// CrashEvidence implements buckthorndyke.CrashSource.
func (f fakes) CrashEvidence(ctx context.Context) (buckthorndyke.CrashEvidence, bool, error) {
	out, err := ask(ctx, f, func(w *world) buckthorndyke.CrashEvidence { return w.evidence.Since(0, f.clock.Now()) })
	return out, true, err
}

// Drop implements buckthorndyke.QuarantineStore.
func (f fakes) Drop(ctx context.Context, fp buckthorndyke.Fingerprint) error {
	return f.call(ctx, func(w *world) { delete(w.entries, fp) })
}

// HandleCrashEvidence implements buckthorndyke.CrashSource.
func (f fakes) HandleCrashEvidence(ctx context.Context, e buckthorndyke.CrashEvidence) error {
	_, err := ask(ctx, f, func(w *world) struct{} {
		w.evidence = w.evidence.With(e, f.clock.Now())
		return struct{}{}
	})
	return err
}

// Load implements buckthorndyke.QuarantineStore.
func (f fakes) Load(ctx context.Context) ([]buckthorndyke.QuarantineNotice, error) {
	var out []buckthorndyke.QuarantineNotice
	err := f.call(ctx, func(w *world) {
		for fp, left := range w.entries {
			out = append(out, buckthorndyke.QuarantineNotice{Fingerprint: fp, Left: left})
		}
	})
	return out, err
}

// Put implements buckthorndyke.QuarantineStore.
func (f fakes) Put(ctx context.Context, n buckthorndyke.QuarantineNotice) error {
	return f.call(ctx, func(w *world) { w.entries[n.Fingerprint] = n.Left })
}

// fixture is a keeper in a synctest bubble.
type fixture struct {
	fakes
	ctx   context.Context
	t     *testing.T
	terms *mailer.Feed[buckthorndyke.Term]
}

// withFixture runs test with a keeper on a VM that does not lead.
func withFixture(t *testing.T, w *world, test func(f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		w.evidence = quarantiner.New()
		f := &fixture{
			ctx: ctx, fakes: fakes{box: mailer.NewMailbox[func(w *world)](), clock: timekeeper.NewRealClock()}, t: t,
			terms: mailer.NewFeed[buckthorndyke.Term](),
		}
		k := keeper.New(f.fakes, f.fakes, f.terms, f.clock, zerolog.Nop())
		go f.serve(ctx, w)
		go func() { _ = f.terms.Serve(ctx) }()
		go func() { _ = k.Serve(ctx) }()
		synctest.Wait()
		test(f)
	})
}

// calls returns the number of calls to the store.
func (f *fixture) calls() int {
	n, _ := ask(f.ctx, f.fakes, func(w *world) int { return w.calls })
	return n
}

// entries returns the number of quarantines in the store.
func (f *fixture) entries() int {
	n, _ := ask(f.ctx, f.fakes, func(w *world) int { return len(w.entries) })
	return n
}

// change changes the state.
func (f *fixture) change(do func(w *world)) {
	f.t.Helper()
	_, err := ask(f.ctx, f.fakes, func(w *world) struct{} {
		do(w)
		return struct{}{}
	})
	asserter.NoError(f.t, err)
}

// lead starts a term of the VM and waits until the keeper has acted on it.
func (f *fixture) lead() {
	f.t.Helper()
	asserter.NoError(f.t, f.terms.Publish(f.ctx, buckthorndyke.Term{Leading: true}))
	f.wait(2 * time.Second)
}

// quarantined reports whether the evidence quarantines the test's fingerprint.
func (f *fixture) quarantined() bool {
	got, _ := ask(f.ctx, f.fakes, func(w *world) bool {
		_, ok := w.evidence.Quarantined([]buckthorndyke.Fingerprint{"f"}, f.clock.Now())
		return ok
	})
	return got
}

// wait lets time pass.
func (f *fixture) wait(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// newWorld returns a state with quarantines in the store.
func newWorld(kept ...buckthorndyke.Fingerprint) *world {
	w := &world{entries: make(map[buckthorndyke.Fingerprint]buckthorndyke.Millis)}
	for _, fp := range kept {
		w.entries[fp] = minute
	}
	return w
}

// minute is how long the quarantines last.
const minute = 60 * buckthorndyke.Second

// TestKeeper guards against a request that ends servers again once all VMs have been
// stopped at the same time.
func TestKeeper(t *testing.T) {
	t.Run("a VM that starts loads the quarantines, with one call", func(t *testing.T) {
		withFixture(t, newWorld("f"), func(f *fixture) {
			asserter.True(t, f.quarantined(), "the kept quarantine is not in force")
			f.wait(time.Minute / 2)
			asserter.Equal(t, f.calls(), 1)
		})
	})
	t.Run("the load is repeated until the store responds", func(t *testing.T) {
		w := newWorld("f")
		w.down = true
		withFixture(t, w, func(f *fixture) {
			f.wait(10 * time.Second)
			asserter.True(t, !f.quarantined() && f.calls() <= 5, "too many calls to a store that is down")
			f.change(func(w *world) { w.down = false })
			f.wait(20 * time.Second)
			asserter.True(t, f.quarantined(), "the kept quarantine is not in force")
		})
	})
	t.Run("the leader alone writes a new quarantine, once, and removes one that has ended", func(t *testing.T) {
		withFixture(t, newWorld(), func(f *fixture) {
			asserter.NoError(t, f.HandleCrashEvidence(f.ctx, buckthorndyke.CrashEvidence{
				Quarantines: []buckthorndyke.QuarantineNotice{{Fingerprint: "f", Left: minute}},
			}))
			f.wait(2 * time.Second)
			asserter.Equal(t, f.entries(), 0)
			f.lead()
			asserter.Equal(t, f.entries(), 1)
			calls := f.calls()
			f.wait(10 * time.Second)
			asserter.Equal(t, f.calls(), calls)
			f.wait(time.Minute)
			asserter.Equal(t, f.entries(), 0)
		})
	})
	t.Run("a leader that renews its grant often writes a new quarantine", func(t *testing.T) {
		withFixture(t, newWorld(), func(f *fixture) {
			f.lead()
			asserter.NoError(t, f.HandleCrashEvidence(f.ctx, buckthorndyke.CrashEvidence{
				Quarantines: []buckthorndyke.QuarantineNotice{{Fingerprint: "f", Left: minute}},
			}))
			for range 10 {
				asserter.NoError(t, f.terms.Publish(f.ctx, buckthorndyke.Term{Leading: true}))
				f.wait(300 * time.Millisecond)
			}
			asserter.Equal(t, f.entries(), 1)
		})
	})
	t.Run("a new leader loads what its predecessor has written", func(t *testing.T) {
		withFixture(t, newWorld(), func(f *fixture) {
			f.change(func(w *world) { w.entries["f"] = minute })
			f.lead()
			asserter.True(t, f.quarantined(), "the kept quarantine is not in force")
			asserter.Equal(t, f.entries(), 1)
		})
	})
	t.Run("a leader writes the quarantines again that a restored store has lost", func(t *testing.T) {
		withFixture(t, newWorld(), func(f *fixture) {
			f.lead()
			asserter.NoError(t, f.HandleCrashEvidence(f.ctx, buckthorndyke.CrashEvidence{
				Quarantines: []buckthorndyke.QuarantineNotice{{Fingerprint: "f", Left: minute}},
			}))
			f.wait(2 * time.Second)
			asserter.Equal(t, f.entries(), 1)
			f.change(func(w *world) { clear(w.entries) })
			// The restore has ended the term, and the same VM leads again.
			asserter.NoError(t, f.terms.Publish(f.ctx, buckthorndyke.Term{FencingToken: 7, Leading: true}))
			f.wait(2 * time.Second)
			asserter.Equal(t, f.entries(), 1)
		})
	})
}
