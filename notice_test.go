package buckthorndyke_test

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
)

func TestBackendsVersionTag(t *testing.T) {
	a := buckthorndyke.Backend{Address: "10.0.0.1:1", ID: "a", Incarnation: 1, Service: "x"}
	b := buckthorndyke.Backend{Address: "10.0.0.2:1", ID: "b", Incarnation: 1, Service: "x"}
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
		asserter.True(t, list(a, b).VersionTag() != list(a, changed).VersionTag(), "the version tags are equal")
	}
	t.Run("does not depend on the order of the servers", func(t *testing.T) {
		asserter.Equal(t, list(a, b).VersionTag(), list(b, a).VersionTag())
	})
	t.Run("does not depend on loaded models and heartbeats", func(t *testing.T) {
		other := b
		other.Heartbeats, other.LoadedModels = 7, []buckthorndyke.LoadedModel{{Model: "m"}}
		asserter.Equal(t, list(a, b).VersionTag(), list(a, other).VersionTag())
	})
	t.Run("changes if a server is added, moves, is leaving or restarts", func(t *testing.T) {
		asserter.True(t, list(a, b).VersionTag() != list(a).VersionTag(), "the version tags are equal")
		assertDiffers(t, func(b *buckthorndyke.Backend) { b.Leaving = true })
		assertDiffers(t, func(b *buckthorndyke.Backend) { b.Incarnation = 2 })
		assertDiffers(t, func(b *buckthorndyke.Backend) { b.Address = "10.0.0.3:1" })
	})
	t.Run("applying a change gives the other list", func(t *testing.T) {
		leaving := b
		leaving.Leaving = true
		c := buckthorndyke.Backend{Address: "10.0.0.3:1", ID: "c", Incarnation: 1, Service: "x"}
		previous, current := list(a, b), list(leaving, c)
		change := current.ChangesSince(previous)
		asserter.Equal(t, len(change.Changed), 2)
		asserter.Equal(t, change.Removed, []buckthorndyke.RunnerID{"a"})
		asserter.Equal(t, previous.WithChange(change, 7).VersionTag(), current.VersionTag())
		asserter.Equal(t, previous.WithChange(change, 7).At, 7)
	})
	t.Run("of an empty list is not 0", func(t *testing.T) {
		asserter.True(t, list().VersionTag() != 0, "the version tag is 0")
	})
}
