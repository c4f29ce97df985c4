package planner_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/arbiter"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/parser"
	"github.com/buckthorndyke/buckthorndyke/standin"
	"github.com/buckthorndyke/buckthorndyke/supervisor/planner"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

// world folds proposals at once, in place of the log, and publishes the state.
type world struct {
	arbiter  *arbiter.Arbiter
	clock    buckthorndyke.Clock
	ctx      context.Context
	feed     *mailer.Feed[buckthorndyke.StateUpdate]
	liveness *mailer.Feed[buckthorndyke.Liveness]
	held     chan holding
	t        *testing.T
}

// holding is the state of a world. Its channel hands it from one user to the
// next.
type holding struct {
	down      bool
	proposals int
	// rejects makes all proposals of planners fail.
	rejects bool
	state   buckthorndyke.State
}

func inWorld(t *testing.T, test func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		w := &world{
			arbiter:  arbiter.New(parser.NewRules()),
			clock:    timekeeper.NewRealClock(),
			ctx:      ctx,
			feed:     mailer.NewFeed[buckthorndyke.StateUpdate](),
			held:     make(chan holding, 1),
			liveness: mailer.NewFeed[buckthorndyke.Liveness](),
			t:        t,
		}
		w.held <- holding{}
		standin.Start(ctx, w.feed, w.liveness)
		test(w)
	})
}

// Propose implements buckthorndyke.Proposer.
func (w *world) Propose(_ context.Context, c buckthorndyke.Change) (buckthorndyke.ProposalResult, error) {
	h := <-w.held
	h.proposals++
	if h.rejects {
		w.held <- h
		return buckthorndyke.ProposalResult{}, nil
	}
	var ruling buckthorndyke.ProposalResult
	offset := h.state.Offset + 1
	h.state, ruling = w.arbiter.Apply(h.state, offset, 0, buckthorndyke.Proposal{
		Change: c, ID: buckthorndyke.ProposalID(offset.String()), Incarnation: 1, Proposer: proposerOf(c),
	})
	w.held <- h
	w.publish()
	return ruling, nil
}

// Subscribe implements buckthorndyke.Follower.
func (w *world) Subscribe(ctx context.Context) <-chan buckthorndyke.StateUpdate {
	return w.feed.Subscribe(ctx)
}

func (w *world) accept(c buckthorndyke.Change) {
	w.t.Helper()
	ruling, err := w.Propose(w.ctx, c)
	asserter.NoError(w.t, err)
	asserter.True(w.t, ruling.Accepted, ruling.Reason)
}

func (w *world) apply(text string) {
	w.t.Helper()
	w.accept(buckthorndyke.RulesChange{Base: w.peek().state.RulesVersion, Text: text})
}

// change changes what the world holds.
func (w *world) change(f func(h *holding)) {
	h := <-w.held
	f(&h)
	w.held <- h
	w.publish()
}

// free confirms all evictions.
func (w *world) free() {
	w.t.Helper()
	s := w.peek().state
	for model, placement := range s.Placements.All() {
		for _, slot := range placement.Slots() {
			o, _ := s.OwnershipOf(slot.Runner)
			if slot.Withdrawn {
				w.accept(buckthorndyke.FreeSlotChange{Epoch: o.Epoch, Model: model, Runner: slot.Runner})
			}
		}
	}
}

func (w *world) peek() holding {
	h := <-w.held
	w.held <- h
	return h
}

func (w *world) permitted(model buckthorndyke.ModelID) []buckthorndyke.RunnerID {
	placement, _ := w.peek().state.Placements.Get(model)
	return placement.Permitted()
}

func (w *world) publish() {
	h := w.peek()
	_ = w.feed.Publish(w.ctx, buckthorndyke.StateUpdate{CaughtUp: true, LogDown: h.down, State: h.state})
}

// start has VMs join, own one runner each, and plan.
func (w *world) start(n int, opts ...planner.Option) {
	w.t.Helper()
	for i := range n {
		vm := buckthorndyke.VMID(fmt.Sprint("v", i))
		w.accept(buckthorndyke.JoinChange{Member: buckthorndyke.Member{Incarnation: 1, VM: vm}})
		w.take(vm, buckthorndyke.RunnerID(fmt.Sprint("r", i)))
		opts := append([]planner.Option{planner.WithLiveness(suspicions{w.liveness})}, opts...)
		self := buckthorndyke.Self{Incarnation: 1, VM: vm}
		standin.Start(w.ctx, planner.New(w, w, self, w.clock, opts...))
	}
}

func (w *world) take(vm buckthorndyke.VMID, runner buckthorndyke.RunnerID) {
	w.t.Helper()
	w.accept(buckthorndyke.TakeChange{Ownership: buckthorndyke.Ownership{
		Domain: buckthorndyke.DomainID("d" + runner), Incarnation: 1, MemoryMB: 100, Owner: vm, Runner: runner,
	}})
}

func (w *world) wait(d buckthorndyke.Millis) {
	<-w.clock.After(d)
	synctest.Wait()
}

// proposerOf returns the VM that alone may propose c, if there is one.
func proposerOf(c buckthorndyke.Change) buckthorndyke.VMID {
	switch c := c.(type) {
	case buckthorndyke.FreeSlotChange:
		return buckthorndyke.VMID("v" + c.Runner[1:])
	case buckthorndyke.JoinChange:
		return c.Member.VM
	case buckthorndyke.TakeChange:
		return c.Ownership.Owner
	default:
		return ""
	}
}

// suspicions reports what the test publishes.
type suspicions struct {
	*mailer.Feed[buckthorndyke.Liveness]
}
