package dispatcher_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
)

func TestTokens(t *testing.T) {
	t.Run("the loads that are told carry the prompt tokens until the first event", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.pool.setResponses(scriptedResponse{body: "data: well\n\n", delay: 100, lasts: 100})
			ended := make(chan error)
			go func() { ended <- s.relayBeside(manyTokens(700)) }()
			time.Sleep(50 * time.Millisecond)
			asserter.Equal(t, s.demand().ServerLoads, []buckthorndyke.ServerLoad{{PromptTokens: 700, Requests: 1, Server: "r1"}})
			time.Sleep(100 * time.Millisecond)
			asserter.Equal(t, s.demand().ServerLoads, []buckthorndyke.ServerLoad{{Requests: 1, Server: "r1"}})
			asserter.NoError(t, <-ended)
		})
	})
	t.Run("nothing is left of the load after the end", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			for _, r := range []scriptedResponse{{body: "data: well\n\n"}, {err: errUnreachable}, full, {body: "data: we", broken: true}} {
				s.pool.setResponses(r)
				_, _ = s.relay(manyTokens(700))
			}
			synctest.Wait()
			asserter.Equal(t, len(s.demand().ServerLoads), 0)
		})
	})
	t.Run("a request that is larger than the memory of a runner is refused and not sent", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			limited := routing().WithService(buckthorndyke.BackendService{Engine: &buckthorndyke.EngineConfig{CacheTokens: 1000}, ID: engines})
			limited.Version = 2
			asserter.NoError(t, s.routings.Publish(s.ctx, limited))
			synctest.Wait()
			_, err := s.relay(manyTokens(950))
			asserter.Refused(t, err, buckthorndyke.CodeTooLarge, buckthorndyke.NotRun)
			asserter.Equal(t, len(s.pool.sent()), 0)
			_, err = s.relay(manyTokens(900))
			asserter.NoError(t, err)
		})
	})
}

// demand returns the demand that the dispatcher reports.
func (s *fixture) demand() buckthorndyke.DemandReport {
	s.t.Helper()
	d, err := s.dispatcher.Demand(s.ctx, false)
	asserter.NoError(s.t, err)
	return d
}
