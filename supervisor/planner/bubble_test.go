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

// bubble is a test fixture in a synctest bubble. In place of a log and a follower, it
// applies proposals immediately and publishes the state.
type bubble struct {
	arbiter  *arbiter.Arbiter
	clock    buckthorndyke.Clock
	ctx      context.Context
	feed     *mailer.Feed[buckthorndyke.StateUpdate]
	liveness *mailer.Feed[buckthorndyke.Liveness]
	state    chan bubbleState
	t        *testing.T
}

// bubbleState is the mutable state of a bubble. It is taken from a channel of capacity 1
// and put back, so that one goroutine uses it at a time.
type bubbleState struct {
	logDown   bool
	proposals int
	// rejectAll makes all proposals be rejected.
	rejectAll bool
	state     buckthorndyke.State
}

func inBubble(t *testing.T, test func(b *bubble)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		b := &bubble{
			arbiter:  arbiter.New(parser.NewRules()),
			clock:    timekeeper.NewRealClock(),
			ctx:      ctx,
			feed:     mailer.NewFeed[buckthorndyke.StateUpdate](),
			liveness: mailer.NewFeed[buckthorndyke.Liveness](),
			state:    make(chan bubbleState, 1),
			t:        t,
		}
		b.state <- bubbleState{}
		standin.Start(ctx, b.feed, b.liveness)
		test(b)
	})
}

// Propose implements buckthorndyke.Proposer.
func (b *bubble) Propose(_ context.Context, c buckthorndyke.Change) (buckthorndyke.ProposalResult, error) {
	s := <-b.state
	s.proposals++
	if s.rejectAll {
		b.state <- s
		return buckthorndyke.ProposalResult{}, nil
	}
	var result buckthorndyke.ProposalResult
	offset := s.state.Offset + 1
	s.state, result = b.arbiter.Apply(s.state, offset, 0, buckthorndyke.Proposal{
		Change: c, ID: buckthorndyke.ProposalID(offset.String()), Incarnation: 1, Proposer: proposerOf(c),
	})
	b.state <- s
	b.publish()
	return result, nil
}

// Subscribe implements buckthorndyke.Follower.
func (b *bubble) Subscribe(ctx context.Context) <-chan buckthorndyke.StateUpdate {
	return b.feed.Subscribe(ctx)
}

func (b *bubble) accept(c buckthorndyke.Change) {
	b.t.Helper()
	result, err := b.Propose(b.ctx, c)
	asserter.NoError(b.t, err)
	asserter.True(b.t, result.Accepted, result.Reason)
}

func (b *bubble) applyRules(text string) {
	b.t.Helper()
	b.accept(buckthorndyke.RulesChange{Base: b.current().state.RulesVersion, Text: text})
}

// change modifies the state and publishes it.
func (b *bubble) change(f func(s *bubbleState)) {
	s := <-b.state
	f(&s)
	b.state <- s
	b.publish()
}

// confirmEvictions frees all withdrawn slots.
func (b *bubble) confirmEvictions() {
	b.t.Helper()
	s := b.current().state
	for model, placement := range s.Placements.All() {
		for _, slot := range placement.Slots() {
			o, _ := s.OwnershipOf(slot.Runner)
			if slot.Withdrawn {
				b.accept(buckthorndyke.FreeSlotChange{Epoch: o.Epoch, Model: model, Runner: slot.Runner})
			}
		}
	}
}

func (b *bubble) current() bubbleState {
	s := <-b.state
	b.state <- s
	return s
}

func (b *bubble) permitted(model buckthorndyke.ModelID) []buckthorndyke.RunnerID {
	placement, _ := b.current().state.Placements.Get(model)
	return placement.Permitted()
}

func (b *bubble) publish() {
	s := b.current()
	_ = b.feed.Publish(b.ctx, buckthorndyke.StateUpdate{CaughtUp: true, LogDown: s.logDown, State: s.state})
}

// start starts n planners on VMs that join and own one runner each.
func (b *bubble) start(n int, opts ...planner.Option) {
	b.t.Helper()
	for i := range n {
		vm := buckthorndyke.VMID(fmt.Sprint("v", i))
		b.accept(buckthorndyke.JoinChange{Member: buckthorndyke.Member{Incarnation: 1, VM: vm}})
		b.take(vm, buckthorndyke.RunnerID(fmt.Sprint("r", i)))
		opts := append([]planner.Option{planner.WithLiveness(fakeLiveness{b.liveness})}, opts...)
		self := buckthorndyke.Self{Incarnation: 1, VM: vm}
		standin.Start(b.ctx, planner.New(b, b, self, b.clock, opts...))
	}
}

func (b *bubble) take(vm buckthorndyke.VMID, runner buckthorndyke.RunnerID) {
	b.t.Helper()
	b.accept(buckthorndyke.TakeChange{Ownership: buckthorndyke.Ownership{
		Domain: buckthorndyke.DomainID("d" + runner), Incarnation: 1, MemoryMB: 100, Owner: vm, Runner: runner,
	}})
}

func (b *bubble) wait(d buckthorndyke.Millis) {
	<-b.clock.After(d)
	synctest.Wait()
}

// proposerOf returns the only VM that may propose c, or "" if any may.
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

// fakeLiveness is a buckthorndyke.LivenessReporter that publishes what the test sends.
type fakeLiveness struct {
	*mailer.Feed[buckthorndyke.Liveness]
}
