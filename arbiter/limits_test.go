package arbiter_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/arbiter"
	"github.com/buckthorndyke/buckthorndyke/asserter"
)

func TestApplyRenewal(t *testing.T) {
	t.Run("an owner that renews its ownership with other successors keeps the previous owner", func(t *testing.T) {
		m := newMachine(t, join("a", 1), join("b", 1), take("b", 1, "r", 0, "a"), take("a", 1, "r", 3, "b"))
		m.assertAccepted(take("a", 1, "r", 4))
		o, _ := m.state.OwnershipOf("r")
		asserter.Equal(t, o.PreviousOwner, "b")
		asserter.Equal(t, o.Epoch, 5)
		m.assertRejected(release("b"))
	})
	t.Run("a draining member cannot become the next owner", func(t *testing.T) {
		m := newMachine(t, join("a", 1), join("b", 1), take("a", 1, "r", 0), leave("b", 1, true))
		m.assertRejected(release("b"))
	})
}

func TestApplyLimits(t *testing.T) {
	t.Run("a record that was already applied changes nothing", func(t *testing.T) {
		m := newMachine(t, join("a", 1), join("b", 1))
		again, _ := m.arbiter.Apply(m.state, 1, 0, leave("a", 1, false))
		asserter.Equal(t, again.Members.Len(), 2)
		asserter.Equal(t, again.Offset, 2)
	})
	t.Run("an adapter cannot have a placement", func(t *testing.T) {
		m := newMachine(t, rules(0, "n 2\nm 2 n"), join("a", 1), take("a", 1, "r", 0))
		m.assertRejected(permit(0, "r"))
	})
	t.Run("a checkpoint that is ahead of its record is rejected", func(t *testing.T) {
		m := newMachine(t)
		ahead := buckthorndyke.State{}.WithOffset(1)
		m.assertRejected(propose("a", 1, buckthorndyke.CheckpointChange{State: ahead}))
		m.assertAccepted(propose("a", 1, buckthorndyke.CheckpointChange{State: ahead}))
	})
	t.Run("a quarantine keeps the higher crash count, and the oldest quarantine is dropped at the limit", func(t *testing.T) {
		m := newMachine(t)
		for i := range 1025 {
			m.assertAccepted(quarantine(fmt.Sprint("f", i), 3))
		}
		asserter.Equal(t, m.state.Quarantines.Len(), 1024)
		asserter.Equal(t, m.state.Quarantines.Has("f0"), false)
		m.assertAccepted(quarantine("f9", 1))
		q, _ := m.state.Quarantines.Get("f9")
		asserter.Equal(t, q.Crashes, 3)
	})
	t.Run("a long diff in an audit entry is truncated", func(t *testing.T) {
		long := strings.Split(strings.Repeat("+x ", 250), " ")
		a := arbiter.New(lineParser{}, arbiter.WithDiff(func(string, string) []string { return long }))
		s, _ := a.Apply(buckthorndyke.State{}, 1, 0, rules(0, "m 1"))
		entry, _ := s.Audit.Get(1)
		asserter.Equal(t, len(entry.Diff), 101)
		asserter.Equal(t, entry.Diff[100], "... and 151 more lines")
	})
}

func quarantine(f string, crashes int) buckthorndyke.Proposal {
	return propose("a", 1, buckthorndyke.QuarantineChange{
		Crashes: crashes, Fingerprint: buckthorndyke.Fingerprint(f), Model: "m",
	})
}
