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
	for name, ignoreTokens := range map[string]bool{"runners check fencing tokens": false, "runners ignore fencing tokens": true} {
		t.Run(name, func(t *testing.T) {
			s := startFixture(t, ignoreTokens)
			t.Run("requests for a cold model get a response when an entry VM is killed", func(t *testing.T) { testKill(t, s) })
			t.Run("no idempotency key runs twice when an entry VM is paused past its lease", func(t *testing.T) { testPause(t, s) })
			t.Run("models are served during a log outage", func(t *testing.T) { testLogOutage(t, s) })
			s.assertInvariants()
			s.stopAll()
		})
	}
}

// testKill guards against lost or foreign responses when an entry VM dies: it
// kills one while concurrent requests for one cold model wait on the others, then
// restarts it.
func testKill(t *testing.T, s *fixture) {
	const burst = 6
	responses := s.burst(burst, func(i int) response { return s.requestCompletion(i%2, "gym", promptFor(i)) }, func() {
		s.entries[2].Kill()
	})
	for i, r := range responses {
		assertCompleteOrRefused(t, r, "gym", promptFor(i))
	}
	s.entries[2] = s.startEntry(2)
	assertComplete(t, s.requestCompletion(2, "gym", "again"), "gym", "again")
}

// testPause guards against a service call that runs twice because a resumed entry
// VM acts on an expired lease. It pauses an entry VM past its lease during calls
// through all entry VMs, then repeats each idempotency key through another VM.
func testPause(t *testing.T, s *fixture) {
	const calls = 9
	keys := make([]string, calls)
	for i := range keys {
		keys[i] = s.newKey()
	}
	s.burst(calls, func(i int) response { return s.callService(i%entryCount, keys[i]) }, func() {
		asserter.NoError(t, s.entries[1].Pause())
		// Real time, because the process is really stopped.
		<-time.After(2 * lease)
		asserter.NoError(t, s.entries[1].Resume())
	})
	for i, key := range keys {
		r := s.callService((i+1)%entryCount, key)
		asserter.NoError(t, r.err)
		runs := s.serviceJournal().Keys[key]
		asserter.True(t, runs <= 1, "idempotency key "+key+" ran twice")
		if runs == 0 {
			asserter.NotContains(t, r.body, buckthorndyke.Ran.String()+`"`)
		}
	}
	assertCompleteOrRefused(t, s.requestCompletion(1, "hall", "after the pause"), "hall", "after the pause")
}

// testLogOutage guards against an outage of the log that stops requests which do
// not need it: a warm model and a cold model with a permission are served, and a
// call with an idempotency key, which needs the log, is refused without running.
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

// burst sends n concurrent requests, calls inject while they run and returns the
// responses.
func (s *fixture) burst(n int, send func(i int) response, inject func()) []response {
	responses := make([]response, n)
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() { responses[i] = send(i) })
	}
	inject()
	group.Wait()
	return responses
}

func promptFor(i int) string { return fmt.Sprintf("prompt %d", i) }
