package endtoend

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/platform/imitator"
)

const (
	// lateClients is the number of clients that end their request at each instant.
	lateClients = 4
	// lateDeadline is the deadline and the timeout of the requests, beyond the end of the
	// stop.
	lateDeadline = 20 * time.Second
	// lateDuration is how long the servers take.
	lateDuration = 2 * time.Second
	// servedBefore is the time after SIGTERM before which a request is served, and
	// refusedAfter that after which it is not: about when lateDuration and an eighth more
	// are left of the 7 s.
	servedBefore = 4 * time.Second
	refusedAfter = 5 * time.Second
)

// lateResponse is the response to a request that ended at an instant after SIGTERM.
type lateResponse struct {
	imitator.Response
	end    time.Duration
	stream bool
}

// TestLateRequests guards against requests that come late in a planned stop, which were sent
// to servers and cut at its end without a response.
func TestLateRequests(t *testing.T) {
	s := startRelayFixture(t, true, nil)
	call := imitator.Request{Body: "a body in two parts", Deadline: lateDeadline, Target: "/brittle/x"}
	stream := imitator.Request{Body: call.Body, Deadline: lateDeadline, Model: "cold-2", Target: "/streams/x"}
	servers := append(s.servers(),
		s.startServer("slow-desk", "brittle", imitator.WithResponseTime(lateDuration)),
		s.startServer("slow-runner", "engines", imitator.WithEvents(streamEvents, lateDuration/streamEvents), imitator.WithModels("cold-2")))
	asserter.NoError(t, s.store.Put(s.ctx, imitator.ConfigTopic, imitator.ConfigKey,
		imitator.WithTimeout(imitator.Config(5, "/calls/"), int(lateDeadline.Milliseconds()))))
	// The VM learns from these requests how long the later ones take.
	for _, q := range []imitator.Request{call, stream} {
		asserter.Eventually(t, waitLimit, func() bool {
			began := time.Now()
			return q.Send(s.ctx, http.DefaultClient, s.addresses[0]).Status == http.StatusOK && time.Since(began) >= lateDuration
		})
	}
	var clients sync.WaitGroup
	responses := make(chan lateResponse, 256)
	for end := 500 * time.Millisecond; end < 7500*time.Millisecond; end += time.Second {
		for i := range 2 * lateClients {
			q := call
			if i%2 == 1 {
				q = stream
			}
			q.BodyPause = end
			clients.Go(func() {
				client := &http.Client{Transport: &http.Transport{}}
				defer client.CloseIdleConnections()
				responses <- lateResponse{Response: q.Send(s.ctx, client, s.addresses[0]), end: end, stream: i%2 == 1}
			})
		}
	}
	<-time.After(100 * time.Millisecond)
	ctx, cancel := context.WithTimeout(s.ctx, stopTimeout)
	defer cancel()
	code, err := s.processes[0].Stop(ctx)
	asserter.NoError(t, err)
	asserter.Equal(t, code, 0)
	clients.Wait()
	close(responses)
	s.assertLateResponses(responses, servers)
}

// assertLateResponses checks that each request has a complete response, that those that were
// refused have not run, and that those that could be served were.
func (s *relayFixture) assertLateResponses(responses <-chan lateResponse, servers []*imitator.Server) {
	s.t.Helper()
	ran := make(map[string]bool)
	for _, server := range servers {
		list, err := server.Executions(s.ctx)
		asserter.NoError(s.t, err)
		for _, e := range list {
			ran[e.ID] = true
		}
	}
	served, refused := 0, 0
	for r := range responses {
		what := fmt.Sprintf("a request that ended %v after the stop had begun (stream %v)", r.end, r.stream)
		asserter.True(s.t, r.Status != 0 && r.Complete(), what+" was cut")
		asserter.True(s.t, r.Status != http.StatusOK || !r.stream || r.CompleteStream(streamEvents), what+" lacks events")
		switch r.Status {
		case http.StatusOK:
			served++
			asserter.True(s.t, r.end < refusedAfter, what+" was served")
		case http.StatusServiceUnavailable:
			refused++
			asserter.True(s.t, !ran[r.ID], what+" was refused and has run")
			asserter.True(s.t, r.end > servedBefore, what+" was refused")
		default:
			asserter.True(s.t, false, fmt.Sprintf("%s got status %d", what, r.Status))
		}
	}
	s.t.Logf("%d requests were served, %d refused", served, refused)
}
