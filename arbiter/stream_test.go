package arbiter_test

import (
	"fmt"
	"math/rand/v2"

	"github.com/buckthorndyke/buckthorndyke"
)

// maxLag bounds the number of records by which a proposer's state lags behind.
const maxLag = 4

var (
	testModels  = []buckthorndyke.ModelID{"m", "n"}
	testRunners = []buckthorndyke.RunnerID{"p", "q", "r"}
	testVMs     = []buckthorndyke.VMID{"a", "b", "c"}
)

// stream is a generated control stream with concurrent proposers: each proposal is
// based on a state that may be out of date.
type stream struct {
	random  *rand.Rand
	records []buckthorndyke.Proposal
	states  []buckthorndyke.State
}

// newStream returns the stream generated from seed, with the states that apply yields.
func newStream(apply applyFunc, seed int64) *stream {
	s := &stream{
		random: rand.New(rand.NewPCG(uint64(seed), propertySeed)),
		states: []buckthorndyke.State{{}},
	}
	for offset := buckthorndyke.Offset(1); offset <= streamLength; offset++ {
		p := s.propose(int(offset))
		next, _ := apply(s.states[len(s.states)-1], offset, p)
		s.records = append(s.records, p)
		s.states = append(s.states, next)
	}
	return s
}

// propose returns the next record: a new proposal or an earlier one appended again.
func (s *stream) propose(n int) buckthorndyke.Proposal {
	if len(s.records) > 0 && s.random.IntN(8) == 0 {
		return s.records[s.random.IntN(len(s.records))]
	}
	view := s.states[max(0, len(s.states)-1-s.random.IntN(maxLag))]
	vm := pick(s.random, testVMs)
	m, ok := view.Members.Get(vm)
	if !ok {
		m = buckthorndyke.Member{Incarnation: buckthorndyke.Incarnation(n), VM: vm}
	}
	p := buckthorndyke.Proposal{
		Change:      s.change(view, m, ok),
		ID:          buckthorndyke.ProposalID(fmt.Sprint("p", n)),
		Incarnation: m.Incarnation,
		Proposer:    vm,
	}
	if o, ok := ownershipIn(view, p.Change); ok && s.random.IntN(4) > 0 {
		p.Proposer, p.Incarnation = o.Owner, o.Incarnation
	}
	return p
}

// change returns a random change that m could propose when it knows the state view.
func (s *stream) change(view buckthorndyke.State, m buckthorndyke.Member, joined bool) buckthorndyke.Change {
	runner, model := pick(s.random, testRunners), pick(s.random, testModels)
	o, _ := view.Ownerships.Get(runner)
	placement, _ := view.Placements.Get(model)
	kind := s.random.IntN(10)
	if !joined {
		kind = 0
	}
	switch kind {
	case 0:
		return buckthorndyke.JoinChange{Member: m}
	case 1:
		if s.random.IntN(3) > 0 {
			return s.free(view)
		}
		vm := pick(s.random, testVMs)
		other, _ := view.Members.Get(vm)
		return buckthorndyke.LeaveChange{Draining: s.random.IntN(2) == 0, Incarnation: other.Incarnation, VM: vm}
	case 2:
		text := fmt.Sprintf("m %d\nn %d", 1+s.random.IntN(3), 1+s.random.IntN(3))
		return buckthorndyke.RulesChange{Base: view.RulesVersion, Text: text}
	case 3, 4:
		return buckthorndyke.TakeChange{Base: o.Epoch, Ownership: buckthorndyke.Ownership{
			Incarnation: m.Incarnation, Owner: m.VM, Runner: runner, Successors: testVMs[:1+s.random.IntN(2)],
		}}
	case 5:
		return buckthorndyke.ReleaseChange{Epoch: o.Epoch, NextOwner: pick(s.random, append(testVMs, "")), Runner: runner}
	case 6, 7:
		return buckthorndyke.PermitChange{
			Base: placement.Version, Model: model, Runners: testRunners[:1+s.random.IntN(len(testRunners))],
		}
	case 8:
		return buckthorndyke.WithdrawChange{Base: placement.Version, Model: model, Runner: runner}
	default:
		return s.free(view)
	}
}

// free returns a change that frees a slot, preferably a withdrawn one.
func (s *stream) free(view buckthorndyke.State) buckthorndyke.Change {
	model, runner := pick(s.random, testModels), pick(s.random, testRunners)
	for _, placement := range view.Placements.All() {
		for _, slot := range placement.Slots() {
			if slot.Withdrawn {
				model, runner = placement.Model, slot.Runner
			}
		}
	}
	o, _ := view.Ownerships.Get(runner)
	return buckthorndyke.FreeSlotChange{Epoch: o.Epoch, Model: model, Runner: runner}
}

// ownershipIn returns the ownership in view of the runner of c, if only the owner of
// the runner may propose c.
func ownershipIn(view buckthorndyke.State, c buckthorndyke.Change) (buckthorndyke.Ownership, bool) {
	switch c := c.(type) {
	case buckthorndyke.FreeSlotChange:
		return view.Ownerships.Get(c.Runner)
	case buckthorndyke.ReleaseChange:
		return view.Ownerships.Get(c.Runner)
	default:
		return buckthorndyke.Ownership{}, false
	}
}

func pick[V any](random *rand.Rand, from []V) V {
	return from[random.IntN(len(from))]
}
