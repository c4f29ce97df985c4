package buckthorndyke_test

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
)

func TestMark(t *testing.T) {
	a := buckthorndyke.Backend{Address: "10.0.0.1:1", ID: "a", Service: "x", Incarnation: 1}
	b := buckthorndyke.Backend{Address: "10.0.0.2:1", ID: "b", Service: "x", Incarnation: 1}
	list := func(all ...buckthorndyke.Backend) buckthorndyke.Backends {
		var l buckthorndyke.Backends
		for _, b := range all {
			l.Servers = l.Servers.With(b.ID, b)
		}
		return l
	}
	assertDiffers := func(t *testing.T, change func(b *buckthorndyke.Backend)) {
		t.Helper()
		changed := b
		change(&changed)
		asserter.True(t, list(a, b).VersionTag() != list(a, changed).VersionTag(), "the mark is the same")
	}
	t.Run("the order of the servers does not count", func(t *testing.T) {
		asserter.Equal(t, list(a, b).VersionTag(), list(b, a).VersionTag())
	})
	t.Run("what a server holds and its heartbeats do not count", func(t *testing.T) {
		other := b
		other.Heartbeats, other.LoadedModels = 7, []buckthorndyke.LoadedModel{{Model: "m"}}
		asserter.Equal(t, list(a, b).VersionTag(), list(a, other).VersionTag())
	})
	t.Run("a server that comes, leaves or begins anew counts", func(t *testing.T) {
		asserter.True(t, list(a, b).VersionTag() != list(a).VersionTag(), "the mark is the same")
		assertDiffers(t, func(b *buckthorndyke.Backend) { b.Leaving = true })
		assertDiffers(t, func(b *buckthorndyke.Backend) { b.Incarnation = 2 })
		assertDiffers(t, func(b *buckthorndyke.Backend) { b.Address = "10.0.0.3:1" })
	})
	t.Run("a change leads from one list to another", func(t *testing.T) {
		leaving := b
		leaving.Leaving = true
		c := buckthorndyke.Backend{Address: "10.0.0.3:1", ID: "c", Service: "x", Incarnation: 1}
		was, is := list(a, b), list(leaving, c)
		change := is.ChangesSince(was)
		asserter.Equal(t, len(change.Changed), 2)
		asserter.Equal(t, change.Removed, []buckthorndyke.RunnerID{"a"})
		asserter.Equal(t, was.WithChange(change, 7).VersionTag(), is.VersionTag())
		asserter.Equal(t, was.WithChange(change, 7).At, 7)
	})
	t.Run("an empty list has a mark", func(t *testing.T) {
		asserter.True(t, list().VersionTag() != 0, "the mark is that of nothing")
	})
}
