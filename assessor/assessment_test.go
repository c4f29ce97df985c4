package assessor_test

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/assessor"
)

const now = 100 * buckthorndyke.Second

func TestSuspects(t *testing.T) {
	t.Run("a server that fails all requests is suspect", func(t *testing.T) {
		assertSuspects(t, withAttempts(assessor.Assessment{}, "a", 3, 0, now), now, "a")
	})
	t.Run("single failures are ignored", func(t *testing.T) {
		assertSuspects(t, withAttempts(assessor.Assessment{}, "a", 2, 0, now), now)
	})
	t.Run("a server that fails some of many requests is not suspect", func(t *testing.T) {
		assertSuspects(t, withAttempts(assessor.Assessment{}, "a", 4, 24, now), now)
	})
	t.Run("a server that fails half of its requests is suspect", func(t *testing.T) {
		assertSuspects(t, withAttempts(assessor.Assessment{}, "a", 5, 5, now), now, "a")
	})
	t.Run("failures long ago do not count", func(t *testing.T) {
		a := withAttempts(assessor.Assessment{}, "a", 2, 0, now)
		assertSuspects(t, withAttempts(a, "a", 2, 0, now+6000), now+6000)
		assertSuspects(t, withAttempts(a, "a", 2, 0, now+100), now+100, "a")
	})
	t.Run("a suspicion ends", func(t *testing.T) {
		a := withAttempts(assessor.Assessment{}, "a", 3, 0, now)
		assertSuspects(t, a, now+1999, "a")
		assertSuspects(t, a, now+2000)
	})
	t.Run("a server that fails again is suspect for longer", func(t *testing.T) {
		a := withAttempts(assessor.Assessment{}, "a", 3, 0, now)
		a = withAttempts(a, "a", 3, 0, now+2100)
		assertSuspects(t, a, now+6000, "a")
		assertSuspects(t, a, now+6100)
	})
	t.Run("no more than half of a service is suspect", func(t *testing.T) {
		a := assessor.Assessment{}
		for i, id := range []buckthorndyke.RunnerID{"a", "b", "c", "d"} {
			a = withAttempts(a, id, 4, 0, now+buckthorndyke.Millis(i))
		}
		assertSuspects(t, a, now+10, "d", "c")
	})
	t.Run("a server that is no longer listed is dropped", func(t *testing.T) {
		a := withAttempts(assessor.Assessment{}, "a", 3, 0, now).WithoutUnlisted(buckthorndyke.Backends{})
		assertSuspects(t, a, now)
	})
}

// assertSuspects reports an error unless just the servers in want are suspect, out of
// four servers of one service.
func assertSuspects(t *testing.T, a assessor.Assessment, at buckthorndyke.Millis, want ...buckthorndyke.RunnerID) {
	t.Helper()
	var list buckthorndyke.Backends
	for _, id := range []buckthorndyke.RunnerID{"a", "b", "c", "d"} {
		list.Servers = list.Servers.With(id, buckthorndyke.Backend{ID: id, Service: "desk"})
	}
	asserter.Equal(t, a.Suspects(list, at), want)
}

// withAttempts returns a with attempt counts of a server.
func withAttempts(
	a assessor.Assessment, id buckthorndyke.RunnerID, failed, served int, at buckthorndyke.Millis,
) assessor.Assessment {
	return a.WithAttemptCounts([]buckthorndyke.AttemptCounts{{Failed: failed, Served: served, Server: id}}, at)
}
