package dispatcher_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/apportioner"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/dispatcher"
)

const (
	limited    = buckthorndyke.CallerID("limited")
	limitedKey = "key-of-limited"
)

// allotmentBounds leave room for one second of the allotment.
var allotmentBounds = buckthorndyke.AllotmentBounds{Overage: 0.1, Window: 8 * buckthorndyke.Second}

// withAllotment runs test with a configuration in which a caller may use 1000 tokens a
// second.
func withAllotment(t *testing.T, test func(s *fixture)) {
	t.Helper()
	withFixture(t, func(s *fixture) {
		s.setAllotment(1000)
		test(s)
	}, dispatcher.WithAllotmentBounds(allotmentBounds))
}

// setAllotment puts a configuration in force in which a caller has an allotment.
func (s *fixture) setAllotment(perSecond float64) {
	s.t.Helper()
	r := routing()
	r.Callers = buckthorndyke.NewCallers().WithCaller(buckthorndyke.Caller{
		Allotment: buckthorndyke.Allotment{Burst: perSecond, PerSecond: perSecond, PlainTokens: 200, Unit: buckthorndyke.AllotmentTokens},
		ID:        limited,
		Keys:      []buckthorndyke.KeyDigest{buckthorndyke.DigestKey(limitedKey)},
	})
	asserter.NoError(s.t, s.routings.Publish(s.ctx, r))
	synctest.Wait()
}

// limitedRequest returns a request that costs 200 tokens.
func limitedRequest() buckthorndyke.RelayRequest {
	r := request("/safe/")
	r.Credential = buckthorndyke.NewCredential(limitedKey)
	return r
}

// relayLater sends a request and returns a channel that gets the error.
func (s *fixture) relayLater(r buckthorndyke.RelayRequest) <-chan error {
	out := make(chan error, 1)
	r.Arrived = s.clock.Now()
	r.ID = "one"
	go func() { out <- s.dispatcher.Relay(s.ctx, r, &response{}) }()
	synctest.Wait()
	return out
}

// use returns what the VM reports for the caller.
func (s *fixture) use() buckthorndyke.AllotmentUse {
	s.t.Helper()
	report, err := s.dispatcher.Demand(s.ctx, false)
	asserter.NoError(s.t, err)
	if len(report.Allotments) == 0 {
		return buckthorndyke.AllotmentUse{}
	}
	return report.Allotments[0]
}

// grant passes on a leader's grant, in the reply to a report.
func (s *fixture) grant(g buckthorndyke.AllotmentGrant) {
	s.t.Helper()
	g.Caller = limited
	s.use()
	asserter.NoError(s.t, s.dispatcher.HandleReply(s.ctx, buckthorndyke.DemandReply{
		Allotments: []buckthorndyke.AllotmentGrant{g}, Leading: true,
	}))
	synctest.Wait()
}

func TestAllotments(t *testing.T) {
	// Guards against a new leader that takes a VM for one that was in contact with its predecessor
	// although it was not.
	t.Run("a report tells the position of the leader that has granted something last", func(t *testing.T) {
		withAllotment(t, func(s *fixture) {
			for _, position := range []int64{7, apportioner.UnsettledPosition, 0} {
				s.use()
				asserter.NoError(t, s.dispatcher.HandleReply(s.ctx, buckthorndyke.DemandReply{
					Allotments: []buckthorndyke.AllotmentGrant{{Caller: limited}}, LeaderPosition: position, Leading: true,
				}))
				synctest.Wait()
				report, err := s.dispatcher.Demand(s.ctx, false)
				asserter.NoError(t, err)
				asserter.Equal(t, report.LeaderPosition, position)
			}
		})
	})
	t.Run("a request waits for the first grant and is then served", func(t *testing.T) {
		withAllotment(t, func(s *fixture) {
			done := s.relayLater(limitedRequest())
			time.Sleep(time.Second)
			asserter.Equal(t, len(s.pool.sent()), 0)
			asserter.Equal(t, s.use().Waiting, 200)
			s.grant(buckthorndyke.AllotmentGrant{Limit: 500})
			asserter.NoError(t, <-done)
			asserter.Equal(t, s.use().Spent, 200)
		})
	})
	t.Run("requests within the limit are served at once", func(t *testing.T) {
		withAllotment(t, func(s *fixture) {
			done := s.relayLater(limitedRequest())
			s.grant(buckthorndyke.AllotmentGrant{Limit: 600})
			asserter.NoError(t, <-done)
			for range 2 {
				_, err := s.relay(limitedRequest())
				asserter.NoError(t, err)
			}
			asserter.Equal(t, s.use().Spent, 600)
		})
	})
	t.Run("a request is refused with the time when the leader says that there is no room", func(t *testing.T) {
		withAllotment(t, func(s *fixture) {
			done := s.relayLater(limitedRequest())
			s.grant(buckthorndyke.AllotmentGrant{RoomIn: 600})
			err := <-done
			asserter.Code(t, err, buckthorndyke.CodeAllotmentExceeded)
			refusal := buckthorndyke.RefusalOf(err)
			asserter.Equal(t, refusal.Verdict(), buckthorndyke.NotRun)
			asserter.True(t, refusal.RetryAfter() >= 600 && refusal.RetryAfter() <= 667, "the time to retry is wrong")
			_, err = s.relay(limitedRequest())
			asserter.Code(t, err, buckthorndyke.CodeAllotmentExceeded)
			asserter.Equal(t, len(s.pool.sent()), 0)
		})
	})
	t.Run("a request that will have room soon waits", func(t *testing.T) {
		withAllotment(t, func(s *fixture) {
			done := s.relayLater(limitedRequest())
			s.grant(buckthorndyke.AllotmentGrant{RoomIn: 100})
			time.Sleep(100 * time.Millisecond)
			s.grant(buckthorndyke.AllotmentGrant{Limit: 200})
			asserter.NoError(t, <-done)
		})
	})
	t.Run("without a leader a request is refused as unknown, not as beyond the allotment", func(t *testing.T) {
		withAllotment(t, func(s *fixture) {
			_, err := s.relay(limitedRequest())
			asserter.Code(t, err, buckthorndyke.CodeAllotmentUnknown)
			asserter.Equal(t, s.use().Asked, 200)
		})
	})
	t.Run("without a leader the VM goes on by its share", func(t *testing.T) {
		withAllotment(t, func(s *fixture) {
			done := s.relayLater(limitedRequest())
			s.grant(buckthorndyke.AllotmentGrant{Limit: 200, Share: 0.5})
			asserter.NoError(t, <-done)
			asserter.NoError(t, s.dispatcher.HandleNoLeader(s.ctx))
			begin := s.clock.Now()
			for range 5 {
				_, err := s.relay(limitedRequest())
				asserter.NoError(t, err)
			}
			asserter.Equal(t, s.clock.Now()-begin, 2*buckthorndyke.Second)
		})
	})
	t.Run("a request that no server has run is refunded", func(t *testing.T) {
		withAllotment(t, func(s *fixture) {
			s.pool.setResponses(scriptedResponse{err: errUnreachable}, scriptedResponse{err: errUnreachable}, scriptedResponse{err: errUnreachable})
			done := s.relayLater(limitedRequest())
			s.grant(buckthorndyke.AllotmentGrant{Limit: 200})
			asserter.Error(t, <-done)
			synctest.Wait()
			asserter.Equal(t, s.use().Spent, 0)
			_, err := s.relay(limitedRequest())
			asserter.NoError(t, err)
			asserter.Equal(t, s.use().Spent, 200)
		})
	})
	t.Run("a request that may have run is not refunded", func(t *testing.T) {
		withAllotment(t, func(s *fixture) {
			r := request("/unsafe/")
			r.Credential = buckthorndyke.NewCredential(limitedKey)
			s.pool.setResponses(scriptedResponse{err: errNoResponse})
			done := s.relayLater(r)
			s.grant(buckthorndyke.AllotmentGrant{Limit: 200})
			asserter.Error(t, <-done)
			synctest.Wait()
			asserter.Equal(t, s.use().Spent, 200)
		})
	})
	t.Run("retries are charged once", func(t *testing.T) {
		withAllotment(t, func(s *fixture) {
			s.pool.setResponses(scriptedResponse{err: errUnreachable})
			done := s.relayLater(limitedRequest())
			s.grant(buckthorndyke.AllotmentGrant{Limit: 1000})
			asserter.NoError(t, <-done)
			asserter.Equal(t, len(s.pool.sent()), 2)
			asserter.Equal(t, s.use().Spent, 200)
		})
	})
	t.Run("a client that disconnects leaves no request waiting", func(t *testing.T) {
		withAllotment(t, func(s *fixture) {
			ctx, cancel := context.WithTimeout(s.ctx, 100*time.Millisecond)
			defer cancel()
			_, err := s.relayFor(ctx, limitedRequest())
			asserter.Code(t, err, buckthorndyke.CodeCallerGone)
			asserter.Equal(t, s.use().Waiting, 0)
		})
	})
	t.Run("an allotment that is removed lets waiting requests go", func(t *testing.T) {
		withAllotment(t, func(s *fixture) {
			done := s.relayLater(limitedRequest())
			s.setAllotment(0)
			asserter.NoError(t, <-done)
		})
	})
	t.Run("requests without an allotment are not charged", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			_, err := s.relay(limitedRequest())
			asserter.NoError(t, err)
			report, err := s.dispatcher.Demand(s.ctx, false)
			asserter.NoError(t, err)
			asserter.Equal(t, len(report.Allotments), 0)
			asserter.Equal(t, report.Number, 0)
		})
	})
	t.Run("a request that waits for a grant makes the VM report early", func(t *testing.T) {
		withAllotment(t, func(s *fixture) {
			done := s.relayLater(limitedRequest())
			select {
			case <-s.dispatcher.WorkWaiting():
			default:
				t.Error("the VM does not report")
			}
			asserter.Code(t, <-done, buckthorndyke.CodeAllotmentUnknown)
		})
	})
}
