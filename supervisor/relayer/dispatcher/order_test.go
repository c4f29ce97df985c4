package dispatcher_test

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/dispatcher"
)

// ranked returns a configuration with routes to the service without models, /0/ to /2/, by
// their priorities.
func ranked() buckthorndyke.Routing {
	var routes []buckthorndyke.Route
	for priority := range 3 {
		routes = append(routes, buckthorndyke.Route{
			Attempts: 1, Host: "h", Kind: buckthorndyke.RouteUnsafe, LatencyTarget: 400, Prefix: "/" + strconv.Itoa(priority) + "/", Priority: priority,
			Targets: []buckthorndyke.RouteTarget{{Service: desk, Weight: 1}}, Timeout: 8 * buckthorndyke.Second,
		})
	}
	return routing().WithRoutes(routes)
}

// start sends a request in another goroutine, which ends with running.
func (s *fixture) start(running *sync.WaitGroup, path string) {
	s.t.Helper()
	running.Go(func() {
		r := request(path)
		r.Arrived, r.Deadline, r.ID = s.clock.Now(), 8*buckthorndyke.Second, buckthorndyke.RequestID(path)
		_ = s.dispatcher.Relay(s.ctx, r, &response{})
	})
	synctest.Wait()
}

// withOneSlot runs test with one server, whose requests take 200 ms each and which takes one
// request at a time from 300 ms on: it has asked for a pause and has not served a request
// since.
func withOneSlot(t *testing.T, test func(s *fixture, running *sync.WaitGroup), opts ...dispatcher.Option) {
	t.Helper()
	withFixture(t, func(s *fixture) {
		asserter.NoError(t, s.routings.Publish(s.ctx, ranked()))
		s.list(server("a"))
		slow := scriptedResponse{delay: 200, status: http.StatusInternalServerError}
		s.pool.setResponses(pausing(300), slow, slow, slow, slow, slow, slow)
		var running sync.WaitGroup
		s.start(&running, "/2/first")
		s.wait(10)
		test(s, &running)
		running.Wait()
	}, opts...)
}

// assertPaths reports an error unless the requests were sent in the given order.
func (s *fixture) assertPaths(want ...string) {
	s.t.Helper()
	var got []string
	for _, d := range s.pool.sent() {
		got = append(got, d.Request.Path)
	}
	asserter.Equal(s.t, got, want)
}

// TestOrder guards against waiting requests that get free slots in the order of their
// arrival, in which urgent ones miss their targets behind others.
func TestOrder(t *testing.T) {
	t.Run("a free slot goes to the most urgent request", func(t *testing.T) {
		withOneSlot(t, func(s *fixture, running *sync.WaitGroup) {
			s.start(running, "/1/a")
			s.start(running, "/0/b")
			running.Wait()
			s.assertPaths("/2/first", "/0/b", "/1/a", "/2/first")
		})
	})
	t.Run("a request that has just arrived does not pass one that goes before it", func(t *testing.T) {
		withOneSlot(t, func(s *fixture, running *sync.WaitGroup) {
			s.start(running, "/0/a")
			s.wait(291)
			s.start(running, "/1/b")
			running.Wait()
			s.assertPaths("/2/first", "/0/a", "/1/b", "/2/first")
		})
	})
	t.Run("the end of a request offers its slot at once", func(t *testing.T) {
		withOneSlot(t, func(s *fixture, running *sync.WaitGroup) {
			s.start(running, "/0/a")
			s.start(running, "/0/b")
			s.wait(290 + 201)
			asserter.Equal(t, len(s.pool.sent()), 3)
		})
	})
	t.Run("a caller that floods does not delay another one", func(t *testing.T) {
		withOneSlot(t, func(s *fixture, running *sync.WaitGroup) {
			results := make(chan error, 20)
			for n := range 15 {
				r := request("/1/flood").WithCaller("flood")
				r.Body, r.Deadline = []byte(strconv.Itoa(n)), 8*buckthorndyke.Second
				s.startRequest(running, results, r)
			}
			r := request("/1/small").WithCaller("small")
			r.Deadline = 8 * buckthorndyke.Second
			s.startRequest(running, results, r)
			running.Wait()
			at := slices.IndexFunc(s.pool.sent(), func(d buckthorndyke.Dispatch) bool { return d.Request.Caller == "small" })
			asserter.True(t, at > 0 && at <= 6, "the request of the small caller is number "+strconv.Itoa(at))
		})
	})
	t.Run("an operator can choose the order of arrival", func(t *testing.T) {
		withOneSlot(t, func(s *fixture, running *sync.WaitGroup) {
			s.start(running, "/1/a")
			s.start(running, "/0/b")
			running.Wait()
			s.assertPaths("/2/first", "/2/first", "/1/a", "/0/b")
		}, dispatcher.WithArrivalOrder())
	})
	t.Run("a request whose client has disconnected gets no slot", func(t *testing.T) {
		withOneSlot(t, func(s *fixture, running *sync.WaitGroup) {
			ctx, leave := context.WithCancel(s.ctx)
			running.Go(func() {
				r := request("/0/gone")
				r.Arrived = s.clock.Now()
				_ = s.dispatcher.Relay(ctx, r, &response{})
			})
			synctest.Wait()
			leave()
			s.start(running, "/1/a")
			running.Wait()
			s.assertPaths("/2/first", "/1/a", "/2/first")
		})
	})
}
