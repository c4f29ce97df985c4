package dispatcher_test

import (
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
)

// TestTimeLimits guards against the limit for requests without one, which ended requests
// that both their client and their route let take longer.
func TestTimeLimits(t *testing.T) {
	const minute = buckthorndyke.Minute
	for _, c := range []struct{ client, route, want buckthorndyke.Millis }{
		{client: minute, route: minute, want: minute},
		{client: minute, route: 2 * minute, want: minute},
		{client: 2 * minute, route: minute, want: minute},
		{client: 2 * minute, want: 2 * minute},
		{route: 2 * minute, want: 2 * minute},
		{client: buckthorndyke.Second, route: minute, want: buckthorndyke.Second},
		{want: 30 * buckthorndyke.Second},
	} {
		t.Run(fmt.Sprintf("client %d ms, route %d ms", c.client, c.route), func(t *testing.T) {
			withFixture(t, func(s *fixture) {
				s.setTimeout(c.route)
				s.pool.setResponses(scriptedResponse{hang: true})
				began := s.clock.Now()
				r := request("/unsafe/x")
				r.Deadline = c.client
				_, err := s.relay(r)
				asserter.Code(t, err, buckthorndyke.CodeDeadline)
				asserter.Equal(t, s.clock.Now()-began, c.want)
				asserter.Equal(t, s.pool.sent()[0].TimeLeft, c.want)
			})
		})
	}
}

// setTimeout publishes a configuration with the given timeout of the unsafe route.
func (s *fixture) setTimeout(timeout buckthorndyke.Millis) {
	s.t.Helper()
	asserter.NoError(s.t, s.routings.Publish(s.ctx, buckthorndyke.Routing{Version: 2}.
		WithService(buckthorndyke.BackendService{ID: desk}).
		WithRoutes([]buckthorndyke.Route{{
			Attempts: 1, Host: "h", Kind: buckthorndyke.RouteUnsafe, Prefix: "/unsafe/",
			Targets: []buckthorndyke.RouteTarget{{Service: desk, Weight: 1}}, Timeout: timeout,
		}})))
	synctest.Wait()
}
