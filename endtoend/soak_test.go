package endtoend

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
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
// seed accept outdated fencing tokens. Seeds with an odd number have callers with keys and an
// allotment, which change; in the others runners have room for one model, so that the leader
// has orders to send.
func TestSoak(t *testing.T) {
	for seed := *soakFirst; seed < *soakFirst+uint64(*soakSeeds); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			s := startSoak(t, seed)
			span := *soakDuration
			if s.hasCallers {
				// The time without faults replaces a part of the one with faults, so that
				// the one seed of CI takes about as long as before.
				span -= calmTime * 2 / 3
				s.startCallers()
			} else {
				s.putConfig(callerVersion{})
			}
			ctx, cancel := context.WithCancel(s.ctx)
			responses := s.sendRequests(ctx)
			for end := time.Now().Add(span); time.Now().Before(end); {
				s.changeConfig()
				s.copyStore()
				s.injectFault()
				s.sleepRandom(maxFaultInterval)
			}
			s.calmDown()
			probes := s.probeAll()
			cancel()
			s.assertTerms()
			s.assertRecovered()
			s.assertGuarantees(slices.Concat(<-responses, probes, s.stopResponses))
			s.assertFencingTokens()
		})
	}
}

// soak is a relayFixture with seeded random faults.
type soak struct {
	*relayFixture
	// checkedFrom is the time from which on each VM checks keys.
	checkedFrom time.Time
	// copies are the copies of the store.
	copies     []storeCopy
	hasCallers bool
	history    callerHistory
	// key is the key of requests that check the recovery, if there are callers.
	key string
	// keys is the number of keys that the changing caller has had.
	keys   int
	random *rand.Rand
	// restores is the number of times that the store was restored.
	restores int
	seed     uint64
	// stopResponses are the responses to the clients that kept connections to VMs that were
	// stopped.
	stopResponses []recordedResponse
	// version is that of the operator's newest configuration.
	version int
	// written is version, once the store has it.
	written atomic.Int64
}

// startSoak starts the processes for a seed.
func startSoak(t *testing.T, seed uint64) *soak {
	t.Helper()
	s := &soak{hasCallers: seed%2 == 1, random: rand.New(rand.NewPCG(seed, seed)), seed: seed, version: firstVersion - 1}
	var overrides map[string]any
	if s.hasCallers {
		s.key = steadyKey
		overrides = map[string]any{"allotments": map[string]any{
			"overage": allotmentOverage, "slack": allotmentSlack, "window-s": allotmentWindow.Seconds(),
		}}
	}
	s.relayFixture = startRelayFixture(t, seed%3 != 2, overrides)
	return s
}

// recordedResponse is a response with its request.
type recordedResponse struct {
	imitator.Request
	imitator.Response
	sent, ended time.Time
	stream      bool
	vm          int
}

// assertGuarantees compares the responses with the requests that the servers have
// run, and reports an error for each incomplete or foreign response that looks
// complete, for each request that ran although it was reported as not run, for each that
// ran without a response while there was planned work alone, and for each unsafe call that
// ran twice.
func (s *soak) assertGuarantees(responses []recordedResponse) {
	s.t.Helper()
	runs := make(map[string]int)
	var all []imitator.Execution
	for _, server := range s.servers() {
		list, err := server.Executions(s.ctx)
		asserter.NoError(s.t, err)
		all = append(all, list...)
		for _, run := range list {
			runs[run.ID]++
		}
	}
	served := 0
	sent := make(map[string]bool)
	statuses := make(map[int]int)
	for _, r := range responses {
		statuses[r.Status]++
		asserter.True(s.t, !sent[r.ID], "the soak itself has sent two requests with the id "+r.ID)
		sent[r.ID] = true
		switch r.Status {
		case http.StatusOK:
			served++
			asserter.True(s.t, !r.Complete() || r.stream == r.CompleteStream(streamEvents), "a stream that ended normally lacks events: "+r.Response.Body)
			asserter.True(s.t, !r.Complete() || r.stream || r.Response.Body == "answer to "+r.ID, "a client received "+r.Response.Body)
		case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
			http.StatusNotFound, http.StatusUnauthorized:
			asserter.True(s.t, runs[r.ID] == 0, "a request that was reported as not run has run: "+r.ID)
		}
		isLost := r.Status == 0 && runs[r.ID] > 0 && s.history.calmBesidesPlans(r.vm, r.sent, r.ended)
		asserter.True(s.t, !isLost, "a request has run and its client got no response: "+describe(r))
		asserter.True(s.t, r.stream || runs[r.ID] <= 1, "an unsafe call has run more than once: "+r.ID)
	}
	s.t.Logf("%d of %d requests were served; responses by status: %v", served, len(responses), statuses)
	asserter.True(s.t, served > 0, "no request was served")
	s.assertRoutes(responses)
	if s.hasCallers {
		assertCallers(s.t, s.history, s.checkedFrom, all, responses)
	}
}

// assertRecovered checks that each VM serves each kind of request soon after the
// faults.
func (s *soak) assertRecovered() {
	s.t.Helper()
	for i := range relayVMs {
		asserter.Eventually(s.t, waitLimit, func() bool { return s.send(http.DefaultClient, i, s.newRequest(1)).Status == http.StatusOK })
		asserter.Eventually(s.t, waitLimit, func() bool {
			return s.send(http.DefaultClient, i, s.newRequest(0)).CompleteStream(streamEvents)
		})
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
	d := disturbance{begin: time.Now(), vm: s.random.IntN(relayVMs)}
	switch s.random.IntN(10) {
	case 0:
		s.processes[d.vm].Kill()
		s.startVM(d.vm)
		d.restarts = true
	case 1:
		asserter.NoError(s.t, s.processes[d.vm].Pause())
		s.sleepRandom(maxPause)
		asserter.NoError(s.t, s.processes[d.vm].Resume())
	case 2:
		s.stopVM(d.vm)
		d.isPlanned, d.restarts = true, true
	case 3:
		asserter.NoError(s.t, s.processes[d.vm].Signal(syscall.SIGHUP))
		d.isPlanned = true
	case 4:
		s.putConfig(s.history.newest())
		return
	case 5:
		s.injectServerFaults()
		return
	case 6, 7:
		d.vm = allVMs
		s.restoreStore()
	default:
		d.vm = allVMs
		s.injectStoreFaults()
	}
	s.history = s.history.withDisturbance(d)
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
	lists := make(chan []recordedResponse, soakClients+soakFlooders)
	for n := range soakClients {
		clients.Go(func() { lists <- s.sendContinuously(ctx, n) })
	}
	if s.hasCallers {
		for n := range soakFlooders {
			clients.Go(func() { lists <- s.flood(ctx, n) })
		}
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

// sendContinuously sends requests of the n-th client until ctx ends.
func (s *soak) sendContinuously(ctx context.Context, n int) []recordedResponse {
	var list []recordedResponse
	random := rand.New(rand.NewPCG(s.seed, uint64(n)))
	client := &http.Client{Transport: &http.Transport{}}
	for i := n; ctx.Err() == nil; i++ {
		q := s.newRequest(i)
		switch {
		case random.IntN(8) == 0:
			q = s.probe(random.IntN(probedVersions))
		case s.hasCallers:
			q = withIdentity(q, random)
		case q.Model != "" && random.IntN(4) == 0:
			q.Model = fmt.Sprint("cold-", 1+random.IntN(2))
		}
		list = append(list, s.send(client, i%relayVMs, q))
	}
	return list
}

// flood sends requests of the limited caller until ctx ends.
func (s *soak) flood(ctx context.Context, n int) []recordedResponse {
	var list []recordedResponse
	client := &http.Client{Transport: &http.Transport{}}
	for i := n; ctx.Err() == nil; i++ {
		list = append(list, s.send(client, i%relayVMs, imitator.Request{Body: "body", Key: limitedKey, Target: "/calls/x"}))
		time.Sleep(floodInterval)
	}
	return list
}

// newRequest returns the i-th request of a client: streams of two models and calls in turn.
func (s *soak) newRequest(i int) imitator.Request {
	if i%2 == 0 {
		return imitator.Request{Body: "body", Key: s.key, Model: fmt.Sprintf("m%d", i/2%2), Target: "/streams/x"}
	}
	return imitator.Request{Body: "body", Key: s.key, Target: "/calls/x"}
}

// send sends a request through a VM and records it with its response.
func (s *soak) send(client *http.Client, vm int, q imitator.Request) recordedResponse {
	ctx, cancel := context.WithTimeout(s.ctx, 10*time.Second)
	defer cancel()
	sent := time.Now()
	response := q.Send(ctx, client, s.addresses[vm])
	return recordedResponse{Request: q, Response: response, sent: sent, ended: time.Now(), stream: q.Model != "", vm: vm}
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
