package endtoend

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/launcher"
	"github.com/buckthorndyke/buckthorndyke/platform/imitator"
)

// relayVMs is the number of entry VMs of a relaying site.
const relayVMs = 3

// relaySite is a store and servers in this process, and entry VMs as processes
// of their own.
type relaySite struct {
	addresses []string
	ctx       context.Context
	desks     []*imitator.Server
	l         *launcher.Launcher
	processes []*launcher.Process
	runners   []*imitator.Server
	settings  []map[string]any
	store     *imitator.Store
	t         *testing.T
}

// TestRelay plays the faults of one site after the other, as its start takes
// seconds.
func TestRelay(t *testing.T) {
	s := startRelaySite(t)
	for _, step := range []struct {
		name string
		play func(s *relaySite)
	}{
		{"each VM serves each kind of request", (*relaySite).serveEach},
		{"a model that no runner holds is loaded by one leader", (*relaySite).loadCold},
		{"a change of the configuration is in force on each VM", (*relaySite).changeRoutes},
		{"requests go on while the store is silent", (*relaySite).silenceStore},
		{"a VM that starts while the store is silent serves", (*relaySite).startInOutage},
		{"a changed settings file with a fault changes nothing", (*relaySite).hangUp},
		{"a planned stop cuts no request", (*relaySite).stopOne},
		{"a killed leader is succeeded", (*relaySite).killLeader},
	} {
		t.Run(step.name, func(t *testing.T) {
			s.t = t
			step.play(s)
		})
	}
}

// startRelaySite starts the stand-ins and the entry VMs.
func startRelaySite(t *testing.T) *relaySite {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s := &relaySite{ctx: ctx, l: launcher.New(binary, t.TempDir()), store: imitator.NewStore(), t: t}
	t.Cleanup(func() {
		for _, p := range s.processes {
			p.Kill()
		}
	})
	storeAddress := s.listen(s.store.Serve)
	asserter.NoError(t, s.store.Put(ctx, imitator.ConfigTopic, imitator.ConfigKey, imitator.Config(1, "/calls/")))
	for i := range 2 {
		s.runners = append(s.runners, s.server(fmt.Sprintf("runner-%d", i), "engines",
			imitator.WithEvents(6, 10*time.Millisecond), imitator.WithModels(fmt.Sprintf("m%d", i)), imitator.WithLoadTime(200*time.Millisecond)))
		s.desks = append(s.desks, s.server(fmt.Sprintf("desk-%d", i), "desk"))
	}
	seeds, err := launcher.FreeAddresses(ctx, relayVMs)
	asserter.NoError(t, err)
	for i := range relayVMs {
		free, err := launcher.FreeAddresses(ctx, 3)
		asserter.NoError(t, err)
		s.addresses = append(s.addresses, free[0])
		s.settings = append(s.settings, map[string]any{
			"clients": map[string]any{"address": free[0]}, "drain-limit-s": 8, "failure-domain": "z",
			"lease-ms": 1000, "log-level": "warn", "metrics": map[string]any{"address": free[1]},
			"peers": map[string]any{"address": seeds[i], "key": launcher.FleetKey}, "seeds": seeds,
			"readiness": map[string]any{"address": free[2]}, "runners": map[string]any{"check-fence": true},
			"store": map[string]any{"address": storeAddress}, "vm": fmt.Sprintf("entry-%d", i),
		})
		s.start(i)
	}
	return s
}

// changeRoutes adds a route and asks for it on each VM.
func (s *relaySite) changeRoutes() {
	asserter.NoError(s.t, s.store.Put(s.ctx, imitator.ConfigTopic, imitator.ConfigKey, imitator.Config(5, "/later/")))
	for i := range relayVMs {
		asserter.Eventually(s.t, patience, func() bool { return s.ask(i, "/later/x", "").Status == http.StatusOK })
		asserter.Equal(s.t, s.ask(i, "/calls/x", "").Status, http.StatusNotFound)
	}
	asserter.NoError(s.t, s.store.Put(s.ctx, imitator.ConfigTopic, imitator.ConfigKey, imitator.Config(6, "/calls/")))
	for i := range relayVMs {
		asserter.Eventually(s.t, patience, func() bool { return s.ask(i, "/calls/x", "").Status == http.StatusOK })
	}
}

// hangUp sends SIGHUP after the settings file got a fault.
func (s *relaySite) hangUp() {
	asserter.NoError(s.t, s.l.ReplaceSettings(s.name(0), []byte("{")))
	asserter.NoError(s.t, s.processes[0].Signal(syscall.SIGHUP))
	asserter.Equal(s.t, s.ask(0, "/calls/x", "").Status, http.StatusOK)
}

// killLeader kills the VM that gave the last order and asks for a cold model.
func (s *relaySite) killLeader() {
	leader := 0
	for _, r := range s.runners {
		orders, err := r.Orders(s.ctx)
		asserter.NoError(s.t, err)
		for _, o := range orders {
			_, err := fmt.Sscanf(o.Leader, "entry-%d", &leader)
			asserter.NoError(s.t, err)
		}
	}
	s.processes[leader].Kill()
	other := (leader + 1) % relayVMs
	asserter.Eventually(s.t, patience, func() bool { return s.ask(other, "/streams/x", "cold-2").CompleteStream(6) })
	s.assertFences()
}

// loadCold asks for a model that no runner holds through all VMs at once.
func (s *relaySite) loadCold() {
	asserter.Eventually(s.t, patience, func() bool { return s.ask(0, "/streams/x", "cold-1").CompleteStream(6) })
	for i := range relayVMs {
		asserter.Eventually(s.t, patience, func() bool { return s.ask(i, "/streams/x", "cold-1").CompleteStream(6) })
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
	s.assertFences()
}

// serveEach sends a call and a stream through each VM.
func (s *relaySite) serveEach() {
	for i := range relayVMs {
		got := s.ask(i, "/calls/x?a=b", "")
		asserter.Equal(s.t, got.Status, http.StatusOK)
		asserter.Equal(s.t, got.Body, "answer to "+got.ID)
		asserter.True(s.t, s.ask(i, "/streams/x", "m0").CompleteStream(6), "a stream is not whole")
		asserter.Equal(s.t, s.ask(i, "/nowhere/", "").Status, http.StatusNotFound)
	}
}

// silenceStore sends requests while the store does not answer.
func (s *relaySite) silenceStore() {
	asserter.NoError(s.t, s.store.SetFaults(s.ctx, imitator.StoreFaults{Silent: true}))
	for i := range relayVMs {
		asserter.Equal(s.t, s.ask(i, "/calls/x", "").Status, http.StatusOK)
		asserter.True(s.t, s.ask(i, "/streams/x", "m1").CompleteStream(6), "a stream is not whole")
	}
	asserter.NoError(s.t, s.store.SetFaults(s.ctx, imitator.StoreFaults{}))
}

// startInOutage starts a VM again while the store does not answer.
func (s *relaySite) startInOutage() {
	asserter.NoError(s.t, s.store.SetFaults(s.ctx, imitator.StoreFaults{Silent: true}))
	s.processes[2].Kill()
	s.start(2)
	asserter.Equal(s.t, s.ask(2, "/calls/x", "").Status, http.StatusOK)
	asserter.True(s.t, s.ask(2, "/streams/x", "m1").CompleteStream(6), "a stream is not whole")
	asserter.NoError(s.t, s.store.SetFaults(s.ctx, imitator.StoreFaults{}))
	asserter.NoError(s.t, s.store.Put(s.ctx, imitator.ConfigTopic, imitator.ConfigKey, imitator.Config(8, "/again/")))
	asserter.Eventually(s.t, patience, func() bool { return s.ask(2, "/again/x", "").Status == http.StatusOK })
	asserter.NoError(s.t, s.store.Put(s.ctx, imitator.ConfigTopic, imitator.ConfigKey, imitator.Config(9, "/calls/")))
	for i := range relayVMs {
		asserter.Eventually(s.t, patience, func() bool { return s.ask(i, "/calls/x", "").Status == http.StatusOK })
	}
}

// stopOne stops a VM during streams of requests and starts it again.
func (s *relaySite) stopOne() {
	const streams = 4
	stop := make(chan struct{})
	results := make(chan int, streams)
	for range streams {
		go func() {
			cut := 0
			client := &http.Client{Transport: &http.Transport{}}
			for {
				select {
				case <-stop:
					results <- cut
					return
				default:
				}
				got := s.askWith(client, 1, "/streams/x", "m0")
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
	for range streams {
		asserter.Equal(s.t, <-results, 0)
	}
	s.start(1)
}

// ask sends a request through a VM.
func (s *relaySite) ask(vm int, target, model string) imitator.Response {
	return s.askWith(http.DefaultClient, vm, target, model)
}

// askWith is ask for one client.
func (s *relaySite) askWith(client *http.Client, vm int, target, model string) imitator.Response {
	ctx, cancel := context.WithTimeout(s.ctx, 10*time.Second)
	defer cancel()
	return imitator.SendRequest(ctx, client, s.addresses[vm], target, model)
}

// assertFences reports an error if a runner got orders of two holders with one
// fencing number, or a lower one after a higher one.
func (s *relaySite) assertFences() {
	s.t.Helper()
	for _, r := range s.runners {
		orders, err := r.Orders(s.ctx)
		asserter.NoError(s.t, err)
		holders := make(map[int64]string)
		highest := int64(0)
		for _, o := range orders {
			if holder, ok := holders[o.FencingToken]; ok {
				asserter.Equal(s.t, o.Leader, holder)
			}
			holders[o.FencingToken] = o.Leader
			asserter.True(s.t, o.FencingToken >= highest, "the fencing number fell")
			highest = max(highest, o.FencingToken)
		}
	}
}

// listen starts serve on a free port and returns its address.
func (s *relaySite) listen(serve func(ctx context.Context, l net.Listener) error) string {
	s.t.Helper()
	l, err := new(net.ListenConfig).Listen(s.ctx, "tcp", "127.0.0.1:0")
	asserter.NoError(s.t, err)
	go func() { _ = serve(s.ctx, l) }()
	return l.Addr().String()
}

// name returns the name of a VM.
func (s *relaySite) name(vm int) string { return fmt.Sprintf("entry-%d", vm) }

// server starts a server that renews its entry in the list.
func (s *relaySite) server(id, service string, opts ...imitator.ServerOption) *imitator.Server {
	s.t.Helper()
	server := imitator.NewServer(id, opts...)
	address := s.listen(server.Serve)
	write := func() error {
		entry, err := server.Entry(s.ctx, service, address, "z")
		if err != nil {
			return err
		}
		return s.store.Put(s.ctx, imitator.ServersTopic, id, entry)
	}
	asserter.NoError(s.t, write())
	go func() {
		for write() == nil {
			select {
			case <-s.ctx.Done():
				return
			case <-time.After(200 * time.Millisecond):
			}
		}
	}()
	return server
}

// start starts a VM and waits until it is ready.
func (s *relaySite) start(vm int) {
	s.t.Helper()
	ready := s.settings[vm]["readiness"].(map[string]any)["address"].(string)
	p, err := s.l.Start(s.ctx, s.name(vm), "relay", s.settings[vm], "http://"+ready+"/ready")
	asserter.NoError(s.t, err)
	if vm < len(s.processes) {
		s.processes[vm] = p
	} else {
		s.processes = append(s.processes, p)
	}
}
