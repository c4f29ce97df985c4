package dispatcher_test

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
)

// pausing returns the refusal of a server that asks for a pause.
func pausing(d buckthorndyke.Millis) scriptedResponse {
	return scriptedResponse{notRun: true, pause: d, status: http.StatusServiceUnavailable}
}

// TestPause guards against requests to a server that has asked for a pause, against
// requests that wait for pauses that end too late, and against a burst at their end.
func TestPause(t *testing.T) {
	t.Run("a server that has asked for a pause gets no request before its end", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.list(server("a"), server("b"))
			s.pool.setResponses(pausing(3 * buckthorndyke.Second))
			s.assertServed(request("/unsafe/x"))
			paused := s.pool.sent()[0].Backend.ID
			for range 10 {
				s.assertServed(request("/unsafe/x"))
			}
			for _, d := range s.pool.sent()[1:] {
				asserter.True(t, d.Backend.ID != paused, "the server got a request in its pause")
			}
			time.Sleep(4 * time.Second)
			s.list(server("a"), server("b"))
			seen := false
			for n := range 20 {
				r := request("/unsafe/x")
				r.ID = buckthorndyke.RequestID(strconv.Itoa(n))
				s.assertServed(r)
				sent := s.pool.sent()
				seen = seen || sent[len(sent)-1].Backend.ID == paused
			}
			asserter.True(t, seen, "the server gets no request after its pause")
		})
	})
	t.Run("a request that may not wait until the pauses end is refused at once, with their end", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.list(server("a"), server("b"))
			s.pool.setResponses(pausing(60*buckthorndyke.Second), pausing(50*buckthorndyke.Second))
			before := s.clock.Now()
			for range 2 {
				_, err := s.relay(request("/unsafe/x"))
				asserter.Verdict(t, err, buckthorndyke.NotRun)
				asserter.Equal(t, s.clock.Now(), before)
				asserter.Equal(t, buckthorndyke.RefusalOf(err).RetryAfter(), 50*buckthorndyke.Second)
			}
			asserter.Equal(t, len(s.pool.sent()), 2)
		})
	})
	t.Run("a request waits for a pause that ends in time", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.list(server("a"))
			s.pool.setResponses(pausing(300))
			before := s.clock.Now()
			s.assertServed(request("/unsafe/x"))
			asserter.Equal(t, s.clock.Now()-before, 300)
		})
	})
	t.Run("after the pause requests come one at a time until one is served", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.list(server("a"))
			s.pool.setResponses(pausing(100), scriptedResponse{hang: true})
			var running sync.WaitGroup
			for range 5 {
				running.Go(func() {
					r := request("/unsafe/x")
					r.Arrived = s.clock.Now()
					_ = s.dispatcher.Relay(s.ctx, r, &response{})
				})
				synctest.Wait()
			}
			time.Sleep(time.Second)
			asserter.Equal(t, len(s.pool.sent()), 2)
			running.Wait()
		})
	})
	t.Run("a pause ends with a new start of the server", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.list(server("a"))
			s.pool.setResponses(pausing(60 * buckthorndyke.Second))
			_, _ = s.relay(request("/unsafe/x"))
			again := server("a")
			again.Incarnation = 2
			s.list(again)
			s.assertServed(request("/unsafe/x"))
		})
	})
}
