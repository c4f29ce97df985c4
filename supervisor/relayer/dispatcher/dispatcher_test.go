package dispatcher_test

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
)

func TestPlainCalls(t *testing.T) {
	t.Run("the answer is handed on", func(t *testing.T) {
		inSite(t, func(s *site) {
			s.pool.lay(reply{body: "booked", status: http.StatusCreated})
			got, err := s.relay(request("/unsafe/x"))
			asserter.NoError(t, err)
			asserter.Equal(t, got.status, http.StatusCreated)
			asserter.Equal(t, got.body, "booked")
			sent := s.pool.sent()
			asserter.Equal(t, len(sent), 1)
			asserter.Equal(t, sent[0].TimeLeft, 2*buckthorndyke.Second)
		})
	})
	t.Run("an unsafe call that may have run is not sent again", func(t *testing.T) {
		for _, r := range []reply{{err: lost}, {body: "half", broken: true}, {bare: true}} {
			inSite(t, func(s *site) {
				s.pool.lay(r)
				got, err := s.relay(request("/unsafe/x"))
				asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
				asserter.Equal(t, got.status, 0)
				asserter.Equal(t, len(s.pool.sent()), 1)
			})
		}
	})
	t.Run("an unsafe call that has not run is sent to another server", func(t *testing.T) {
		inSite(t, func(s *site) {
			s.pool.lay(reply{notRun: true, status: http.StatusServiceUnavailable}, reply{err: unreachable})
			got, err := s.relay(request("/unsafe/x"))
			asserter.NoError(t, err)
			asserter.Equal(t, got.body, "well")
			assertDistinct(t, s.pool.sent(), 3)
		})
	})
	t.Run("a call that no server ran is refused as not run", func(t *testing.T) {
		inSite(t, func(s *site) {
			s.pool.lay(reply{err: unreachable}, reply{err: unreachable}, reply{err: unreachable})
			_, err := s.relay(request("/unsafe/x"))
			asserter.Verdict(t, err, buckthorndyke.NotRun)
		})
	})
	t.Run("a safe call goes to no more servers than its route allows", func(t *testing.T) {
		inSite(t, func(s *site) {
			fail := reply{status: http.StatusInternalServerError}
			s.pool.lay(fail, fail, fail)
			got, err := s.relay(request("/safe/x"))
			asserter.NoError(t, err)
			asserter.Equal(t, got.status, http.StatusInternalServerError)
			assertDistinct(t, s.pool.sent(), 2)
		})
	})
	t.Run("a safe call whose answer was lost is sent again", func(t *testing.T) {
		inSite(t, func(s *site) {
			s.pool.lay(reply{err: lost})
			got, err := s.relay(request("/safe/x"))
			asserter.NoError(t, err)
			asserter.Equal(t, got.body, "well")
			assertDistinct(t, s.pool.sent(), 2)
		})
	})
	t.Run("a safe call that may have run is not said to be not run", func(t *testing.T) {
		inSite(t, func(s *site) {
			s.pool.lay(reply{err: lost}, reply{notRun: true, status: http.StatusServiceUnavailable}, reply{err: unreachable})
			_, err := s.relay(request("/safe/x"))
			asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
		})
	})
	t.Run("a call ends at its route's time", func(t *testing.T) {
		inSite(t, func(s *site) {
			s.pool.lay(reply{hang: true})
			began := s.clock.Now()
			_, err := s.relay(request("/unsafe/x"))
			asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
			asserter.Code(t, err, buckthorndyke.CodeDeadline)
			asserter.Equal(t, s.clock.Now()-began, 2*buckthorndyke.Second)
		})
	})
	t.Run("retries are bounded", func(t *testing.T) {
		inSite(t, func(s *site) {
			var replies []reply
			for range 200 {
				replies = append(replies, reply{notRun: true, status: http.StatusServiceUnavailable})
			}
			s.pool.lay(replies...)
			for range 20 {
				_, err := s.relay(request("/unsafe/x"))
				asserter.Verdict(t, err, buckthorndyke.NotRun)
			}
			asserter.True(t, len(s.pool.sent()) <= 20+6+2, "too many retries")
		})
	})
	t.Run("a VM of a large fleet, or that does not know its size, has a small part of the retries", func(t *testing.T) {
		assertFewRetries(t, 1, func(s *site) {
			asserter.NoError(t, s.dispatcher.HandleReply(s.ctx, buckthorndyke.DemandReply{ReportingVMs: 24, Leading: true}))
		})
		assertFewRetries(t, 2, func(*site) {})
	})
	t.Run("an unknown route is refused, an unknown configuration too", func(t *testing.T) {
		inSite(t, func(s *site) {
			_, err := s.relay(request("/elsewhere/"))
			asserter.Refused(t, err, buckthorndyke.CodeServiceUnknown, buckthorndyke.NotRun)
			asserter.NoError(t, s.routings.Publish(s.ctx, buckthorndyke.Routing{}))
			synctest.Wait()
			_, err = s.relay(request("/safe/x"))
			asserter.Refused(t, err, buckthorndyke.CodeNotReady, buckthorndyke.NotRun)
		})
	})
}

func TestStreams(t *testing.T) {
	const whole = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	t.Run("events are handed on", func(t *testing.T) {
		inSite(t, func(s *site) {
			s.pool.lay(reply{body: whole})
			got, err := s.relay(generation("/stream/x", hall))
			asserter.NoError(t, err)
			asserter.Equal(t, got.body, whole)
			asserter.Equal(t, s.pool.sent()[0].Backend.ID, "r1")
		})
	})
	t.Run("a broken stream that may not be resumed ends with an error after whole events", func(t *testing.T) {
		inSite(t, func(s *site) {
			s.pool.lay(reply{body: whole + "id: 3\nda", broken: true})
			got, err := s.relay(generation("/stream/x", hall))
			asserter.Error(t, err)
			asserter.Equal(t, got.body, whole)
			asserter.Equal(t, len(s.pool.sent()), 1)
		})
	})
	t.Run("a broken stream is carried on by another runner after its last whole event", func(t *testing.T) {
		inSite(t, func(s *site) {
			s.list(runner("r1", hall), runner("r2", hall))
			s.pool.lay(reply{body: whole + "id: 3\nda", broken: true}, reply{body: "id: 3\ndata: c\n\n"})
			got, err := s.relay(generation("/resumable/x", hall))
			asserter.NoError(t, err)
			asserter.Equal(t, got.body, whole+"id: 3\ndata: c\n\n")
			assertDistinct(t, s.pool.sent(), 2)
			asserter.Equal(t, s.pool.sent()[1].Request.LastEventID, "2")
		})
	})
	t.Run("a client that leaves ends the attempt", func(t *testing.T) {
		inSite(t, func(s *site) {
			s.pool.lay(reply{hang: true})
			ctx, leave := context.WithTimeout(s.ctx, (300 * buckthorndyke.Millisecond).Duration())
			defer leave()
			_, err := s.relayFor(ctx, generation("/stream/x", hall))
			asserter.Code(t, err, buckthorndyke.CodeCallerGone)
			asserter.Equal(t, len(s.pool.sent()), 1)
		})
	})
}

func TestWaiting(t *testing.T) {
	const gym = buckthorndyke.ModelID("gym")
	gymKey := buckthorndyke.ModelKey{Model: gym, Service: engines}
	t.Run("a request waits for its model and is reported as demand", func(t *testing.T) {
		inSite(t, func(s *site) {
			s.led()
			done := make(chan error, 1)
			go func() {
				_, err := s.relay(generation("/stream/x", gym))
				done <- err
			}()
			synctest.Wait()
			demand, err := s.dispatcher.Demand(s.ctx, false)
			asserter.NoError(t, err)
			asserter.True(t, demand.Waiting, "nothing waits")
			asserter.Equal(t, demand.Entries[0].Key, buckthorndyke.ModelKey{Model: gym, Service: engines})
			asserter.Equal(t, demand.Entries[0].Waiting, 1)
			asserter.Equal(t, demand.Entries[0].Arrivals, 1)
			asserter.NoError(t, s.dispatcher.HandleReply(s.ctx, buckthorndyke.DemandReply{RunnerModels: []buckthorndyke.RunnerModels{
				{LoadedModels: []buckthorndyke.LoadedModel{{Model: gym}}, Runner: "r2", Incarnation: 1},
			}}))
			asserter.NoError(t, <-done)
			asserter.Equal(t, s.pool.sent()[0].Backend.ID, "r2")
		})
	})
	t.Run("a request whose model is not being loaded is refused and asked to return", func(t *testing.T) {
		inSite(t, func(s *site) {
			s.led()
			began := s.clock.Now()
			_, err := s.relay(generation("/stream/x", gym))
			asserter.Verdict(t, err, buckthorndyke.NotRun)
			asserter.True(t, buckthorndyke.RefusalOf(err).RetryAfter() > 0, "the client is not asked to return")
			asserter.Equal(t, s.clock.Now()-began, 600*buckthorndyke.Millisecond)
		})
	})
	t.Run("a request waits for a model that comes before its client leaves", func(t *testing.T) {
		inSite(t, func(s *site) {
			s.ledWith(buckthorndyke.LoadEstimate{ReadyIn: 1500, Key: gymKey})
			began := s.clock.Now()
			_, err := s.relay(generation("/stream/x", gym))
			asserter.Verdict(t, err, buckthorndyke.NotRun)
			asserter.Equal(t, s.clock.Now()-began, 1700*buckthorndyke.Millisecond)
		})
	})
	t.Run("a request whose model comes too late is asked to return when it is there", func(t *testing.T) {
		inSite(t, func(s *site) {
			s.ledWith(buckthorndyke.LoadEstimate{ReadyIn: 1850, Key: gymKey})
			began := s.clock.Now()
			_, err := s.relay(generation("/stream/x", gym))
			asserter.Verdict(t, err, buckthorndyke.NotRun)
			asserter.Equal(t, s.clock.Now()-began, 300*buckthorndyke.Millisecond)
			asserter.Equal(t, buckthorndyke.RefusalOf(err).RetryAfter(), 566*buckthorndyke.Millisecond)
		})
	})
	t.Run("a new leader is told all recent arrivals", func(t *testing.T) {
		inSite(t, func(s *site) {
			for range 3 {
				_, err := s.relay(generation("/stream/x", hall))
				asserter.NoError(t, err)
			}
			_, err := s.dispatcher.Demand(s.ctx, false)
			asserter.NoError(t, err)
			demand, err := s.dispatcher.Demand(s.ctx, true)
			asserter.NoError(t, err)
			asserter.Equal(t, demand.Entries[0].Arrivals, 3)
			demand, err = s.dispatcher.Demand(s.ctx, false)
			asserter.NoError(t, err)
			asserter.Equal(t, len(demand.Entries), 0)
		})
	})
	t.Run("a request that waits when a planned stop begins is refused in time", func(t *testing.T) {
		inSite(t, func(s *site) {
			s.led()
			began := s.clock.Now()
			asserter.NoError(t, s.dispatcher.Drain(s.ctx, 500))
			_, err := s.relay(generation("/stream/x", gym))
			asserter.Verdict(t, err, buckthorndyke.NotRun)
			asserter.Equal(t, s.clock.Now()-began, 500*buckthorndyke.Millisecond)
		})
	})
	t.Run("a request waits for a shorter time while no VM gives orders", func(t *testing.T) {
		inSite(t, func(s *site) {
			began := s.clock.Now()
			_, err := s.relay(generation("/stream/x", gym))
			asserter.Verdict(t, err, buckthorndyke.NotRun)
			asserter.Equal(t, s.clock.Now()-began, 300*buckthorndyke.Millisecond)
		})
	})
	t.Run("a runner that lacks the model is not asked again at once", func(t *testing.T) {
		inSite(t, func(s *site) {
			s.list(runner("r1", hall), runner("r2", hall))
			s.pool.lay(reply{notRun: true, status: http.StatusMisdirectedRequest})
			got, err := s.relay(generation("/stream/x", hall))
			asserter.NoError(t, err)
			asserter.Equal(t, got.body, "well")
			assertDistinct(t, s.pool.sent(), 2)
		})
	})
	t.Run("a runner without a place is asked again soon, and the request waits for the retries that are left", func(t *testing.T) {
		inSite(t, func(s *site) {
			s.led()
			full := reply{notRun: true, status: http.StatusServiceUnavailable}
			s.pool.lay(full, full, full)
			began := s.clock.Now()
			got, err := s.relay(generation("/stream/x", hall))
			asserter.NoError(t, err)
			asserter.Equal(t, got.body, "well")
			asserter.Equal(t, s.clock.Now()-began, 360)
		})
	})
	t.Run("a request that no runner has run waits while no retry is left", func(t *testing.T) {
		inSite(t, func(s *site) {
			s.led()
			s.list(runner("r1", hall), runner("r2", hall))
			full := reply{notRun: true, status: http.StatusServiceUnavailable}
			for range 5 {
				s.pool.lay(full)
				_, err := s.relay(generation("/stream/x", hall))
				asserter.NoError(t, err)
				s.wait(200)
			}
			s.pool.lay(full)
			_, err := s.relay(generation("/stream/x", hall))
			asserter.Code(t, err, buckthorndyke.CodeRunnerUnavailable)
			asserter.Verdict(t, err, buckthorndyke.NotRun)
		})
	})
	t.Run("a silent server is avoided before its request ends", func(t *testing.T) {
		inSite(t, func(s *site) {
			s.list(server("a"))
			s.pool.lay(reply{hang: true})
			go func() { _, _ = s.relay(request("/unsafe/x")) }()
			s.wait(710)
			s.list(server("a"), server("b"))
			for range 4 {
				_, err := s.relay(request("/unsafe/x"))
				asserter.NoError(t, err)
			}
			for _, d := range s.pool.sent()[1:] {
				asserter.Equal(t, d.Backend.ID, "b")
			}
			s.wait(2 * buckthorndyke.Second)
			report, err := s.dispatcher.Demand(s.ctx, false)
			asserter.NoError(t, err)
			asserter.True(t, slices.Contains(report.Attempts, buckthorndyke.AttemptCounts{Failed: 1, Server: "a"}), "the leader is not told")
		})
	})
	t.Run("servers that the leader suspects are avoided", func(t *testing.T) {
		inSite(t, func(s *site) {
			asserter.NoError(t, s.dispatcher.HandleReply(s.ctx, buckthorndyke.DemandReply{Leading: true, Suspects: []buckthorndyke.RunnerID{"a", "b"}}))
			for range 6 {
				_, err := s.relay(request("/unsafe/x"))
				asserter.NoError(t, err)
			}
			for _, d := range s.pool.sent() {
				asserter.Equal(t, d.Backend.ID, "c")
			}
		})
	})
	t.Run("a server's own failures are told, and are no reason to avoid it", func(t *testing.T) {
		inSite(t, func(s *site) {
			s.list(server("a"))
			s.pool.lay(reply{status: http.StatusInternalServerError})
			_, err := s.relay(request("/unsafe/x"))
			asserter.NoError(t, err)
			report, err := s.dispatcher.Demand(s.ctx, false)
			asserter.NoError(t, err)
			asserter.Equal(t, report.Attempts, []buckthorndyke.AttemptCounts{{Failed: 1, Server: "a"}})
		})
	})
	t.Run("a client that leaves while it waits is no demand", func(t *testing.T) {
		inSite(t, func(s *site) {
			s.led()
			ctx, leave := context.WithTimeout(s.ctx, (100 * buckthorndyke.Millisecond).Duration())
			defer leave()
			_, err := s.relayFor(ctx, generation("/stream/x", gym))
			asserter.Code(t, err, buckthorndyke.CodeCallerGone)
			demand, err := s.dispatcher.Demand(s.ctx, false)
			asserter.NoError(t, err)
			asserter.True(t, !demand.Waiting, "a request of a client that has left waits")
		})
	})
}

// ledWith is led by a leader that loads what is expected.
func (s *site) ledWith(expected ...buckthorndyke.LoadEstimate) {
	s.t.Helper()
	asserter.NoError(s.t, s.dispatcher.HandleReply(s.ctx, buckthorndyke.DemandReply{LoadEstimates: expected, ReportingVMs: 8, Leading: true}))
	synctest.Wait()
}

// wait lets d pass.
func (s *site) wait(d buckthorndyke.Millis) {
	<-s.clock.After(d)
	synctest.Wait()
}

// assertFewRetries reports an error unless a VM that tell has told something sends
// no more than part retries beside those that its requests earn.
func assertFewRetries(t *testing.T, part int, tell func(s *site)) {
	t.Helper()
	inSite(t, func(s *site) {
		tell(s)
		var replies []reply
		for range 200 {
			replies = append(replies, reply{notRun: true, status: http.StatusServiceUnavailable})
		}
		s.pool.lay(replies...)
		for range 20 {
			_, err := s.relay(request("/unsafe/x"))
			asserter.Verdict(t, err, buckthorndyke.NotRun)
		}
		asserter.True(t, len(s.pool.sent()) <= 20+part+3, "too many retries")
	})
}

// assertDistinct reports an error unless n attempts went to n servers.
func assertDistinct(t *testing.T, sent []buckthorndyke.Dispatch, n int) {
	t.Helper()
	seen := make(map[buckthorndyke.RunnerID]bool)
	for _, d := range sent {
		seen[d.Backend.ID] = true
	}
	asserter.Equal(t, len(sent), n)
	asserter.Equal(t, len(seen), n)
}

// led tells the dispatcher that some VM gives orders.
func (s *site) led() {
	s.t.Helper()
	s.ledWith()
}
