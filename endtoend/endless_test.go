package endtoend

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/platform/imitator"
)

const (
	// memoryMB is the memory of a VM in the settings of the test, as on the smallest
	// machines of the sites.
	memoryMB = 284
	// endlessRequests is the number of requests that a faulty server answers at a time.
	endlessRequests = 200
	// endlessDeadline is the time limit of each of them.
	endlessDeadline = 3 * time.Second
)

// endlessResponse is the response of a faulty server, and whether its requests ask for streams.
type endlessResponse struct {
	imitator.Endless
	stream bool
}

// TestEndlessResponses guards against servers whose responses do not end, which together
// took more memory than the VM has and ended the requests of all its clients.
func TestEndlessResponses(t *testing.T) {
	const head = imitator.SignedHead
	const streamHead = head + "Content-Type: text/event-stream\r\n"
	for name, response := range map[string]endlessResponse{
		"a body in chunks":                     {Endless: imitator.Endless{Head: head + "Transfer-Encoding: chunked\r\n\r\n", Part: "400\r\n" + strings.Repeat("x", 1024) + "\r\n"}},
		"a body that the connection ends":      {Endless: imitator.Endless{Head: head + "\r\n", Part: "x"}},
		"a body that never reaches its length": {Endless: imitator.Endless{Head: head + "Content-Length: 1099511627776\r\n\r\n", Part: "x"}},
		"a head field":                         {Endless: imitator.Endless{Head: head + "X-Long: ", Part: "x"}},
		"the fields of a head":                 {Endless: imitator.Endless{Head: head, Part: "X-More: of them\r\n"}},
		"an event":                             {Endless: imitator.Endless{Head: streamHead + "\r\nid: 1\ndata: ", Part: "x"}, stream: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := startRelayFixture(t, true, nil)
			s.startEndlessServer(response)
			served := s.serveBeside(func() { s.requestEndless(response.stream) })
			usage, err := s.processes[0].Usage()
			asserter.NoError(t, err)
			t.Logf("peak of the resident memory: %d kB; %d other requests were served", usage.PeakKB, served)
			asserter.True(t, usage.PeakKB < memoryMB<<10, fmt.Sprintf("the process took %d kB", usage.PeakKB))
			asserter.True(t, served > 0, "no other request was served")
		})
	}
}

// startEndlessServer starts a server that sends response, and waits until the first VM uses
// it.
func (s *relayFixture) startEndlessServer(response endlessResponse) {
	s.t.Helper()
	service, models := "brittle", []any{}
	if response.stream {
		service = "engines"
		models = append(models, map[string]any{"adapters": []string{}, "name": "cold-2", "version": 1})
	}
	address := s.listen(response.Serve)
	asserter.NoError(s.t, s.store.Put(s.ctx, imitator.ServersTopic, "endless", map[string]any{
		"address": address, "born": 1, "models": models, "seq": 1, "service": service, "slots": 1000, "state": "ready", "zone": "z",
	}))
	asserter.Eventually(s.t, waitLimit, func() bool {
		ctx, cancel := context.WithTimeout(s.ctx, time.Second)
		defer cancel()
		return s.sendEndless(ctx, response.stream, 300*time.Millisecond).Status != http.StatusServiceUnavailable
	})
}

// requestEndless sends the requests that the faulty server answers, all at a time, and waits
// until they have ended.
func (s *relayFixture) requestEndless(stream bool) {
	ctx, cancel := context.WithTimeout(s.ctx, 2*endlessDeadline)
	defer cancel()
	var clients sync.WaitGroup
	for range endlessRequests {
		clients.Go(func() { s.sendEndless(ctx, stream, endlessDeadline) })
	}
	clients.Wait()
}

// sendEndless sends a request that the faulty server answers, through the first VM.
func (s *relayFixture) sendEndless(ctx context.Context, stream bool, deadline time.Duration) imitator.Response {
	q := imitator.Request{Deadline: deadline, DiscardBody: true, Target: "/brittle/x"}
	if stream {
		q.Model, q.Target = "cold-2", "/streams/x"
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return q.Send(ctx, client, s.addresses[0])
}

// serveBeside sends calls to a sound server through the first VM while work runs. It reports
// an error for each that is not served, and returns the number of those that are.
func (s *relayFixture) serveBeside(work func()) int {
	s.t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		work()
	}()
	for served := 0; ; served++ {
		select {
		case <-done:
			return served
		case <-time.After(20 * time.Millisecond):
		}
		got := s.sendRequest(0, "/calls/x", "")
		asserter.Equal(s.t, got.Status, http.StatusOK)
		asserter.Equal(s.t, got.Body, "answer to "+got.ID)
	}
}
