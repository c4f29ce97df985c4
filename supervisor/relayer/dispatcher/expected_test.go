package dispatcher_test

import (
	"bytes"
	"testing"

	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/dispatcher"
)

// manyTokens returns a request for a stream with a prompt.
func manyTokens(tokens int) buckthorndyke.RelayRequest {
	r := streamRequest("/stream/", hall)
	r.PromptTokens, r.OutputTokens = tokens, 60
	return r
}

func TestServerTimes(t *testing.T) {
	t.Run("the factors of servers are logged, at most once in half a minute", func(t *testing.T) {
		lines := &bytes.Buffer{}
		withFixture(t, func(s *fixture) {
			s.list(runner("r1", hall), runner("r2", hall))
			for n := range 60 {
				tokens := 500 + n%4*500
				s.pool.setResponses(scriptedResponse{body: "data: well\n\n", delay: buckthorndyke.Millis(tokens / 10)})
				_, err := s.relay(manyTokens(tokens))
				asserter.NoError(t, err)
			}
			for range 3 {
				_, err := s.dispatcher.Demand(s.ctx, false)
				asserter.NoError(t, err)
			}
			asserter.Equal(t, bytes.Count(lines.Bytes(), []byte(`"server-times"`)), 1)
			asserter.Contains(t, lines.String(), `"slowest":["r`)
		}, dispatcher.WithLogger(zerolog.New(lines)))
	})
	t.Run("the difference from what was expected is measured", func(t *testing.T) {
		m := &meter{values: make(map[buckthorndyke.Metric]int64)}
		withFixture(t, func(s *fixture) {
			for range 12 {
				s.pool.setResponses(scriptedResponse{body: "data: well\n\n", delay: 40})
				_, err := s.relay(manyTokens(600))
				asserter.NoError(t, err)
			}
			asserter.True(t, m.observed > 0, "no difference was measured")
		}, dispatcher.WithMeter(m))
	})
}
