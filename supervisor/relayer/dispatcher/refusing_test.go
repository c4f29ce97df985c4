package dispatcher_test

import (
	"bytes"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/dispatcher"
)

// gym is a model that no runner has loaded at first.
const gym = buckthorndyke.ModelID("gym")

// leadsWithGym sends the reply of a leader that expects gym to be loaded after d.
func (s *fixture) leadsWithGym(d buckthorndyke.Millis) {
	s.t.Helper()
	s.leadsWithLoads(buckthorndyke.LoadEstimate{Key: buckthorndyke.ModelKey{Model: gym, Service: engines}, ReadyIn: d})
}

// TestHopelessLoads guards against requests that are held although their model will be
// loaded too late, and against refusals of those that may be served.
func TestHopelessLoads(t *testing.T) {
	t.Run("a request whose model is loaded much too late is refused at once", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.leadsWithGym(13 * buckthorndyke.Second)
			began := s.clock.Now()
			_, err := s.relay(streamRequest("/stream/x", gym))
			asserter.Refused(t, err, buckthorndyke.CodeRunnerUnavailable, buckthorndyke.NotRun)
			asserter.Contains(t, err.Error(), "predicted to be loaded too late")
			asserter.Equal(t, s.clock.Now(), began)
			retry := buckthorndyke.RefusalOf(err).RetryAfter()
			asserter.True(t, retry >= 333 && retry <= 2000/3, "the client is told to return after "+strconv.Itoa(int(retry)))
		})
	})
	t.Run("a waiting request is refused when the leader says that the load is late", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.leads()
			began := s.clock.Now()
			results := make(chan error, 1)
			s.startRequest(new(sync.WaitGroup), results, streamRequest("/stream/x", gym))
			s.wait(100)
			s.leadsWithGym(13 * buckthorndyke.Second)
			asserter.Verdict(t, <-results, buckthorndyke.NotRun)
			asserter.Equal(t, s.clock.Now()-began, 100)
		})
	})
	t.Run("a request for a model that a runner has is not refused because of a further load", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.list(runner("r1", gym))
			s.leadsWithGym(13 * buckthorndyke.Second)
			s.pool.setResponses(scriptedResponse{notRun: true, status: 503})
			s.assertServed(streamRequest("/stream/x", gym))
		})
	})
	t.Run("a request that may have run waits as long as it may", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.list(runner("r1", gym))
			s.leads()
			s.pool.setResponses(scriptedResponse{body: "id: 1\ndata: a\n\n", broken: true, delay: 50})
			began := s.clock.Now()
			results := make(chan error, 1)
			s.startRequest(new(sync.WaitGroup), results, streamRequest("/resumable/x", gym))
			s.list(runner("r1"))
			s.leadsWithGym(13 * buckthorndyke.Second)
			asserter.Verdict(t, <-results, buckthorndyke.MayHaveRun)
			asserter.Equal(t, s.clock.Now()-began, 300)
		})
	})
	t.Run("in the order of arrival a request waits as long as it may", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.leadsWithGym(13 * buckthorndyke.Second)
			began := s.clock.Now()
			_, err := s.relay(streamRequest("/stream/x", gym))
			asserter.Verdict(t, err, buckthorndyke.NotRun)
			asserter.Equal(t, s.clock.Now()-began, 300)
		}, dispatcher.WithArrivalOrder())
	})
}

// TestRoom guards against requests that wait until their limits behind more others than can
// be served, and against clients that return and wait behind new ones.
func TestRoom(t *testing.T) {
	// withQueue runs test while 40 requests have waited for a server that serves one every
	// 100 ms, and 12 of them were served.
	withQueue := func(t *testing.T, test func(s *fixture, results chan error, running *sync.WaitGroup), opts ...dispatcher.Option) {
		t.Helper()
		withFixture(t, func(s *fixture) {
			asserter.NoError(t, s.routings.Publish(s.ctx, ranked()))
			s.list(server("a"))
			responses := []scriptedResponse{pausing(100)}
			for range 200 {
				responses = append(responses, scriptedResponse{delay: 100, status: 500})
			}
			s.pool.setResponses(responses...)
			var running sync.WaitGroup
			results := make(chan error, 100)
			for n := range 40 {
				s.startWith(&running, results, "/1/"+strconv.Itoa(n))
			}
			s.wait(1350)
			test(s, results, &running)
			running.Wait()
		}, opts...)
	}
	t.Run("a request that cannot be met is refused at once with the predicted time", func(t *testing.T) {
		withQueue(t, func(s *fixture, results chan error, running *sync.WaitGroup) {
			before := len(results)
			s.startShort(running, results, "/2/short")
			asserter.Equal(t, len(results), before+1)
			for range before {
				asserter.NoError(t, <-results)
			}
			err := <-results
			asserter.Refused(t, err, buckthorndyke.CodeRunnerUnavailable, buckthorndyke.NotRun)
			asserter.Contains(t, err.Error(), "predicted wait")
			retry := buckthorndyke.RefusalOf(err).RetryAfter()
			asserter.True(t, retry >= 250 && retry <= 500, "the client is told to return after "+strconv.Itoa(int(retry)))
		})
	})
	t.Run("a request that can be met waits", func(t *testing.T) {
		withQueue(t, func(s *fixture, results chan error, running *sync.WaitGroup) {
			before := len(results)
			s.startShort(running, results, "/0/short")
			asserter.Equal(t, len(results), before)
		})
	})
	t.Run("in the order of arrival it waits as long as it may", func(t *testing.T) {
		withQueue(t, func(s *fixture, results chan error, running *sync.WaitGroup) {
			before := len(results)
			s.startShort(running, results, "/2/short")
			asserter.Equal(t, len(results), before)
		}, dispatcher.WithArrivalOrder())
	})
	t.Run("clients that are refused together are told to return at different times", func(t *testing.T) {
		withQueue(t, func(s *fixture, results chan error, running *sync.WaitGroup) {
			before := len(results)
			for n := range 20 {
				s.startShort(running, results, "/2/"+strconv.Itoa(n))
			}
			times := make(map[buckthorndyke.Millis]bool)
			for n := range before + 20 {
				if err := <-results; n >= before {
					asserter.Verdict(t, err, buckthorndyke.NotRun)
					times[buckthorndyke.RefusalOf(err).RetryAfter()] = true
				}
			}
			asserter.True(t, len(times) >= 15, "the clients return together")
		})
	})
	t.Run("a client that returns as it was told goes before new ones of its rank", func(t *testing.T) {
		withQueue(t, func(s *fixture, results chan error, running *sync.WaitGroup) {
			s.startShort(running, results, "/2/refused")
			s.wait(500)
			s.startWith(running, results, "/2/new")
			s.startWith(running, results, "/2/refused")
			running.Wait()
			s.assertLast("/2/refused", "/2/new")
		})
	})
	t.Run("a client that returns too early does not", func(t *testing.T) {
		withQueue(t, func(s *fixture, results chan error, running *sync.WaitGroup) {
			s.startShort(running, results, "/2/refused")
			s.wait(100)
			s.startWith(running, results, "/2/new")
			s.startWith(running, results, "/2/refused")
			running.Wait()
			s.assertLast("/2/new", "/2/refused")
		})
	})
	t.Run("lines and metrics say why requests were refused and how long they waited", func(t *testing.T) {
		var lines bytes.Buffer
		counts := &counter{values: make(map[buckthorndyke.Metric]int64)}
		withQueue(t, func(s *fixture, results chan error, running *sync.WaitGroup) {
			for n := range 30 {
				s.startShort(running, results, "/2/"+strconv.Itoa(n))
			}
			s.startWith(running, results, "/1/late")
		}, dispatcher.WithLogger(zerolog.New(zerolog.SyncWriter(&lines))), dispatcher.WithMeter(counts))
		refusals := strings.Count(lines.String(), `"event":"wait-refused"`)
		asserter.True(t, refusals > 0 && refusals <= 16, "the number of lines on refusals is "+strconv.Itoa(refusals))
		asserter.True(t, strings.Contains(lines.String(), `"reason":"no-room"`), "a line does not say why")
		asserter.True(t, strings.Contains(lines.String(), `"event":"wait-ended","request":"/1/late"`), "a predicted wait is not compared with the real one")
		asserter.Equal(t, counts.values["waits-refused/priority-2/no-room"], 30)
		asserter.True(t, counts.values["wait-ms/priority-1"] > 20, "the waits are not recorded")
	})
}

// counter counts measurements by metric. It implements buckthorndyke.Meter for one goroutine.
type counter struct {
	values map[buckthorndyke.Metric]int64
}

// Count implements buckthorndyke.Meter.
func (c *counter) Count(m buckthorndyke.Metric, n int64) { c.values[m] += n }

// Observe implements buckthorndyke.Meter.
func (c *counter) Observe(m buckthorndyke.Metric, _ buckthorndyke.Millis) { c.values[m]++ }

// Set implements buckthorndyke.Meter.
func (c *counter) Set(buckthorndyke.Metric, int64) {}

// assertLast reports an error unless the last requests that were sent are the given ones.
func (s *fixture) assertLast(want ...string) {
	s.t.Helper()
	var got []string
	for _, d := range s.pool.sent() {
		got = append(got, d.Request.Path)
	}
	asserter.Equal(s.t, got[max(len(got)-len(want), 0):], want)
}

// startWith is like start, and sends the result of the request to results.
func (s *fixture) startWith(running *sync.WaitGroup, results chan error, path string) {
	s.t.Helper()
	s.startFor(running, results, path, 8*buckthorndyke.Second)
}

// startShort is like startWith for a request with a deadline of 1.5 s.
func (s *fixture) startShort(running *sync.WaitGroup, results chan error, path string) {
	s.t.Helper()
	s.startFor(running, results, path, 1500)
}

// startFor is like startWith for a request with the given deadline.
func (s *fixture) startFor(running *sync.WaitGroup, results chan error, path string, deadline buckthorndyke.Millis) {
	s.t.Helper()
	r := request(path)
	r.Deadline = deadline
	s.startRequest(running, results, r)
}

// startRequest sends a request in another goroutine, which ends with running, and sends its
// result to results.
func (s *fixture) startRequest(running *sync.WaitGroup, results chan error, r buckthorndyke.RelayRequest) {
	s.t.Helper()
	running.Go(func() {
		r.Arrived, r.ID = s.clock.Now(), buckthorndyke.RequestID(r.Path)
		results <- s.dispatcher.Relay(s.ctx, r, &response{})
	})
	synctest.Wait()
}
