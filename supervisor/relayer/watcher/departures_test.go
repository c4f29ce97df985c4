package watcher_test

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
)

// TestDepartures guards against servers that have left, that a store restored from an older
// copy lists again, and that get requests.
func TestDepartures(t *testing.T) {
	const gone = int64(-1)
	// list returns a list of another server and of the server "a", unless heartbeats is gone.
	list := func(era, heartbeats int64, change ...func(b *buckthorndyke.Backend)) buckthorndyke.Backends {
		out := listOf(buckthorndyke.Backend{Heartbeats: 1, ID: "other", Incarnation: 1})
		out.Era = era
		if heartbeats != gone {
			b := buckthorndyke.Backend{Heartbeats: heartbeats, ID: "a", Incarnation: 1}
			for _, c := range change {
				c(&b)
			}
			out.Servers = out.Servers.With(b.ID, b)
		}
		return out
	}
	t.Run("a server that has left is not listed by an older copy", func(t *testing.T) {
		assertListed(t, runBackends(t, list(1, 5), list(1, gone), list(2, 3), list(2, 3), list(2, gone)), false, false, false, false)
	})
	t.Run("nor if the copy has a later entry than the VM has read", func(t *testing.T) {
		assertListed(t, runBackends(t, list(1, 5), list(1, gone), list(2, 6), list(2, 6)), false, false, false)
	})
	t.Run("a server that was listed as leaving is not listed as ready", func(t *testing.T) {
		leaving := func(b *buckthorndyke.Backend) { b.Leaving = true }
		got := runBackends(t, list(1, 5), list(1, 6, leaving), list(2, 5))
		a, _ := got[2].Servers.Get("a")
		asserter.True(t, a.Leaving, "an older entry has replaced a newer one")
	})
	t.Run("a server that sends heartbeats is listed again", func(t *testing.T) {
		assertListed(t, runBackends(t, list(1, 5), list(1, gone), list(2, 6), list(2, 7)), false, false, true)
	})
	t.Run("a server's new incarnation is listed at once", func(t *testing.T) {
		again := list(2, 1, func(b *buckthorndyke.Backend) { b.Incarnation = 2 })
		assertListed(t, runBackends(t, list(1, 5), list(1, gone), again), false, true)
	})
	t.Run("without a restore a server is listed again at once", func(t *testing.T) {
		assertListed(t, runBackends(t, list(1, 5), list(1, gone), list(1, 6)), false, true)
	})
	t.Run("a store without eras lists a server again at once", func(t *testing.T) {
		assertListed(t, runBackends(t, list(0, 5), list(0, gone), list(0, 6)), false, true)
	})
	t.Run("a server that the copy lacks is kept until it may have written again", func(t *testing.T) {
		got := runBackends(t, list(1, 5), list(2, gone), list(2, gone), list(2, gone), list(2, gone))
		assertListed(t, got, true)
		asserter.True(t, !got[len(got)-1].Servers.Has("a"), "the server is kept for too long")
	})
	t.Run("a second restore is noticed too", func(t *testing.T) {
		assertListed(t, runBackends(t, list(1, 5), list(1, gone), list(2, gone), list(3, 6), list(3, 6)), false, false, false, false)
	})
}

// assertListed checks in which of the lists after the first one the server "a" is.
func assertListed(t *testing.T, lists []buckthorndyke.Backends, want ...bool) {
	t.Helper()
	asserter.True(t, len(lists) > len(want), "too few lists were published")
	for i, listed := range want {
		asserter.Equal(t, lists[i+1].Servers.Has("a"), listed)
	}
}
