package dispatcher_test

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/dispatcher"
)

// withReadTimes runs test on a fixture that has read prompts of 500 to 2,000 tokens in 0.1 ms
// per token, with a target of 400 ms, and with a route /long/ with a target of 2 s. Both have
// the given priority.
func withReadTimes(t *testing.T, priority int, test func(s *fixture), opts ...dispatcher.Option) {
	t.Helper()
	withFixture(t, func(s *fixture) {
		route := func(prefix string, target buckthorndyke.Millis) buckthorndyke.Route {
			return buckthorndyke.Route{
				Attempts: 1, Host: "h", Kind: buckthorndyke.RouteStream, LatencyTarget: target, Prefix: prefix, Priority: priority,
				Targets: []buckthorndyke.RouteTarget{{Service: engines, Weight: 1}}, Timeout: 5 * buckthorndyke.Second,
			}
		}
		r := routing().WithRoutes([]buckthorndyke.Route{route("/stream/", 400), route("/long/", 2000)})
		r.Version = 2
		s.publish(r)
		s.list(runner("r1", hall))
		for n := range 40 {
			s.assertUrgency("/stream/", 500+n%4*500, priority*2)
		}
		test(s)
	}, opts...)
}

// assertUrgency reports an error if a request is not sent with an urgency.
func (s *fixture) assertUrgency(path string, tokens, want int) {
	s.t.Helper()
	s.pool.setResponses(scriptedResponse{body: "data: well\n\n", delay: buckthorndyke.Millis(tokens / 10)})
	r := manyTokens(tokens)
	r.Path, r.Target = path, path
	_, err := s.relay(r)
	asserter.NoError(s.t, err)
	sent := s.pool.sent()
	asserter.Equal(s.t, sent[len(sent)-1].Urgency, want)
}

// TestLongPrompts guards against long prompts that servers read before short ones although
// they have more time left, and against those that pass or fall behind another priority.
func TestLongPrompts(t *testing.T) {
	t.Run("a long prompt with time left comes between its priority and the next one", func(t *testing.T) {
		m := &meter{values: make(map[buckthorndyke.Metric]int64)}
		withReadTimes(t, 1, func(s *fixture) {
			s.assertUrgency("/long/", 5000, 3)
			s.assertUrgency("/long/", 600, 2)
			s.assertUrgency("/stream/", 5000, 2)
			asserter.Equal(t, m.values[buckthorndyke.MetricPromptsYielded], 1)
		}, dispatcher.WithMeter(m))
	})
	t.Run("the last priorities stay within the range of the servers", func(t *testing.T) {
		withReadTimes(t, 4, func(s *fixture) { s.assertUrgency("/long/", 5000, 9) })
	})
	t.Run("an operator can switch it off", func(t *testing.T) {
		withReadTimes(t, 1, func(s *fixture) { s.assertUrgency("/long/", 5000, 2) }, dispatcher.WithLongPromptsIgnored())
	})
}
