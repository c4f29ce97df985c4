package endtoend

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/platform/imitator"
)

// Flags of TestSoak.
var (
	soakSeeds    = flag.Int("soak.seeds", 1, "number of seeds to run")
	soakFirst    = flag.Uint64("soak.first", 1, "first seed")
	soakDuration = flag.Duration("soak.span", 8*time.Second, "time for which faults are injected, for each seed")
)

const (
	// maxPause bounds how long a process is paused, and maxOutage how long the store
	// is faulty. Some pauses and outages last longer than the lease of one second.
	maxPause  = 2500 * time.Millisecond
	maxOutage = 2 * time.Second
	// soakClients is the number of clients that send requests continuously.
	soakClients = 8
	// maxFaultInterval bounds the time from one fault to the next.
	maxFaultInterval = 700 * time.Millisecond
	// streamEvents is the number of events of a complete stream.
	streamEvents = 6
)

// TestSoak injects faults in a sequence that a seed determines, while clients send
// requests, and compares the responses with what the servers have run. It guards
// against faults that break a guarantee only in combination. The runners of every third
// seed accept outdated fencing tokens.
func TestSoak(t *testing.T) {
	for seed := *soakFirst; seed < *soakFirst+uint64(*soakSeeds); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			s := &soak{random: rand.New(rand.NewPCG(seed, seed)), relayFixture: startRelayFixture(t, seed%3 != 2), version: 10}
			ctx, cancel := context.WithCancel(s.ctx)
			responses := s.sendRequests(ctx)
			for end := time.Now().Add(*soakDuration); time.Now().Before(end); {
				s.injectFault()
				s.sleepRandom(maxFaultInterval)
			}
			cancel()
			s.clearFaults()
			s.assertRecovered()
			s.assertGuarantees(<-responses)
			s.assertFencingTokens()
		})
	}
}

// soak is a relayFixture with seeded random faults.
type soak struct {
	*relayFixture
	random *rand.Rand
	// version is that of the newest configuration.
	version int
}

// recordedResponse is a response, and whether a stream was requested.
type recordedResponse struct {
	imitator.Response
	stream bool
}

// assertGuarantees compares the responses with the requests that the servers have
// run, and reports an error for each incomplete or foreign response that looks
// complete, for each request that ran although it was reported as not run, and for
// each unsafe call that ran twice.
func (s *soak) assertGuarantees(responses []recordedResponse) {
	s.t.Helper()
	runs := make(map[string]int)
	for _, server := range s.servers() {
		list, err := server.Executions(s.ctx)
		asserter.NoError(s.t, err)
		for _, run := range list {
			runs[run.ID]++
		}
	}
	served := 0
	sent := make(map[string]bool)
	for _, r := range responses {
		asserter.True(s.t, !sent[r.ID], "the soak itself has sent two requests with the id "+r.ID)
		sent[r.ID] = true
		switch r.Status {
		case http.StatusOK:
			served++
			asserter.True(s.t, !r.Complete() || r.stream == r.CompleteStream(streamEvents), "a stream that ended normally lacks events: "+r.Body)
			asserter.True(s.t, !r.Complete() || r.stream || r.Body == "answer to "+r.ID, "a client received "+r.Body)
		case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
			asserter.True(s.t, runs[r.ID] == 0, "a request that was reported as not run has run: "+r.ID)
		}
		asserter.True(s.t, r.stream || runs[r.ID] <= 1, "an unsafe call has run more than once: "+r.ID)
	}
	s.t.Logf("%d of %d requests were served", served, len(responses))
	asserter.True(s.t, served > 0, "no request was served")
}

// assertRecovered checks that each VM serves each kind of request soon after the
// faults.
func (s *soak) assertRecovered() {
	s.t.Helper()
	for i := range relayVMs {
		asserter.Eventually(s.t, waitLimit, func() bool { return s.sendRequest(i, "/calls/x", "").Status == http.StatusOK })
		asserter.Eventually(s.t, waitLimit, func() bool { return s.sendRequest(i, "/streams/x", "m0").CompleteStream(streamEvents) })
	}
}

// clearFaults ends the faults of the store and of the servers.
func (s *soak) clearFaults() {
	s.t.Helper()
	asserter.NoError(s.t, s.store.SetFaults(s.ctx, imitator.StoreFaults{}))
	for _, server := range s.servers() {
		asserter.NoError(s.t, server.SetFaults(s.ctx))
	}
}

// injectFault injects one random fault.
func (s *soak) injectFault() {
	s.t.Helper()
	vm := s.random.IntN(relayVMs)
	switch s.random.IntN(8) {
	case 0:
		s.processes[vm].Kill()
		s.startVM(vm)
	case 1:
		asserter.NoError(s.t, s.processes[vm].Pause())
		s.sleepRandom(maxPause)
		asserter.NoError(s.t, s.processes[vm].Resume())
	case 2:
		ctx, cancel := context.WithTimeout(s.ctx, stopTimeout)
		defer cancel()
		code, err := s.processes[vm].Stop(ctx)
		asserter.NoError(s.t, err)
		asserter.Equal(s.t, code, 0)
		s.startVM(vm)
	case 3:
		asserter.NoError(s.t, s.processes[vm].Signal(syscall.SIGHUP))
	case 4:
		s.version++
		asserter.NoError(s.t, s.store.Put(s.ctx, imitator.ConfigTopic, imitator.ConfigKey, imitator.Config(s.version, "/calls/")))
	case 5:
		s.injectServerFaults()
	default:
		s.injectStoreFaults()
	}
}

// injectServerFaults sets random faults for the next requests of one server.
func (s *soak) injectServerFaults() {
	faults := []imitator.Fault{
		imitator.FaultBusy, imitator.FaultCut, imitator.FaultInternalError, imitator.FaultPause, imitator.FaultReset, imitator.FaultUnframed,
		imitator.FaultUnsigned, imitator.FaultHang,
	}
	var list []imitator.Fault
	for range 1 + s.random.IntN(6) {
		list = append(list, faults[s.random.IntN(len(faults))])
	}
	servers := s.servers()
	asserter.NoError(s.t, servers[s.random.IntN(len(servers))].SetFaults(s.ctx, list...))
}

// injectStoreFaults makes the store faulty for a random time.
func (s *soak) injectStoreFaults() {
	faults := []imitator.StoreFaults{
		{Refuse: http.StatusServiceUnavailable},
		{Refuse: http.StatusTooManyRequests},
		{Silent: true},
		{LoseAnswers: true},
		{Delay: 200 * time.Millisecond},
	}
	asserter.NoError(s.t, s.store.SetFaults(s.ctx, faults[s.random.IntN(len(faults))]))
	s.sleepRandom(maxOutage)
	asserter.NoError(s.t, s.store.SetFaults(s.ctx, imitator.StoreFaults{}))
}

// sendRequests sends requests from several clients until ctx ends. The channel that
// it returns then receives all responses.
func (s *soak) sendRequests(ctx context.Context) <-chan []recordedResponse {
	var clients sync.WaitGroup
	lists := make(chan []recordedResponse, soakClients)
	for n := range soakClients {
		clients.Go(func() {
			var list []recordedResponse
			client := &http.Client{Transport: &http.Transport{}}
			for i := n; ctx.Err() == nil; i++ {
				if stream := i%2 == 0; stream {
					list = append(list, recordedResponse{Response: s.sendRequestWith(client, i%relayVMs, "/streams/x", fmt.Sprintf("m%d", i/2%2)), stream: true})
				} else {
					list = append(list, recordedResponse{Response: s.sendRequestWith(client, i%relayVMs, "/calls/x", "")})
				}
			}
			lists <- list
		})
	}
	out := make(chan []recordedResponse, 1)
	go func() {
		clients.Wait()
		close(lists)
		var all []recordedResponse
		for list := range lists {
			all = append(all, list...)
		}
		out <- all
	}()
	return out
}

// servers returns all fake backend servers.
func (s *relayFixture) servers() []*imitator.Server { return slices.Concat(s.callServers, s.runners) }

// sleepRandom waits for a random time below limit.
func (s *soak) sleepRandom(limit time.Duration) {
	select {
	case <-s.ctx.Done():
	case <-time.After(time.Duration(s.random.Int64N(int64(limit)))):
	}
}
