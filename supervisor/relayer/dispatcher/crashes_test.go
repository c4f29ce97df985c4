package dispatcher_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
)

// assertQuarantined checks that a request is refused as quarantined, without an attempt.
func (s *fixture) assertQuarantined(r buckthorndyke.RelayRequest) {
	s.t.Helper()
	before := len(s.pool.sent())
	_, err := s.relay(r)
	asserter.Verdict(s.t, err, buckthorndyke.NotRun)
	asserter.Equal(s.t, buckthorndyke.RefusalOf(err).Code(), buckthorndyke.CodeQuarantined)
	asserter.True(s.t, buckthorndyke.RefusalOf(err).RetryAfter() > 0, "the refusal does not say when to retry")
	asserter.Equal(s.t, len(s.pool.sent()), before)
}

// assertServed checks that a request is served.
func (s *fixture) assertServed(r buckthorndyke.RelayRequest) {
	s.t.Helper()
	_, err := s.relay(r)
	asserter.NoError(s.t, err)
}

// crash sends a request whose server ends. The server then starts again.
func (s *fixture) crash(r buckthorndyke.RelayRequest) {
	s.t.Helper()
	s.breakConnection(r, true)
	s.list(s.restarted(s.pool.sent()[len(s.pool.sent())-1].Backend)...)
}

// breakConnection sends a request whose connection breaks, and waits until the VM knows
// whether the server has ended.
func (s *fixture) breakConnection(r buckthorndyke.RelayRequest, ended bool) {
	s.t.Helper()
	s.pool.setResponses(scriptedResponse{err: errNoResponse})
	s.pool.setEnded(ended)
	_, err := s.relay(r)
	asserter.Verdict(s.t, err, buckthorndyke.MayHaveRun)
	time.Sleep(time.Second)
	synctest.Wait()
	s.pool.setEnded(false)
}

// restarted returns the servers, of which crashed has started again.
func (s *fixture) restarted(crashed buckthorndyke.Backend) []buckthorndyke.Backend {
	servers := []buckthorndyke.Backend{server("a"), server("b"), server("c"), runner("r1", hall), runner("r2")}
	for i := range servers {
		s.starts[servers[i].ID] = max(s.starts[servers[i].ID], 1)
		if servers[i].ID == crashed.ID {
			s.starts[crashed.ID]++
		}
		servers[i].Incarnation = s.starts[servers[i].ID]
	}
	return servers
}

// requestWith returns a request for path with a body.
func requestWith(path, body string) buckthorndyke.RelayRequest {
	r := request(path)
	r.Body = []byte(body)
	return r
}

// TestCrashes guards against a request that ends one server after the other, and against
// the refusal of requests that do not.
func TestCrashes(t *testing.T) {
	fatal, sound := requestWith("/unsafe/x", "fatal"), requestWith("/unsafe/x", "sound")
	t.Run("a request that has ended three servers is refused", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			for range 3 {
				s.crash(fatal)
			}
			s.assertQuarantined(fatal)
			s.assertServed(sound)
		})
	})
	t.Run("a server that breaks connections and lives on counts for nothing", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			for range 6 {
				s.breakConnection(sound, false)
			}
			s.assertServed(sound)
		})
	})
	t.Run("a server that had announced its end counts for nothing", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			for range 4 {
				leaving := []buckthorndyke.Backend{server("a"), server("b"), server("c")}
				s.pool.onNext(func(b buckthorndyke.Backend) {
					for i := range leaving {
						leaving[i].Leaving = leaving[i].ID == b.ID
					}
				})
				s.pool.setResponses(scriptedResponse{err: errNoResponse})
				s.pool.setEnded(true)
				_, err := s.relay(sound)
				asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
				s.list(leaving...)
				time.Sleep(time.Second)
				s.list(s.restarted(s.pool.sent()[len(s.pool.sent())-1].Backend)...)
				s.pool.setEnded(false)
			}
			s.assertServed(sound)
		})
	})
	t.Run("a request that was served between two crashes is not refused", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			for range 4 {
				s.crash(sound)
				s.assertServed(sound)
			}
		})
	})
	t.Run("a server's end that only the list shows counts", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			for range 3 {
				s.breakConnection(fatal, false)
				s.list(s.restarted(s.pool.sent()[len(s.pool.sent())-1].Backend)...)
			}
			s.assertQuarantined(fatal)
		})
	})
	t.Run("a waiting request is refused once another VM has shown that it ends servers", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.list()
			failed := make(chan error, 1)
			waiting := requestWith("/unsafe/x", "fatal")
			waiting.Arrived = s.clock.Now()
			go func() { failed <- s.dispatcher.Relay(s.ctx, waiting, &response{}) }()
			synctest.Wait()
			asserter.NoError(t, s.dispatcher.HandleCrashEvidence(s.ctx, buckthorndyke.CrashEvidence{
				Quarantines: []buckthorndyke.QuarantineNotice{{Fingerprint: fatal.Fingerprint(), Left: buckthorndyke.Second}},
			}))
			err := <-failed
			asserter.Equal(t, buckthorndyke.RefusalOf(err).Code(), buckthorndyke.CodeQuarantined)
			asserter.Equal(t, s.clock.Now(), waiting.Arrived)
		})
	})
}

// TestCrashReports guards against evidence that does not reach the leader, or a leader's
// that is not applied.
func TestCrashReports(t *testing.T) {
	fatal := requestWith("/unsafe/x", "fatal")
	t.Run("a crash is reported once, and again to a new leader", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.crash(fatal)
			for _, want := range []int{1, 0} {
				report, err := s.dispatcher.Demand(s.ctx, false)
				asserter.NoError(t, err)
				asserter.Equal(t, len(report.Crashes.Crashes), want)
				asserter.NoError(t, s.dispatcher.HandleReply(s.ctx, buckthorndyke.DemandReply{Leading: true}))
			}
			asserter.NoError(t, s.dispatcher.HandleNoLeader(s.ctx))
			report, err := s.dispatcher.Demand(s.ctx, false)
			asserter.NoError(t, err)
			asserter.Equal(t, len(report.Crashes.Crashes), 1)
		})
	})
	t.Run("a leader's evidence is applied and not reported back", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			_, err := s.dispatcher.Demand(s.ctx, false)
			asserter.NoError(t, err)
			asserter.NoError(t, s.dispatcher.HandleReply(s.ctx, buckthorndyke.DemandReply{Leading: true, Crashes: buckthorndyke.CrashEvidence{
				Quarantines: []buckthorndyke.QuarantineNotice{{Fingerprint: fatal.Fingerprint(), Left: buckthorndyke.Second}}, Version: 7,
			}}))
			s.assertQuarantined(fatal)
			report, err := s.dispatcher.Demand(s.ctx, false)
			asserter.NoError(t, err)
			asserter.True(t, report.Crashes.Empty(), "the leader's evidence is reported back")
			asserter.Equal(t, report.CrashesSeen, uint64(7))
		})
	})
}
