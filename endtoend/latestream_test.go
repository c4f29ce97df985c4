package endtoend

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/platform/imitator"
)

const (
	// connectAt and sendAt are the times after SIGTERM at which clients open a connection and
	// send their first request on it.
	connectAt, sendAt = 1700 * time.Millisecond, 3200 * time.Millisecond
	// slowEvent is the time between two events of a stream that outlasts the stop.
	slowEvent = 900 * time.Millisecond
)

// TestLateStreams guards against streams that come late in a planned stop on connections that
// were open before, and that were cut because they took longer than the ones before.
func TestLateStreams(t *testing.T) {
	s := startRelayFixture(t, true, nil)
	slow := s.startServer("slow-runner", "engines", imitator.WithEvents(streamEvents, slowEvent), imitator.WithModels("slow"))
	asserter.NoError(t, s.store.Put(s.ctx, imitator.ConfigTopic, imitator.ConfigKey,
		imitator.WithTimeout(imitator.Config(5, "/calls/"), int(lateDeadline.Milliseconds()))))
	quick := imitator.Request{Body: "body", Deadline: lateDeadline, Model: "m0", Target: "/streams/x"}
	// The VM learns from these streams how long the later ones take.
	for range 4 {
		asserter.Eventually(t, waitLimit, func() bool {
			return quick.Send(s.ctx, http.DefaultClient, s.addresses[0]).CompleteStream(streamEvents)
		})
	}
	late := quick
	late.Model = "slow"
	var clients sync.WaitGroup
	responses := make(chan imitator.Response, lateClients)
	for range lateClients {
		clients.Go(func() {
			<-time.After(connectAt)
			client := s.connect(0)
			<-time.After(sendAt - connectAt)
			responses <- late.Send(s.ctx, client, s.addresses[0])
		})
	}
	ctx, cancel := context.WithTimeout(s.ctx, stopTimeout)
	defer cancel()
	code, err := s.processes[0].Stop(ctx)
	asserter.NoError(t, err)
	asserter.Equal(t, code, 0)
	clients.Wait()
	close(responses)
	list, err := slow.Executions(s.ctx)
	asserter.NoError(t, err)
	ran := make(map[string]bool)
	for _, e := range list {
		ran[e.ID] = true
	}
	for r := range responses {
		asserter.True(t, r.Status != 0 && r.Complete(), "a stream that was sent late in the stop was cut")
		asserter.True(t, r.Status != http.StatusOK || r.CompleteStream(streamEvents), "a stream that was sent late in the stop lacks events")
		asserter.True(t, r.Status != http.StatusServiceUnavailable || !ran[r.ID], "a stream was refused and has run")
	}
}

// connect returns a client with an open connection to a VM, on which it sends its requests.
func (s *relayFixture) connect(vm int) *http.Client {
	s.t.Helper()
	conn, err := new(net.Dialer).DialContext(s.ctx, "tcp", s.addresses[vm])
	asserter.NoError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	return &http.Client{Transport: &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) { return conn, nil },
	}}
}
