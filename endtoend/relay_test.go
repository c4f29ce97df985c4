package endtoend

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/launcher"
	"github.com/buckthorndyke/buckthorndyke/platform/imitator"
)

// relayVMs is the number of entry VMs of a relayFixture.
const relayVMs = 3

// relayFixture is a set of entry VMs that run "relay" as separate processes, and
// fakes of the store and of backend servers in this process.
type relayFixture struct {
	addresses   []string
	callServers []*imitator.Server
	ctx         context.Context
	l           *launcher.Launcher
	processes   []*launcher.Process
	runners     []*imitator.Server
	settings    []map[string]any
	store       *imitator.Store
	t           *testing.T
}

// TestRelay checks a relay deployment without faults and under one fault after the
// other. The subtests share one fixture, because its start takes seconds.
func TestRelay(t *testing.T) {
	s := startRelayFixture(t, true, nil)
	for _, step := range []struct {
		name string
		run  func(s *relayFixture)
	}{
		{"each VM serves each kind of request", (*relayFixture).serveEachKind},
		{"a cold model is loaded once, by one leader", (*relayFixture).loadColdModel},
		{"each VM applies a configuration change", (*relayFixture).changeRoutes},
		{"each VM checks the keys of callers", (*relayFixture).checkKeys},
		{"requests are served while the store does not respond", (*relayFixture).serveWithoutStore},
		{"a VM that starts while the store does not respond serves requests", (*relayFixture).startWithoutStore},
		{"a reload of an invalid settings file changes nothing", (*relayFixture).reloadInvalidSettings},
		{"a graceful stop cuts off no response", (*relayFixture).stopGracefully},
		{"another VM takes over from a killed leader", (*relayFixture).killLeader},
	} {
		t.Run(step.name, func(t *testing.T) {
			s.t = t
			step.run(s)
		})
	}
}

// startRelayFixture starts the fakes and the entry VMs. The runners check fencing tokens, or
// accept outdated ones. The overrides are added to the settings of each VM.
func startRelayFixture(t *testing.T, checksFencing bool, overrides map[string]any) *relayFixture {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s := &relayFixture{ctx: ctx, l: launcher.New(binary, t.TempDir()), store: imitator.NewStore(), t: t}
	t.Cleanup(func() {
		for _, p := range s.processes {
			p.Kill()
		}
	})
	storeAddress := s.listen(s.store.Serve)
	asserter.NoError(t, s.store.Put(ctx, imitator.ConfigTopic, imitator.ConfigKey, imitator.Config(1, "/calls/")))
	for i := range 2 {
		options := []imitator.ServerOption{
			imitator.WithEvents(6, 10*time.Millisecond), imitator.WithModels(fmt.Sprintf("m%d", i)), imitator.WithLoadTime(200 * time.Millisecond),
		}
		if !checksFencing {
			options = append(options, imitator.WithoutFencing())
		}
		s.runners = append(s.runners, s.startServer(fmt.Sprintf("runner-%d", i), "engines", options...))
		s.callServers = append(s.callServers, s.startServer(fmt.Sprintf("desk-%d", i), "desk"))
	}
	seeds, err := launcher.FreeAddresses(ctx, relayVMs)
	asserter.NoError(t, err)
	for i := range relayVMs {
		free, err := launcher.FreeAddresses(ctx, 3)
		asserter.NoError(t, err)
		s.addresses = append(s.addresses, free[0])
		s.settings = append(s.settings, map[string]any{
			"clients": map[string]any{"address": free[0]}, "drain-limit-s": 8, "failure-domain": "z",
			"lease-ms": 1000, "log-level": "warn", "memory-mb": memoryMB, "metrics": map[string]any{"address": free[1]},
			"peers": map[string]any{"address": seeds[i], "key": launcher.FleetKey}, "seeds": seeds,
			"readiness": map[string]any{"address": free[2]}, "runners": map[string]any{"check-fence": checksFencing},
			"store": map[string]any{"address": storeAddress}, "vm": fmt.Sprintf("entry-%d", i),
		})
		maps.Copy(s.settings[i], overrides)
		s.startVM(i)
	}
	return s
}

// changeRoutes replaces the route and checks that each VM serves the new one and no
// longer the old one, then restores it.
func (s *relayFixture) changeRoutes() {
	asserter.NoError(s.t, s.store.Put(s.ctx, imitator.ConfigTopic, imitator.ConfigKey, imitator.Config(5, "/later/")))
	for i := range relayVMs {
		asserter.Eventually(s.t, waitLimit, func() bool { return s.sendRequest(i, "/later/x", "").Status == http.StatusOK })
		asserter.Equal(s.t, s.sendRequest(i, "/calls/x", "").Status, http.StatusNotFound)
	}
	asserter.NoError(s.t, s.store.Put(s.ctx, imitator.ConfigTopic, imitator.ConfigKey, imitator.Config(6, "/calls/")))
	for i := range relayVMs {
		asserter.Eventually(s.t, waitLimit, func() bool { return s.sendRequest(i, "/calls/x", "").Status == http.StatusOK })
	}
}

// checkKeys checks that each VM accepts and refuses keys as the configuration says, and that
// servers get the name of the caller alone. Then it removes the callers.
func (s *relayFixture) checkKeys() {
	send := func(vm int, key string) int {
		return imitator.Request{Body: "body", Key: key, Target: "/calls/x"}.Send(s.ctx, http.DefaultClient, s.addresses[vm]).Status
	}
	put := func(config map[string]any) {
		asserter.NoError(s.t, s.store.Put(s.ctx, imitator.ConfigTopic, imitator.ConfigKey, config))
	}
	put(imitator.WithCallers(imitator.Config(7, "/calls/"), imitator.Caller("clerk", "first", "second")))
	for i := range relayVMs {
		asserter.Eventually(s.t, waitLimit, func() bool { return send(i, "unknown") == http.StatusUnauthorized })
	}
	// Until now a VM may have passed a key on, because its configuration had no callers.
	before := make([]int, len(s.callServers))
	for i, server := range s.callServers {
		executions, err := server.Executions(s.ctx)
		asserter.NoError(s.t, err)
		before[i] = len(executions)
	}
	for i := range relayVMs {
		asserter.Equal(s.t, send(i, "first"), http.StatusOK)
	}
	put(imitator.WithCallers(imitator.Config(8, "/calls/"), imitator.Caller("clerk", "second", "third")))
	for i := range relayVMs {
		asserter.Eventually(s.t, waitLimit, func() bool { return send(i, "first") == http.StatusUnauthorized })
		asserter.Equal(s.t, send(i, "second"), http.StatusOK)
		asserter.Equal(s.t, send(i, "third"), http.StatusOK)
	}
	named := 0
	for i, server := range s.callServers {
		executions, err := server.Executions(s.ctx)
		asserter.NoError(s.t, err)
		for _, e := range executions[before[i]:] {
			asserter.Equal(s.t, e.Header.Get("Authorization"), "")
			if e.Header.Get("Tenant") == "clerk" {
				named++
			}
		}
	}
	asserter.True(s.t, named >= 3*relayVMs, "a server has got a request without the caller's name")
	put(imitator.Config(9, "/calls/"))
	for i := range relayVMs {
		asserter.Eventually(s.t, waitLimit, func() bool { return send(i, "") == http.StatusOK })
	}
}

// killLeader kills the VM that sent the last order, and checks that another VM has
// a cold model loaded and that fencing tokens rise.
func (s *relayFixture) killLeader() {
	leader, _ := s.newestLeader()
	s.processes[leader].Kill()
	other := (leader + 1) % relayVMs
	asserter.Eventually(s.t, waitLimit, func() bool { return s.sendRequest(other, "/streams/x", "cold-2").CompleteStream(6) })
	s.assertFencingTokens()
}

// newestLeader returns the VM with the highest fencing token of all orders, and the token.
func (s *relayFixture) newestLeader() (leader int, fencingToken int64) {
	s.t.Helper()
	for _, r := range s.runners {
		orders, err := r.Orders(s.ctx)
		asserter.NoError(s.t, err)
		for _, o := range orders {
			if o.FencingToken < fencingToken {
				continue
			}
			fencingToken = o.FencingToken
			_, err := fmt.Sscanf(o.Leader, "entry-%d", &leader)
			asserter.NoError(s.t, err)
		}
	}
	return leader, fencingToken
}

// loadColdModel requests a model that is not loaded anywhere through each VM, and
// checks that one load was accepted.
func (s *relayFixture) loadColdModel() {
	asserter.Eventually(s.t, waitLimit, func() bool { return s.sendRequest(0, "/streams/x", "cold-1").CompleteStream(6) })
	for i := range relayVMs {
		asserter.Eventually(s.t, waitLimit, func() bool { return s.sendRequest(i, "/streams/x", "cold-1").CompleteStream(6) })
	}
	loads := 0
	for _, r := range s.runners {
		orders, err := r.Orders(s.ctx)
		asserter.NoError(s.t, err)
		for _, o := range orders {
			if o.Model == "cold-1" && o.Status == http.StatusAccepted {
				loads++
			}
		}
	}
	asserter.Equal(s.t, loads, 1)
	s.assertFencingTokens()
}

// reloadInvalidSettings makes the settings file of a VM invalid, sends SIGHUP and
// checks that the VM still serves.
func (s *relayFixture) reloadInvalidSettings() {
	asserter.NoError(s.t, s.l.ReplaceSettings(s.vmName(0), []byte("{")))
	asserter.NoError(s.t, s.processes[0].Signal(syscall.SIGHUP))
	asserter.Equal(s.t, s.sendRequest(0, "/calls/x", "").Status, http.StatusOK)
}

// serveEachKind sends a call, a stream and a request without a route through each VM.
func (s *relayFixture) serveEachKind() {
	for i := range relayVMs {
		got := s.sendRequest(i, "/calls/x?a=b", "")
		asserter.Equal(s.t, got.Status, http.StatusOK)
		asserter.Equal(s.t, got.Body, "answer to "+got.ID)
		asserter.True(s.t, s.sendRequest(i, "/streams/x", "m0").CompleteStream(6), "incomplete stream")
		asserter.Equal(s.t, s.sendRequest(i, "/nowhere/", "").Status, http.StatusNotFound)
	}
}

// serveWithoutStore checks that requests are served while the store does not
// respond.
func (s *relayFixture) serveWithoutStore() {
	asserter.NoError(s.t, s.store.SetFaults(s.ctx, imitator.StoreFaults{Silent: true}))
	for i := range relayVMs {
		asserter.Equal(s.t, s.sendRequest(i, "/calls/x", "").Status, http.StatusOK)
		asserter.True(s.t, s.sendRequest(i, "/streams/x", "m1").CompleteStream(6), "incomplete stream")
	}
	asserter.NoError(s.t, s.store.SetFaults(s.ctx, imitator.StoreFaults{}))
}

// startWithoutStore restarts a VM while the store does not respond, checks that it
// serves, and that it reads configuration changes after the outage.
func (s *relayFixture) startWithoutStore() {
	asserter.NoError(s.t, s.store.SetFaults(s.ctx, imitator.StoreFaults{Silent: true}))
	s.processes[2].Kill()
	s.startVM(2)
	asserter.Equal(s.t, s.sendRequest(2, "/calls/x", "").Status, http.StatusOK)
	asserter.True(s.t, s.sendRequest(2, "/streams/x", "m1").CompleteStream(6), "incomplete stream")
	asserter.NoError(s.t, s.store.SetFaults(s.ctx, imitator.StoreFaults{}))
	asserter.NoError(s.t, s.store.Put(s.ctx, imitator.ConfigTopic, imitator.ConfigKey, imitator.Config(10, "/again/")))
	asserter.Eventually(s.t, waitLimit, func() bool { return s.sendRequest(2, "/again/x", "").Status == http.StatusOK })
	asserter.NoError(s.t, s.store.Put(s.ctx, imitator.ConfigTopic, imitator.ConfigKey, imitator.Config(11, "/calls/")))
	for i := range relayVMs {
		asserter.Eventually(s.t, waitLimit, func() bool { return s.sendRequest(i, "/calls/x", "").Status == http.StatusOK })
	}
}

// stopGracefully guards against responses cut off by a graceful stop: it stops a VM
// under continuous requests from several clients, and starts it again.
func (s *relayFixture) stopGracefully() {
	const clients = 4
	stop := make(chan struct{})
	cutResponses := make(chan int, clients)
	for range clients {
		go func() {
			cut := 0
			client := &http.Client{Transport: &http.Transport{}}
			for {
				select {
				case <-stop:
					cutResponses <- cut
					return
				default:
				}
				got := s.sendRequestWith(client, 1, "/streams/x", "m0")
				if got.Status == http.StatusOK && !got.CompleteStream(6) {
					cut++
				}
			}
		}()
	}
	ctx, cancel := context.WithTimeout(s.ctx, stopTimeout)
	defer cancel()
	code, err := s.processes[1].Stop(ctx)
	close(stop)
	asserter.NoError(s.t, err)
	asserter.Equal(s.t, code, 0)
	for range clients {
		asserter.Equal(s.t, <-cutResponses, 0)
	}
	s.startVM(1)
}

// assertFencingTokens reports an error if runners received orders from two leaders with the
// same fencing token, or if one received a fencing token below an earlier one.
func (s *relayFixture) assertFencingTokens() {
	s.t.Helper()
	leaders := make(map[int64]string)
	for _, r := range s.runners {
		orders, err := r.Orders(s.ctx)
		asserter.NoError(s.t, err)
		highest := int64(0)
		for _, o := range orders {
			if leader, ok := leaders[o.FencingToken]; ok {
				asserter.Equal(s.t, o.Leader, leader)
			}
			leaders[o.FencingToken] = o.Leader
			asserter.True(s.t, o.FencingToken >= highest, "a fencing token is lower than an earlier one")
			highest = max(highest, o.FencingToken)
		}
		s.t.Logf("a runner has received %d orders, the last one with the fencing token %d", len(orders), highest)
	}
}

// listen runs serve on a free loopback port and returns the address.
func (s *relayFixture) listen(serve func(ctx context.Context, l net.Listener) error) string {
	s.t.Helper()
	l, err := new(net.ListenConfig).Listen(s.ctx, "tcp", "127.0.0.1:0")
	asserter.NoError(s.t, err)
	go func() { _ = serve(s.ctx, l) }()
	return l.Addr().String()
}

// sendRequest sends a request for target through a VM and returns the response. An
// empty model names none.
func (s *relayFixture) sendRequest(vm int, target, model string) imitator.Response {
	return s.sendRequestWith(http.DefaultClient, vm, target, model)
}

// sendRequestWith is sendRequest with the given HTTP client.
func (s *relayFixture) sendRequestWith(client *http.Client, vm int, target, model string) imitator.Response {
	ctx, cancel := context.WithTimeout(s.ctx, 10*time.Second)
	defer cancel()
	return imitator.SendRequest(ctx, client, s.addresses[vm], target, model)
}

// startServer starts a fake backend server that renews its entry in the server list.
func (s *relayFixture) startServer(id, service string, opts ...imitator.ServerOption) *imitator.Server {
	s.t.Helper()
	server := imitator.NewServer(id, opts...)
	address := s.listen(server.Serve)
	renew := func() error {
		entry, err := server.Entry(s.ctx, service, address, "z")
		if err != nil {
			return err
		}
		return s.store.Put(s.ctx, imitator.ServersTopic, id, entry)
	}
	asserter.NoError(s.t, renew())
	go func() {
		for renew() == nil {
			select {
			case <-s.ctx.Done():
				return
			case <-time.After(200 * time.Millisecond):
			}
		}
	}()
	return server
}

// startVM starts or restarts a VM and waits until it is ready.
func (s *relayFixture) startVM(vm int) {
	s.t.Helper()
	readyAddress := s.settings[vm]["readiness"].(map[string]any)["address"].(string)
	p, err := s.l.Start(s.ctx, s.vmName(vm), "relay", s.settings[vm], "http://"+readyAddress+"/ready")
	asserter.NoError(s.t, err)
	if vm < len(s.processes) {
		s.processes[vm] = p
	} else {
		s.processes = append(s.processes, p)
	}
}

// vmName returns the name of the VM with the given index.
func (s *relayFixture) vmName(vm int) string { return fmt.Sprintf("entry-%d", vm) }
