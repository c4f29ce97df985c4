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

// Flags of the soak.
var (
	soakSeeds = flag.Int("soak.seeds", 1, "number of seeds to play")
	soakFirst = flag.Uint64("soak.first", 1, "first seed")
	soakDuration  = flag.Duration("soak.span", 8*time.Second, "time for which faults are played")
)

const (
	// freezeLimit and outageLimit bound how long a VM stands still and how long the
	// store misbehaves: some are longer than a lease of one second.
	maxPause = 2500 * time.Millisecond
	maxOutage = 2 * time.Second
	// soakClients is the number of clients that send requests without a pause.
	soakClients = 8
	// soakPause bounds the time between two faults.
	maxFaultInterval = 700 * time.Millisecond
	// streamEvents is the number of events of a stream of a relaying site.
	streamEvents = 6
)

// TestSoak plays faults drawn by a seed against entry VMs that run as processes,
// while clients send requests, and checks what clients and servers have seen.
func TestSoak(t *testing.T) {
	for seed := *soakFirst; seed < *soakFirst+uint64(*soakSeeds); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			s := &soak{random: rand.New(rand.NewPCG(seed, seed)), relayFixture: startRelayFixture(t), version: 10}
			ctx, cancel := context.WithCancel(s.ctx)
			replies := s.sendRequests(ctx)
			for end := time.Now().Add(*soakDuration); time.Now().Before(end); {
				s.injectFault()
				s.sleepRandom(maxFaultInterval)
			}
			cancel()
			s.clearFaults()
			s.assertRecovered()
			s.assertGuarantees(<-replies)
			s.assertFencingTokens()
		})
	}
}

// soak is a relaying site to which a seed does harm.
type soak struct {
	*relayFixture
	random    *rand.Rand
	version int
}

// seen is a reply and the kind of request that it answers.
type recordedResponse struct {
	imitator.Reply
	stream bool
}

// askAll sends requests by several clients until ctx ends, and then hands on
// their replies.
func (s *soak) sendRequests(ctx context.Context) <-chan []recordedResponse {
	var clients sync.WaitGroup
	lists := make(chan []recordedResponse, soakClients)
	for n := range soakClients {
		clients.Go(func() {
			var list []recordedResponse
			client := &http.Client{Transport: &http.Transport{}}
			for i := n; ctx.Err() == nil; i++ {
				if stream := i%2 == 0; stream {
					list = append(list, recordedResponse{Reply: s.sendRequestWith(client, i%relayVMs, "/streams/x", fmt.Sprintf("m%d", i/2%2)), stream: true})
				} else {
					list = append(list, recordedResponse{Reply: s.sendRequestWith(client, i%relayVMs, "/calls/x", "")})
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

// assertPromises reports an error for each promise that replies and the runs of
// the servers show to be broken.
func (s *soak) assertGuarantees(replies []recordedResponse) {
	s.t.Helper()
	runs := make(map[string]int)
	for _, server := range s.servers() {
		list, err := server.Runs(s.ctx)
		asserter.NoError(s.t, err)
		for _, run := range list {
			runs[run.ID]++
		}
	}
	served := 0
	for _, r := range replies {
		switch r.Status {
		case http.StatusOK:
			served++
			asserter.True(s.t, !r.Ended() || r.stream == r.Whole(streamEvents), "a stream that looks whole lacks events: "+r.Body)
			asserter.True(s.t, !r.Ended() || r.stream || r.Body == "answer to "+r.ID, "a client got "+r.Body)
		case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
			asserter.True(s.t, runs[r.ID] == 0, "a request that was said not to have run has run: "+r.ID)
		}
		asserter.True(s.t, r.stream || runs[r.ID] <= 1, "an unsafe call has run more than once: "+r.ID)
	}
	s.t.Logf("%d of %d requests were served", served, len(replies))
	asserter.True(s.t, served > 0, "nothing was served")
}

// assertRecovered reports an error unless each VM serves each kind of request soon
// after the faults.
func (s *soak) assertRecovered() {
	s.t.Helper()
	for i := range relayVMs {
		asserter.Eventually(s.t, waitLimit, func() bool { return s.sendRequest(i, "/calls/x", "").Status == http.StatusOK })
		asserter.Eventually(s.t, waitLimit, func() bool { return s.sendRequest(i, "/streams/x", "m0").Whole(streamEvents) })
	}
}

// heal ends all faults.
func (s *soak) clearFaults() {
	s.t.Helper()
	asserter.NoError(s.t, s.store.SetFaults(s.ctx, imitator.StoreFaults{}))
	for _, server := range s.servers() {
		asserter.NoError(s.t, server.SetFaults(s.ctx))
	}
}

// servers returns all servers.
func (s *soak) servers() []*imitator.Server { return slices.Concat(s.callServers, s.runners) }

// pause lets time pass, for at most limit.
func (s *soak) sleepRandom(limit time.Duration) {
	select {
	case <-s.ctx.Done():
	case <-time.After(time.Duration(s.random.Int64N(int64(limit)))):
	}
}

// strike plays one fault.
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

// harmServers lays down faults for the next requests of one server.
func (s *soak) injectServerFaults() {
	faults := []imitator.Fault{
		imitator.FaultBusy, imitator.FaultCut, imitator.FaultFail, imitator.FaultReset, imitator.FaultUnsigned, imitator.FaultHang,
	}
	var list []imitator.Fault
	for range 1 + s.random.IntN(6) {
		list = append(list, faults[s.random.IntN(len(faults))])
	}
	servers := s.servers()
	asserter.NoError(s.t, servers[s.random.IntN(len(servers))].SetFaults(s.ctx, list...))
}

// harmStore lets the store misbehave for a while.
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
