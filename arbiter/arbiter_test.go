package arbiter_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/arbiter"
	"github.com/buckthorndyke/buckthorndyke/asserter"
)

func TestApplyOwnership(t *testing.T) {
	t.Run("a successor takes over from a member, another VM does not", func(t *testing.T) {
		m := newMachine(t, join("a", 1), join("b", 1), join("c", 1), take("a", 1, "r", 0, "b"))
		m.assertRejected(take("c", 1, "r", 4, "a"))
		m.assertAccepted(take("b", 1, "r", 4, "c"))
		o, _ := m.state.OwnershipOf("r")
		asserter.Equal(t, o.Owner, "b")
		asserter.Equal(t, o.PreviousOwner, "a")
		asserter.Equal(t, o.Epoch, m.state.Offset)
	})
	t.Run("a takeover based on an old epoch is rejected", func(t *testing.T) {
		m := newMachine(t, join("a", 1), join("b", 1), take("a", 1, "r", 0, "b"), take("b", 1, "r", 3, "a"))
		m.assertRejected(take("a", 1, "r", 3, "b"))
	})
	t.Run("ownerships of an earlier incarnation lapse", func(t *testing.T) {
		m := newMachine(t, join("a", 1), join("b", 1), take("a", 1, "r", 0))
		m.assertRejected(take("b", 1, "r", 3))
		m.assertAccepted(join("a", 2))
		m.assertRejected(take("a", 1, "r", 3))
		m.assertAccepted(take("b", 1, "r", 3))
	})
	t.Run("a released runner has no previous owner", func(t *testing.T) {
		m := newMachine(t, join("a", 1), join("b", 1), take("a", 1, "r", 0))
		m.assertAccepted(release(""))
		m.assertRejected(release(""))
		m.assertAccepted(take("b", 1, "r", 3))
		o, _ := m.state.OwnershipOf("r")
		asserter.Equal(t, o.PreviousOwner, "")
	})
	t.Run("only the previous owner can confirm that none of its orders is outstanding", func(t *testing.T) {
		m := newMachine(t, join("a", 1), join("b", 1), take("a", 1, "r", 0, "b"), take("b", 1, "r", 3))
		o, _ := m.state.OwnershipOf("r")
		asserter.Equal(t, o.PreviousOwner, "a")
		m.assertRejected(releaseBy("b", "r", 3))
		m.assertRejected(releaseBy("a", "r", o.Epoch))
		m.assertAccepted(releaseBy("a", "r", 3))
		o, _ = m.state.OwnershipOf("r")
		asserter.Equal(t, o.PreviousOwner, "")
		asserter.Equal(t, o.OwnedBy("b", 1), true)
		m.assertRejected(releaseBy("a", "r", 3))
	})
	t.Run("a release to the next owner raises the epoch", func(t *testing.T) {
		m := newMachine(t, join("a", 1), join("b", 7), take("a", 1, "r", 0, "b"))
		m.assertRejected(release("nobody"))
		m.assertAccepted(release("b"))
		o, _ := m.state.OwnershipOf("r")
		asserter.Equal(t, o.OwnedBy("b", 7), true)
		asserter.Equal(t, o.Epoch, m.state.Offset)
		m.assertRejected(take("b", 7, "r", 3))
	})
	t.Run("a draining member cannot take a runner", func(t *testing.T) {
		m := newMachine(t, join("a", 1), leave("a", 1, true))
		m.assertRejected(take("a", 1, "r", 0))
		m.assertAccepted(join("a", 1))
		m.assertRejected(take("a", 1, "r", 0))
	})
}

func TestApplyMembers(t *testing.T) {
	t.Run("an older incarnation can neither join nor remove a later one", func(t *testing.T) {
		m := newMachine(t, join("a", 2))
		m.assertRejected(join("a", 1))
		m.assertRejected(leave("a", 1, false))
		m.assertAccepted(leave("a", 2, false))
		asserter.Equal(t, m.state.Members.Has("a"), false)
	})
	t.Run("a VM cannot join on behalf of another", func(t *testing.T) {
		m := newMachine(t)
		p := join("a", 1)
		p.Proposer = "b"
		m.assertRejected(p)
	})
}

func TestApplyPlacement(t *testing.T) {
	setUp := func(t *testing.T) *machine {
		return newMachine(
			t, rules(0, "m 2\nn 1"), join("a", 1), take("a", 1, "r", 0), take("a", 1, "q", 0), take("a", 1, "p", 0),
		)
	}
	t.Run("a withdrawn permission counts towards the maximum until the eviction is confirmed", func(t *testing.T) {
		m := setUp(t)
		m.assertAccepted(permit(0, "r", "q"))
		v := m.state.Offset
		m.assertRejected(permit(v, "p"))
		m.assertAccepted(withdraw(v, "r"))
		v = m.state.Offset
		m.assertRejected(permit(v, "p"))
		m.assertRejected(freeSlot(4))
		m.assertAccepted(freeSlot(3))
		m.assertAccepted(permit(m.state.Offset, "p"))
	})
	t.Run("a change based on an old version is rejected", func(t *testing.T) {
		m := setUp(t)
		m.assertAccepted(permit(0, "r"))
		m.assertRejected(permit(0, "q"))
		m.assertRejected(withdraw(0, "r"))
	})
	t.Run("a slot that is not withdrawn cannot be freed", func(t *testing.T) {
		m := setUp(t)
		m.assertAccepted(permit(0, "r"))
		m.assertRejected(freeSlot(3))
	})
	t.Run("a model removed from the rules gets no permission, and its placement is removed with its last slot", func(t *testing.T) {
		m := setUp(t)
		m.assertAccepted(permit(0, "r"))
		m.assertAccepted(rules(1, "n 1"))
		m.assertRejected(permit(m.state.Offset-1, "q"))
		m.assertAccepted(withdraw(m.state.Offset-2, "r"))
		m.assertAccepted(freeSlot(3))
		asserter.Equal(t, m.state.Placements.Has("m"), false)
	})
}

func TestApplyRules(t *testing.T) {
	t.Run("one of two concurrent rules changes is accepted, and both are audited", func(t *testing.T) {
		m := newMachine(t, rules(0, "m 1"))
		m.assertAccepted(rules(1, "m 2"))
		m.assertRejected(rules(1, "m 3"))
		asserter.Equal(t, m.state.RulesText, "m 2")
		asserter.Equal(t, m.state.RulesVersion, 2)
		asserter.Equal(t, m.state.Audit.Len(), 3)
		lost, _ := m.state.Audit.Get(3)
		asserter.Equal(t, lost.Accepted, false)
		asserter.Equal(t, strings.Join(lost.Diff, " "), "-m 2 +m 3")
	})
	t.Run("rules that cannot be parsed change nothing", func(t *testing.T) {
		m := newMachine(t, rules(0, "m 1"))
		m.assertRejected(rules(1, "bad"))
		asserter.Equal(t, m.state.RulesVersion, 1)
	})
	t.Run("a proposal that was appended twice is applied once", func(t *testing.T) {
		m := newMachine(t)
		p := rules(0, "m 1")
		m.assertAccepted(p)
		m.assertAccepted(p)
		asserter.Equal(t, m.state.RulesVersion, 1)
		asserter.Equal(t, m.state.Audit.Len(), 1)
	})
}

func TestApplyUnknown(t *testing.T) {
	t.Run("an unknown change is counted and changes nothing else", func(t *testing.T) {
		m := newMachine(t, join("a", 1))
		m.assertRejected(propose("", 0, buckthorndyke.UnknownChange{Data: []byte{1}}))
		asserter.Equal(t, m.state.UnknownRecords, 1)
		asserter.Equal(t, m.state.Offset, 2)
		asserter.Equal(t, m.state.Members.Len(), 1)
	})
}

// machine is a replicated state machine: it applies proposals one after the other to
// its state.
type machine struct {
	arbiter *arbiter.Arbiter
	state   buckthorndyke.State
	t       *testing.T
}

func newMachine(t *testing.T, accepted ...buckthorndyke.Proposal) *machine {
	t.Helper()
	m := &machine{arbiter: newArbiter(), t: t}
	for _, p := range accepted {
		m.assertAccepted(p)
	}
	return m
}

func (m *machine) apply(p buckthorndyke.Proposal) buckthorndyke.ProposalResult {
	var result buckthorndyke.ProposalResult
	m.state, result = m.arbiter.Apply(m.state, m.state.Offset+1, 0, p)
	return result
}

func (m *machine) assertAccepted(p buckthorndyke.Proposal) {
	m.t.Helper()
	if r := m.apply(p); !r.Accepted {
		m.t.Fatalf("%T was rejected: %s", p.Change, r.Reason)
	}
}

func (m *machine) assertRejected(p buckthorndyke.Proposal) {
	m.t.Helper()
	r := m.apply(p)
	if r.Accepted || r.Reason == "" {
		m.t.Fatalf("%T was accepted or rejected without a reason: %+v", p.Change, r)
	}
}

// lineParser parses lines with a model, its replicas and, for an adapter, its base
// model.
type lineParser struct{}

func (lineParser) Parse(text string) (buckthorndyke.Rules, error) {
	var r buckthorndyke.Rules
	for line := range strings.Lines(text) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			return buckthorndyke.Rules{}, errors.New("line 1, column 1: expected two fields")
		}
		rule := buckthorndyke.ModelRule{ID: buckthorndyke.ModelID(fields[0]), Replicas: int(fields[1][0] - '0')}
		if len(fields) > 2 {
			rule.Base = buckthorndyke.ModelID(fields[2])
		}
		r = r.WithModel(rule)
	}
	return r, nil
}

func newArbiter() *arbiter.Arbiter {
	return arbiter.New(lineParser{}, arbiter.WithDiff(func(before, after string) []string {
		return []string{"-" + before, "+" + after}
	}))
}
