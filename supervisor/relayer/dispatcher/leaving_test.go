package dispatcher_test

import (
	"net/http"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
)

// TestLeaving guards against requests to a server that has said in a response that it is
// shutting down, while the list still says that it serves.
func TestLeaving(t *testing.T) {
	servers := func() []buckthorndyke.Backend {
		return []buckthorndyke.Backend{server("a"), runner("r1", hall)}
	}
	for name, leaving := range map[string]scriptedResponse{
		"a response":    {body: "booked", leaving: true},
		"an error":      {leaving: true, status: http.StatusInternalServerError},
		"a refusal":     {leaving: true, notRun: true, status: http.StatusServiceUnavailable},
		"a misdirected": {leaving: true, notRun: true, status: http.StatusMisdirectedRequest},
		"half a body":   {body: "half", broken: true, leaving: true},
	} {
		t.Run(name+" that says so ends the requests to the server", func(t *testing.T) {
			withFixture(t, func(s *fixture) {
				s.list(servers()...)
				s.pool.setResponses(leaving)
				_, _ = s.relay(request("/unsafe/x"))
				sent := len(s.pool.sent())
				// The list says again that the same server serves.
				s.list(servers()...)
				_, err := s.relay(request("/unsafe/x"))
				asserter.Verdict(t, err, buckthorndyke.NotRun)
				asserter.Equal(t, len(s.pool.sent()), sent)
			})
		})
	}
	t.Run("a stream that says so ends the requests to the runner", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.list(servers()...)
			s.pool.setResponses(scriptedResponse{body: "data: a\n\n", leaving: true})
			_, err := s.relay(streamRequest("/stream/x", hall))
			asserter.NoError(t, err)
			_, err = s.relay(streamRequest("/stream/x", hall))
			asserter.Verdict(t, err, buckthorndyke.NotRun)
			asserter.Equal(t, len(s.pool.sent()), 1)
		})
	})
	t.Run("a server that has started again under its id gets requests", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.list(servers()...)
			s.pool.setResponses(scriptedResponse{leaving: true})
			s.assertServed(request("/unsafe/x"))
			s.list()
			again := server("a")
			again.Incarnation = 2
			s.list(again)
			s.assertServed(request("/unsafe/x"))
			asserter.Equal(t, len(s.pool.sent()), 2)
		})
	})
}
