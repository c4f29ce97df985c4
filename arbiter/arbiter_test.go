package arbiter_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/arbiter"
	"github.com/buckthorndyke/buckthorndyke/asserter"
)

func TestFoldOwnership(t *testing.T) {
	t.Run("a successor takes over from a member, another VM does not", func(t *testing.T) {
		f := newFold(t, join("a", 1), join("b", 1), join("c", 1), take("a", 1, "r", 0, "b"))
		f.assertRejected(take("c", 1, "r", 4, "a"))
		f.assertAccepted(take("b", 1, "r", 4, "c"))
		o, _ := f.state.OwnershipOf("r")
		asserter.Equal(t, o.Owner, "b")
		asserter.Equal(t, o.PreviousOwner, "a")
		asserter.Equal(t, o.Epoch, f.state.Offset)
	})
	t.Run("a take that is based on an old epoch is rejected", func(t *testing.T) {
		f := newFold(t, join("a", 1), join("b", 1), take("a", 1, "r", 0, "b"), take("b", 1, "r", 3, "a"))
		f.assertRejected(take("a", 1, "r", 3, "b"))
	})
	t.Run("ownerships of an earlier life lapse", func(t *testing.T) {
		f := newFold(t, join("a", 1), join("b", 1), take("a", 1, "r", 0))
		f.assertRejected(take("b", 1, "r", 3))
		f.assertAccepted(join("a", 2))
		f.assertRejected(take("a", 1, "r", 3))
		f.assertAccepted(take("b", 1, "r", 3))
	})
	t.Run("a released runner has no previous owner", func(t *testing.T) {
		f := newFold(t, join("a", 1), join("b", 1), take("a", 1, "r", 0))
		f.assertAccepted(release(""))
		f.assertRejected(release(""))
		f.assertAccepted(take("b", 1, "r", 3))
		o, _ := f.state.OwnershipOf("r")
		asserter.Equal(t, o.PreviousOwner, "")
	})
	t.Run("the previous owner's word that no order is outstanding counts, another's does not", func(t *testing.T) {
		f := newFold(t, join("a", 1), join("b", 1), take("a", 1, "r", 0, "b"), take("b", 1, "r", 3))
		o, _ := f.state.OwnershipOf("r")
		asserter.Equal(t, o.PreviousOwner, "a")
		f.assertRejected(releaseBy("b", "r", 3))
		f.assertRejected(releaseBy("a", "r", o.Epoch))
		f.assertAccepted(releaseBy("a", "r", 3))
		o, _ = f.state.OwnershipOf("r")
		asserter.Equal(t, o.PreviousOwner, "")
		asserter.Equal(t, o.OwnedBy("b", 1), true)
		f.assertRejected(releaseBy("a", "r", 3))
	})
	t.Run("a handover raises the epoch", func(t *testing.T) {
		f := newFold(t, join("a", 1), join("b", 7), take("a", 1, "r", 0, "b"))
		f.assertRejected(release("nobody"))
		f.assertAccepted(release("b"))
		o, _ := f.state.OwnershipOf("r")
		asserter.Equal(t, o.OwnedBy("b", 7), true)
		asserter.Equal(t, o.Epoch, f.state.Offset)
		f.assertRejected(take("b", 7, "r", 3))
	})
	t.Run("a draining member takes nothing", func(t *testing.T) {
		f := newFold(t, join("a", 1), leave("a", 1, true))
		f.assertRejected(take("a", 1, "r", 0))
		f.assertAccepted(join("a", 1))
		f.assertRejected(take("a", 1, "r", 0))
	})
}

func TestFoldMembers(t *testing.T) {
	t.Run("an older life neither joins nor removes the later one", func(t *testing.T) {
		f := newFold(t, join("a", 2))
		f.assertRejected(join("a", 1))
		f.assertRejected(leave("a", 1, false))
		f.assertAccepted(leave("a", 2, false))
		asserter.Equal(t, f.state.Members.Has("a"), false)
	})
	t.Run("only the VM itself joins", func(t *testing.T) {
		f := newFold(t)
		p := join("a", 1)
		p.Proposer = "b"
		f.assertRejected(p)
	})
}

func TestFoldPlacement(t *testing.T) {
	setUp := func(t *testing.T) *fold {
		return newFold(
			t, rules(0, "m 2\nn 1"), join("a", 1), take("a", 1, "r", 0), take("a", 1, "q", 0), take("a", 1, "p", 0),
		)
	}
	t.Run("a permission that moves counts until the eviction is confirmed", func(t *testing.T) {
		f := setUp(t)
		f.assertAccepted(permit(0, "r", "q"))
		v := f.state.Offset
		f.assertRejected(permit(v, "p"))
		f.assertAccepted(withdraw(v, "r"))
		v = f.state.Offset
		f.assertRejected(permit(v, "p"))
		f.assertRejected(freeSlot(4))
		f.assertAccepted(freeSlot(3))
		f.assertAccepted(permit(f.state.Offset, "p"))
	})
	t.Run("an old base is rejected", func(t *testing.T) {
		f := setUp(t)
		f.assertAccepted(permit(0, "r"))
		f.assertRejected(permit(0, "q"))
		f.assertRejected(withdraw(0, "r"))
	})
	t.Run("a slot that is not withdrawn is not freed", func(t *testing.T) {
		f := setUp(t)
		f.assertAccepted(permit(0, "r"))
		f.assertRejected(freeSlot(3))
	})
	t.Run("a model that is gone from the rules gets no permit and its placement ends", func(t *testing.T) {
		f := setUp(t)
		f.assertAccepted(permit(0, "r"))
		f.assertAccepted(rules(1, "n 1"))
		f.assertRejected(permit(f.state.Offset-1, "q"))
		f.assertAccepted(withdraw(f.state.Offset-2, "r"))
		f.assertAccepted(freeSlot(3))
		asserter.Equal(t, f.state.Placements.Has("m"), false)
	})
}

func TestFoldRules(t *testing.T) {
	t.Run("of two operators who race one wins, and both are audited", func(t *testing.T) {
		f := newFold(t, rules(0, "m 1"))
		f.assertAccepted(rules(1, "m 2"))
		f.assertRejected(rules(1, "m 3"))
		asserter.Equal(t, f.state.RulesText, "m 2")
		asserter.Equal(t, f.state.RulesVersion, 2)
		asserter.Equal(t, f.state.Audit.Len(), 3)
		lost, _ := f.state.Audit.Get(3)
		asserter.Equal(t, lost.Accepted, false)
		asserter.Equal(t, strings.Join(lost.Diff, " "), "-m 2 +m 3")
	})
	t.Run("a text with faults changes nothing", func(t *testing.T) {
		f := newFold(t, rules(0, "m 1"))
		f.assertRejected(rules(1, "bad"))
		asserter.Equal(t, f.state.RulesVersion, 1)
	})
	t.Run("a proposal that was appended twice is ruled on once", func(t *testing.T) {
		f := newFold(t)
		p := rules(0, "m 1")
		f.assertAccepted(p)
		f.assertAccepted(p)
		asserter.Equal(t, f.state.RulesVersion, 1)
		asserter.Equal(t, f.state.Audit.Len(), 1)
	})
}

func TestFoldUnknown(t *testing.T) {
	t.Run("an unknown change is counted and changes nothing else", func(t *testing.T) {
		f := newFold(t, join("a", 1))
		f.assertRejected(propose("", 0, buckthorndyke.UnknownChange{Data: []byte{1}}))
		asserter.Equal(t, f.state.UnknownRecords, 1)
		asserter.Equal(t, f.state.Offset, 2)
		asserter.Equal(t, f.state.Members.Len(), 1)
	})
}

// fold applies proposals one after the other.
type fold struct {
	arbiter *arbiter.Arbiter
	state   buckthorndyke.State
	t       *testing.T
}

func newFold(t *testing.T, accepted ...buckthorndyke.Proposal) *fold {
	t.Helper()
	f := &fold{arbiter: newArbiter(), t: t}
	for _, p := range accepted {
		f.assertAccepted(p)
	}
	return f
}

func (f *fold) add(p buckthorndyke.Proposal) buckthorndyke.ProposalResult {
	var ruling buckthorndyke.ProposalResult
	f.state, ruling = f.arbiter.Apply(f.state, f.state.Offset+1, 0, p)
	return ruling
}

func (f *fold) assertAccepted(p buckthorndyke.Proposal) {
	f.t.Helper()
	if r := f.add(p); !r.Accepted {
		f.t.Fatalf("%T was rejected: %s", p.Change, r.Reason)
	}
}

func (f *fold) assertRejected(p buckthorndyke.Proposal) {
	f.t.Helper()
	r := f.add(p)
	if r.Accepted || r.Reason == "" {
		f.t.Fatalf("%T was accepted or rejected without a reason: %+v", p.Change, r)
	}
}

// lineParser reads a model, its replicas and, for an adapter, its base a line.
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
