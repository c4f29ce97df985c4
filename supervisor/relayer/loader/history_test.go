package loader

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
)

func TestHistory(t *testing.T) {
	list := func(ids ...buckthorndyke.RunnerID) buckthorndyke.Backends {
		var l buckthorndyke.Backends
		for _, id := range ids {
			l.Servers = l.Servers.With(id, buckthorndyke.Backend{ID: id})
		}
		return l
	}
	first, second, third := list("a"), list("a", "b"), list("b")
	h := history{}.with(first).with(second).with(third)
	t.Run("the difference between a kept list and the newest is returned", func(t *testing.T) {
		asserter.Equal(t, h.change(first.VersionTag(), third.VersionTag()).Removed, []buckthorndyke.RunnerID{"a"})
		asserter.Equal(t, len(h.change(second.VersionTag(), third.VersionTag()).Changed), 0)
	})
	t.Run("there is no difference for the newest list or an unknown one", func(t *testing.T) {
		asserter.True(t, h.change(third.VersionTag(), third.VersionTag()) == nil, "a difference is returned")
		asserter.True(t, h.change(77, third.VersionTag()) == nil, "a difference is returned")
		asserter.True(t, history{}.change(1, 2) == nil, "a difference is returned")
	})
	t.Run("there is no difference while the newest list is not the one seen last", func(t *testing.T) {
		asserter.True(t, h.change(first.VersionTag(), second.VersionTag()) == nil, "a difference is returned")
	})
	t.Run("old lists are dropped, and equal lists are kept once", func(t *testing.T) {
		more := h
		for range historyLimit {
			more = more.with(third)
		}
		asserter.Equal(t, len(more), 3)
		for _, id := range []buckthorndyke.RunnerID{"c", "d", "e", "f", "g", "h", "i"} {
			more = more.with(list(id))
		}
		asserter.Equal(t, len(more), historyLimit)
		asserter.True(t, more.change(first.VersionTag(), list("i").VersionTag()) == nil, "a difference is returned")
	})
}
