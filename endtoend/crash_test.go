package endtoend

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/platform/imitator"
)

const (
	// crashText ends each server that runs a request that contains it.
	crashText = "fatal"
	// crashServers is the number of servers that such requests can end.
	crashServers = 6
	// crashLimit is the number of crashes after which a request must not reach another
	// server.
	crashLimit = 3
	// crashGrace is the number of requests that may be on their way by then.
	crashGrace = 3
	// crashInterval is the time between two requests that end servers. The VMs learn of
	// a crash in less.
	crashInterval = time.Second
	// refusalLimit bounds the time to refuse a request that is known to end servers.
	refusalLimit = time.Second
)

// TestCrashingRequest guards against a request that ends one server after the other,
// because no VM recognizes it when it is sent again to another VM.
func TestCrashingRequest(t *testing.T) {
	s := startRelayFixture(t, true, nil)
	var servers []*imitator.Server
	for i := range crashServers {
		servers = append(servers, s.startServer(fmt.Sprintf("brittle-%d", i), "brittle", imitator.WithCrashOn(crashText)))
	}
	fatal := imitator.Request{Body: "a " + crashText + " request", Target: "/brittle/x"}
	sound := imitator.Request{Body: "a request", Target: "/brittle/x"}
	t.Run("it reaches few servers after three crashes", func(t *testing.T) {
		s.t = t
		s.sendFatal(servers, func(int) imitator.Request { return fatal })
	})
	t.Run("no VM sends it any more, and each refuses it at once as not run", func(t *testing.T) {
		s.t = t
		before := s.executions(servers)
		for vm := range relayVMs {
			began := time.Now()
			asserter.Equal(t, s.send(vm, fatal).Status, http.StatusServiceUnavailable)
			asserter.True(t, time.Since(began) < refusalLimit, "the refusal took too long")
		}
		asserter.Equal(t, s.executions(servers), before)
	})
	t.Run("other requests of the route are served", func(t *testing.T) {
		s.t = t
		s.assertServed(sound)
	})
	t.Run("a VM that has started again refuses it too, and without the store", func(t *testing.T) {
		s.t = t
		asserter.NoError(t, s.store.SetFaults(s.ctx, imitator.StoreFaults{Silent: true}))
		s.processes[0].Kill()
		s.startVM(0)
		asserter.Eventually(t, waitLimit, func() bool { return s.send(0, sound).Status == http.StatusOK })
		before := s.executions(servers)
		asserter.Equal(t, s.send(0, fatal).Status, http.StatusServiceUnavailable)
		asserter.Equal(t, s.executions(servers), before)
		asserter.NoError(t, s.store.SetFaults(s.ctx, imitator.StoreFaults{}))
		s.assertServed(sound)
	})
	t.Run("all VMs refuse it after they have ended at once", func(t *testing.T) {
		s.t = t
		asserter.Eventually(t, waitLimit, func() bool {
			data, err := s.store.Values(s.ctx, "keyed.quarantines")
			return err == nil && len(data) > 0
		})
		for _, p := range s.processes {
			p.Kill()
		}
		for vm := range relayVMs {
			s.startVM(vm)
		}
		s.assertServed(sound)
		before := s.executions(servers)
		for vm := range relayVMs {
			asserter.Equal(t, s.send(vm, fatal).Status, http.StatusServiceUnavailable)
		}
		asserter.Equal(t, s.executions(servers), before)
	})
}

// assertServed checks that each VM serves a request.
func (s *relayFixture) assertServed(request imitator.Request) {
	s.t.Helper()
	for vm := range relayVMs {
		asserter.Eventually(s.t, waitLimit, func() bool { return s.send(vm, request).Status == http.StatusOK })
	}
}

// executions returns the number of requests that servers have run.
func (s *relayFixture) executions(servers []*imitator.Server) int {
	s.t.Helper()
	n := 0
	for _, server := range servers {
		list, err := server.Executions(s.ctx)
		asserter.NoError(s.t, err)
		n += len(list)
	}
	return n
}

// send sends a request through a VM and returns the response.
func (s *relayFixture) send(vm int, request imitator.Request) imitator.Response {
	return request.Send(s.ctx, http.DefaultClient, s.addresses[vm])
}

// sendFatal sends requests that end servers through all VMs in turn, and checks that few
// reach a server after the limit.
func (s *relayFixture) sendFatal(servers []*imitator.Server, next func(n int) imitator.Request) {
	s.t.Helper()
	for n := range 2 * crashServers {
		s.send(n%relayVMs, next(n))
		select {
		case <-s.ctx.Done():
		case <-time.After(crashInterval):
		}
	}
	reached := s.executions(servers)
	asserter.True(s.t, reached <= crashLimit+crashGrace, fmt.Sprintf("%d requests that end servers have reached one", reached))
}

// TestCrashingPromptPart guards against requests that end one server after the other
// because of a part of their prompts, while no two of them are alike, and against the
// refusal of requests that share only other parts with them.
func TestCrashingPromptPart(t *testing.T) {
	s := startRelayFixture(t, true, nil)
	var servers []*imitator.Server
	for i := range crashServers {
		servers = append(servers, s.startServer(fmt.Sprintf("brittle-%d", i), "brittle", imitator.WithCrashOn("dead")))
	}
	fatal := func(n int) imitator.Request {
		return imitator.Request{
			Body: fmt.Sprintf("request %d", n), Prompt: fmt.Sprintf("a1:96,b2:130,dead:165,c%d:300", n), Target: fmt.Sprintf("/brittle/%d", n),
		}
	}
	t.Run("they reach few servers after three crashes", func(t *testing.T) {
		s.t = t
		s.sendFatal(servers, fatal)
	})
	t.Run("no VM sends one any more, and each refuses it at once as not run", func(t *testing.T) {
		s.t = t
		before := s.executions(servers)
		for vm := range relayVMs {
			asserter.Equal(t, s.send(vm, fatal(100+vm)).Status, http.StatusServiceUnavailable)
		}
		asserter.Equal(t, s.executions(servers), before)
	})
	t.Run("requests with the other parts are served, in any order and combination", func(t *testing.T) {
		s.t = t
		for _, prompt := range []string{"a1:96,b2:130,c1:300", "a1:96,c0:300", "b2:130,c3:1", "a1:96,b2:130,d3:165,c2:300"} {
			s.assertServed(imitator.Request{Body: "request", Prompt: prompt, Target: "/brittle/sound"})
		}
	})
}
