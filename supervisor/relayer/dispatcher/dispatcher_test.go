package dispatcher_test

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/dispatcher"
)

func TestPlainCalls(t *testing.T) {
	t.Run("the response is passed on", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.pool.setResponses(scriptedResponse{body: "booked", status: http.StatusCreated})
			got, err := s.relay(request("/unsafe/x"))
			asserter.NoError(t, err)
			asserter.Equal(t, got.status, http.StatusCreated)
			asserter.Equal(t, got.body, "booked")
			sent := s.pool.sent()
			asserter.Equal(t, len(sent), 1)
			asserter.Equal(t, sent[0].TimeLeft, 2*buckthorndyke.Second)
		})
	})
	t.Run("an unsafe call that may have run is not retried", func(t *testing.T) {
		for _, r := range []scriptedResponse{{err: errNoResponse}, {body: "half", broken: true}, {unsigned: true}} {
			withFixture(t, func(s *fixture) {
				s.pool.setResponses(r)
				got, err := s.relay(request("/unsafe/x"))
				asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
				asserter.Equal(t, got.status, 0)
				asserter.Equal(t, len(s.pool.sent()), 1)
			})
		}
	})
	t.Run("an unsafe call that has not run is retried at another server", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.pool.setResponses(scriptedResponse{notRun: true, status: http.StatusServiceUnavailable}, scriptedResponse{err: errUnreachable})
			got, err := s.relay(request("/unsafe/x"))
			asserter.NoError(t, err)
			asserter.Equal(t, got.body, "well")
			assertDistinct(t, s.pool.sent(), 3)
		})
	})
	t.Run("a call that no server ran is refused with NotRun", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.pool.setResponses(scriptedResponse{err: errUnreachable}, scriptedResponse{err: errUnreachable}, scriptedResponse{err: errUnreachable})
			_, err := s.relay(request("/unsafe/x"))
			asserter.Verdict(t, err, buckthorndyke.NotRun)
		})
	})
	t.Run("a safe call is sent to at most as many servers as its route allows", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			fail := scriptedResponse{status: http.StatusInternalServerError}
			s.pool.setResponses(fail, fail, fail)
			got, err := s.relay(request("/safe/x"))
			asserter.NoError(t, err)
			asserter.Equal(t, got.status, http.StatusInternalServerError)
			assertDistinct(t, s.pool.sent(), 2)
		})
	})
	t.Run("a safe call without a response is retried", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.pool.setResponses(scriptedResponse{err: errNoResponse})
			got, err := s.relay(request("/safe/x"))
			asserter.NoError(t, err)
			asserter.Equal(t, got.body, "well")
			assertDistinct(t, s.pool.sent(), 2)
		})
	})
	t.Run("a safe call that may have run is not refused with NotRun", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.pool.setResponses(scriptedResponse{err: errNoResponse}, scriptedResponse{notRun: true, status: http.StatusServiceUnavailable}, scriptedResponse{err: errUnreachable})
			_, err := s.relay(request("/safe/x"))
			asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
		})
	})
	t.Run("a call ends at its route's time limit", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.pool.setResponses(scriptedResponse{hang: true})
			began := s.clock.Now()
			_, err := s.relay(request("/unsafe/x"))
			asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
			asserter.Code(t, err, buckthorndyke.CodeDeadline)
			asserter.Equal(t, s.clock.Now()-began, 2*buckthorndyke.Second)
		})
	})
	t.Run("the number of retries is bounded", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			var responses []scriptedResponse
			for range 200 {
				responses = append(responses, scriptedResponse{notRun: true, status: http.StatusServiceUnavailable})
			}
			s.pool.setResponses(responses...)
			for range 20 {
				_, err := s.relay(request("/unsafe/x"))
				asserter.Verdict(t, err, buckthorndyke.NotRun)
			}
			asserter.True(t, len(s.pool.sent()) <= 20+6+2, "too many retries")
		})
	})
	t.Run("a VM in a large fleet, or in one of unknown size, has a small share of the retries", func(t *testing.T) {
		assertFewRetries(t, 1, func(s *fixture) {
			asserter.NoError(t, s.dispatcher.HandleReply(s.ctx, buckthorndyke.DemandReply{Leading: true, ReportingVMs: 24}))
		})
		assertFewRetries(t, 2, func(*fixture) {})
	})
	t.Run("a request without a route is refused, and so is one before the configuration is known", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
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
	t.Run("events are forwarded", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.pool.setResponses(scriptedResponse{body: whole})
			got, err := s.relay(streamRequest("/stream/x", hall))
			asserter.NoError(t, err)
			asserter.Equal(t, got.body, whole)
			asserter.Equal(t, s.pool.sent()[0].Backend.ID, "r1")
		})
	})
	t.Run("a truncated stream that may not be resumed ends with an error after a whole event", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.pool.setResponses(scriptedResponse{body: whole + "id: 3\nda", broken: true})
			got, err := s.relay(streamRequest("/stream/x", hall))
			asserter.Error(t, err)
			asserter.Equal(t, got.body, whole)
			asserter.Equal(t, len(s.pool.sent()), 1)
		})
	})
	t.Run("a truncated stream is resumed by another runner after its last whole event", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.list(runner("r1", hall), runner("r2", hall))
			s.pool.setResponses(scriptedResponse{body: whole + "id: 3\nda", broken: true}, scriptedResponse{body: "id: 3\ndata: c\n\n"})
			got, err := s.relay(streamRequest("/resumable/x", hall))
			asserter.NoError(t, err)
			asserter.Equal(t, got.body, whole+"id: 3\ndata: c\n\n")
			assertDistinct(t, s.pool.sent(), 2)
			asserter.Equal(t, s.pool.sent()[1].Request.LastEventID, "2")
		})
	})
	t.Run("a stream that ends inside an event is resumed, or fails", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.list(runner("r1", hall), runner("r2", hall))
			s.pool.setResponses(scriptedResponse{body: whole + "id: 3\nda"}, scriptedResponse{body: "id: 3\ndata: c\n\n"})
			got, err := s.relay(streamRequest("/resumable/x", hall))
			asserter.NoError(t, err)
			asserter.Equal(t, got.body, whole+"id: 3\ndata: c\n\n")
			s.pool.setResponses(scriptedResponse{body: whole + "id: 3\ndata: c\n"})
			got, err = s.relay(streamRequest("/stream/x", hall))
			asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
			asserter.Equal(t, got.body, whole)
		})
	})
	t.Run("an event or a response without end fails", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.pool.setResponses(scriptedResponse{body: "data: more", endless: true}, scriptedResponse{body: "more", endless: true})
			for _, r := range []buckthorndyke.RelayRequest{streamRequest("/stream/x", hall), request("/unsafe/x")} {
				got, err := s.relay(r)
				asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
				asserter.Equal(t, got.status, 0)
			}
		})
	})
	t.Run("a stream that ends before its first event fails", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.pool.setResponses(scriptedResponse{})
			got, err := s.relay(streamRequest("/stream/x", hall))
			asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
			asserter.Equal(t, got.status, 0)
		})
	})
	t.Run("a stream that is resumed after its last event is complete", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.list(runner("r1", hall), runner("r2", hall))
			s.pool.setResponses(scriptedResponse{body: whole, broken: true}, scriptedResponse{})
			got, err := s.relay(streamRequest("/resumable/x", hall))
			asserter.NoError(t, err)
			asserter.Equal(t, got.body, whole)
		})
	})
	t.Run("a disconnect of the client ends the attempt", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.pool.setResponses(scriptedResponse{hang: true})
			ctx, leave := context.WithTimeout(s.ctx, (300 * buckthorndyke.Millisecond).Duration())
			defer leave()
			_, err := s.relayFor(ctx, streamRequest("/stream/x", hall))
			asserter.Code(t, err, buckthorndyke.CodeCallerGone)
			asserter.Equal(t, len(s.pool.sent()), 1)
		})
	})
}

func TestWaiting(t *testing.T) {
	const gym = buckthorndyke.ModelID("gym")
	gymKey := buckthorndyke.ModelKey{Model: gym, Service: engines}
	t.Run("a request waits for its model and is reported as demand", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.leads()
			done := make(chan error, 1)
			go func() {
				_, err := s.relay(streamRequest("/stream/x", gym))
				done <- err
			}()
			synctest.Wait()
			demand, err := s.dispatcher.Demand(s.ctx, false)
			asserter.NoError(t, err)
			asserter.True(t, demand.Waiting, "no request is reported as waiting")
			asserter.Equal(t, demand.Entries[0].Key, buckthorndyke.ModelKey{Model: gym, Service: engines})
			asserter.Equal(t, demand.Entries[0].Waiting, 1)
			asserter.Equal(t, demand.Entries[0].Arrivals, 1)
			asserter.NoError(t, s.dispatcher.HandleReply(s.ctx, buckthorndyke.DemandReply{RunnerModels: []buckthorndyke.RunnerModels{
				{Incarnation: 1, LoadedModels: []buckthorndyke.LoadedModel{{Model: gym}}, Runner: "r2"},
			}}))
			asserter.NoError(t, <-done)
			asserter.Equal(t, s.pool.sent()[0].Backend.ID, "r2")
		})
	})
	t.Run("a request whose model is not being loaded is refused with Retry-After", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.leads()
			began := s.clock.Now()
			_, err := s.relay(streamRequest("/stream/x", gym))
			asserter.Verdict(t, err, buckthorndyke.NotRun)
			asserter.True(t, buckthorndyke.RefusalOf(err).RetryAfter() > 0, "the client is not asked to retry")
			asserter.Equal(t, s.clock.Now()-began, 600*buckthorndyke.Millisecond)
		})
	})
	t.Run("a request waits for a model that is loaded before its client disconnects", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.leadsWithLoads(buckthorndyke.LoadEstimate{Key: gymKey, ReadyIn: 1500})
			began := s.clock.Now()
			_, err := s.relay(streamRequest("/stream/x", gym))
			asserter.Verdict(t, err, buckthorndyke.NotRun)
			asserter.Equal(t, s.clock.Now()-began, 1700*buckthorndyke.Millisecond)
		})
	})
	t.Run("a request whose model is loaded too late is refused with the time after which to retry", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.leadsWithLoads(buckthorndyke.LoadEstimate{Key: gymKey, ReadyIn: 1850})
			began := s.clock.Now()
			_, err := s.relay(streamRequest("/stream/x", gym))
			asserter.Verdict(t, err, buckthorndyke.NotRun)
			asserter.Equal(t, s.clock.Now()-began, 300*buckthorndyke.Millisecond)
			// A third of the 1,700 ms that are left, less the part by which clients are spread.
			asserter.Equal(t, buckthorndyke.RefusalOf(err).RetryAfter(), 527*buckthorndyke.Millisecond)
		})
	})
	t.Run("all recent arrivals are reported to a new leader", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			for range 3 {
				_, err := s.relay(streamRequest("/stream/x", hall))
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
	t.Run("a request that waits during a drain is refused in time", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.leads()
			began := s.clock.Now()
			asserter.NoError(t, s.dispatcher.Drain(s.ctx, dispatcher.DrainSchedule{End: buckthorndyke.Minute, EstimateUntil: 500, WaitUntil: 500}))
			_, err := s.relay(streamRequest("/stream/x", gym))
			asserter.Verdict(t, err, buckthorndyke.NotRun)
			asserter.Equal(t, s.clock.Now()-began, 500*buckthorndyke.Millisecond)
		})
	})
	t.Run("a request waits for a shorter time while there is no leader", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			began := s.clock.Now()
			_, err := s.relay(streamRequest("/stream/x", gym))
			asserter.Verdict(t, err, buckthorndyke.NotRun)
			asserter.Equal(t, s.clock.Now()-began, 300*buckthorndyke.Millisecond)
		})
	})
	t.Run("a request is not sent again to a runner without its model", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.list(runner("r1", hall), runner("r2", hall))
			s.pool.setResponses(scriptedResponse{notRun: true, status: http.StatusMisdirectedRequest})
			got, err := s.relay(streamRequest("/stream/x", hall))
			asserter.NoError(t, err)
			asserter.Equal(t, got.body, "data: well\n\n")
			assertDistinct(t, s.pool.sent(), 2)
		})
	})
	t.Run("a request is soon sent again to a runner without a free slot, within the retry budget", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.leads()
			full := scriptedResponse{notRun: true, status: http.StatusServiceUnavailable}
			s.pool.setResponses(full, full, full)
			began := s.clock.Now()
			got, err := s.relay(streamRequest("/stream/x", hall))
			asserter.NoError(t, err)
			asserter.Equal(t, got.body, "data: well\n\n")
			asserter.Equal(t, len(s.pool.sent()), 4)
			// The limits are 1.5, 0.75 and 0.38 requests, and a request is assumed to take
			// 120 ms.
			waited := s.clock.Now() - began
			asserter.True(t, waited >= (60+60+200)/2 && waited <= (60+60+200)*3/2, "the waits do not follow from the limits")
		})
	})
	t.Run("a request that no runner has run waits while the retry budget is used up", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.leads()
			s.list(runner("r1", hall), runner("r2", hall))
			full := scriptedResponse{notRun: true, status: http.StatusServiceUnavailable}
			for range 5 {
				s.pool.setResponses(full)
				_, err := s.relay(streamRequest("/stream/x", hall))
				asserter.NoError(t, err)
				s.wait(200)
			}
			s.pool.setResponses(full)
			_, err := s.relay(streamRequest("/stream/x", hall))
			asserter.Code(t, err, buckthorndyke.CodeRunnerUnavailable)
			asserter.Verdict(t, err, buckthorndyke.NotRun)
		})
	})
	t.Run("a server that does not respond is avoided before its request ends", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.list(server("a"))
			s.pool.setResponses(scriptedResponse{hang: true})
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
			asserter.True(t, slices.Contains(report.Attempts, buckthorndyke.AttemptCounts{Failed: 1, Server: "a"}), "the failure is not reported to the leader")
		})
	})
	t.Run("servers that the leader suspects are avoided", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
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
	t.Run("a server's error responses are reported, but the server is not avoided", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.list(server("a"))
			s.pool.setResponses(scriptedResponse{status: http.StatusInternalServerError})
			_, err := s.relay(request("/unsafe/x"))
			asserter.NoError(t, err)
			report, err := s.dispatcher.Demand(s.ctx, false)
			asserter.NoError(t, err)
			asserter.Equal(t, report.Attempts, []buckthorndyke.AttemptCounts{{Failed: 1, Server: "a"}})
		})
	})
	t.Run("a request whose client has disconnected is not reported as demand", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.leads()
			ctx, leave := context.WithTimeout(s.ctx, (100 * buckthorndyke.Millisecond).Duration())
			defer leave()
			_, err := s.relayFor(ctx, streamRequest("/stream/x", gym))
			asserter.Code(t, err, buckthorndyke.CodeCallerGone)
			demand, err := s.dispatcher.Demand(s.ctx, false)
			asserter.NoError(t, err)
			asserter.True(t, !demand.Waiting, "a request whose client has disconnected is reported as waiting")
		})
	})
}

// leadsWithLoads sends the reply of a leader that has ordered the given loads.
func (s *fixture) leadsWithLoads(expected ...buckthorndyke.LoadEstimate) {
	s.t.Helper()
	asserter.NoError(s.t, s.dispatcher.HandleReply(s.ctx, buckthorndyke.DemandReply{Leading: true, LoadEstimates: expected, ReportingVMs: 8}))
	synctest.Wait()
}

// wait waits for d.
func (s *fixture) wait(d buckthorndyke.Millis) {
	<-s.clock.After(d)
	synctest.Wait()
}

// assertFewRetries reports an error unless a dispatcher, after prepare, sends at most
// burst retries beyond those that its requests earn.
func assertFewRetries(t *testing.T, burst int, prepare func(s *fixture)) {
	t.Helper()
	withFixture(t, func(s *fixture) {
		prepare(s)
		var responses []scriptedResponse
		for range 200 {
			responses = append(responses, scriptedResponse{notRun: true, status: http.StatusServiceUnavailable})
		}
		s.pool.setResponses(responses...)
		for range 20 {
			_, err := s.relay(request("/unsafe/x"))
			asserter.Verdict(t, err, buckthorndyke.NotRun)
		}
		asserter.True(t, len(s.pool.sent()) <= 20+burst+3, "too many retries")
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

// leads sends the reply of a leader.
func (s *fixture) leads() {
	s.t.Helper()
	s.leadsWithLoads()
}
