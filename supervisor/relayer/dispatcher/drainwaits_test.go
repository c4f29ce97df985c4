package dispatcher_test

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/dispatcher"
)

// TestWaitsInDrain guards against requests that wait in a planned stop until all requests are
// ended together, when little time is left for their responses.
func TestWaitsInDrain(t *testing.T) {
	for name, r := range map[string]buckthorndyke.RelayRequest{
		"a grant":  withKey(request("/unsafe/"), limitedKey),
		"a server": withKey(request("/unsafe/"), "key-a"),
	} {
		t.Run("a request that waits for "+name+" is refused when no request may wait any more", func(t *testing.T) {
			withFixture(t, func(s *fixture) {
				s.publish(slowCallersRouting())
				s.list()
				r.Deadline = drainEnd - 100
				done := s.relayLater(r)
				s.startDrain()
				began := s.clock.Now()
				asserter.Verdict(t, <-done, buckthorndyke.NotRun)
				asserter.True(t, s.clock.Now()-began <= drainEnd/2, "the request waited too long")
			}, dispatcher.WithAllotmentBounds(allotmentBounds))
		})
	}
}

// slowCallersRouting returns a configuration with the callers a and limited, of which the
// latter has an allotment, and with routes whose timeout is a minute.
func slowCallersRouting() buckthorndyke.Routing {
	out := callersRouting(2, "a")
	var routes []buckthorndyke.Route
	for r := range out.All() {
		r.Timeout = buckthorndyke.Minute
		routes = append(routes, r)
	}
	out = out.WithRoutes(routes)
	out.Callers = out.Callers.WithCaller(buckthorndyke.Caller{
		Allotment: buckthorndyke.Allotment{Burst: 1000, PerSecond: 1000, PlainTokens: 200, Unit: buckthorndyke.AllotmentTokens},
		ID:        limited,
		Keys:      []buckthorndyke.KeyDigest{buckthorndyke.DigestKey(limitedKey)},
	})
	return out
}
