package endtoend

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/standin"
)

func TestProcesses(t *testing.T) {
	for name, ignoreFence := range map[string]bool{"runners check fences": false, "runners ignore fences": true} {
		t.Run(name, func(t *testing.T) {
			s := startFixture(t, ignoreFence)
			t.Run("a cold burst survives a kill", func(t *testing.T) { testKill(t, s) })
			t.Run("bookings survive a pause past the lease", func(t *testing.T) { testPause(t, s) })
			t.Run("warm models survive a log outage", func(t *testing.T) { testLogOutage(t, s) })
			s.assertInvariants()
			s.stopAll()
		})
	}
}

// testKill kills an entry VM while a burst for one cold model waits.
func testKill(t *testing.T, s *fixture) {
	const burst = 6
	replies := s.burst(burst, func(i int) response { return s.requestCompletion(i%2, "gym", prompt(i)) }, func() {
		s.entries[2].Kill()
	})
	for i, r := range replies {
		assertCompleteOrRefused(t, r, "gym", prompt(i))
	}
	s.entries[2] = s.startEntry(2)
	assertComplete(t, s.requestCompletion(2, "gym", "again"), "gym", "again")
}

// testPause pauses an entry VM past its lease while bookings are made through
// all of them, and sends each key again through another.
func testPause(t *testing.T, s *fixture) {
	const bookings = 9
	keys := make([]string, bookings)
	for i := range keys {
		keys[i] = s.newKey()
	}
	s.burst(bookings, func(i int) response { return s.callService(i%entryCount, keys[i]) }, func() {
		asserter.NoError(t, s.entries[1].Pause())
		// The process is stopped for real, so that this wait is real too.
		<-time.After(2 * lease)
		asserter.NoError(t, s.entries[1].Resume())
	})
	for i, key := range keys {
		r := s.callService((i+1)%entryCount, key)
		asserter.NoError(t, r.err)
		calls := s.serviceJournal().Keys[key]
		asserter.True(t, calls <= 1, "the key "+key+" ran twice")
		if calls == 0 {
			asserter.NotContains(t, r.body, buckthorndyke.Ran.String()+`"`)
		}
	}
	assertCompleteOrRefused(t, s.requestCompletion(1, "hall", "after the pause"), "hall", "after the pause")
}

// testLogOutage takes the log away from warm models, a cold permitted model and
// keyed bookings, and gives it back.
func testLogOutage(t *testing.T, s *fixture) {
	assertComplete(t, s.requestCompletion(0, "gym", "before"), "gym", "before")
	s.setLogFaults(standin.LogFaults{Down: true})
	assertComplete(t, s.requestCompletion(0, "gym", "during"), "gym", "during")
	assertComplete(t, s.requestCompletion(1, "court", "cold"), "court", "cold")
	key := s.newKey()
	refused := s.callService(0, key)
	asserter.NoError(t, refused.err)
	asserter.Contains(t, refused.body, `"verdict":"not-run"`)
	asserter.Equal(t, s.serviceJournal().Keys[key], 0)
	s.setLogFaults(standin.LogFaults{})
	assertComplete(t, s.requestCompletion(0, "gym", "after"), "gym", "after")
}

// burst runs n requests at once and disturb while they run.
func (s *fixture) burst(n int, ask func(i int) response, disturb func()) []response {
	replies := make([]response, n)
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() { replies[i] = ask(i) })
	}
	disturb()
	group.Wait()
	return replies
}

func prompt(i int) string { return fmt.Sprintf("prompt %d", i) }
