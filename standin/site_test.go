package standin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/connector"
	"github.com/buckthorndyke/buckthorndyke/standin"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

func TestSite(t *testing.T) {
	t.Run("the config is decoded from JSON with kebab-case keys", func(t *testing.T) {
		cfg := siteConfig(t)
		asserter.Equal(t, cfg.Runners[0].ID, "runner-1")
		asserter.Equal(t, cfg.Runners[0].Engine.ChecksFencingToken, true)
		asserter.Equal(t, cfg.WeightStore.Checkpoints[0].SizeMB, 4)
	})
	t.Run("the VM list has entry VMs, runners and service VMs", func(t *testing.T) {
		ctx, a := startSite(t)
		vms, err := connector.NewHTTPVMList(a.VMList).List(ctx)
		asserter.NoError(t, err)
		asserter.Equal(t, vms, []buckthorndyke.VM{
			{Address: "127.0.0.1:9", Domain: "a", ID: "entry-1", Role: buckthorndyke.RoleEntry},
			{Address: a.Runners[0], Domain: "a", ID: "runner-1", Role: buckthorndyke.RoleRunner},
			{Address: a.Runners[1], Domain: "b", ID: "runner-2", Role: buckthorndyke.RoleRunner},
			{Address: a.ServiceVMs[0], ID: "b-1", Role: buckthorndyke.RoleService, Service: "bookings"},
			{Address: a.ServiceVMs[1], ID: "b-2", Role: buckthorndyke.RoleService, Service: "bookings"},
		})
	})
	t.Run("runners load from the weight store", func(t *testing.T) {
		ctx, a := startSite(t)
		load(ctx, t, connector.NewHTTPEngine(a.Runners[0]), buckthorndyke.Order{MemoryMB: 4, Model: "tiny"})
		var stats standin.StoreStats
		get(ctx, t, a.WeightStore, &stats)
		asserter.Equal(t, stats.Models, 1)
		var journal standin.EngineJournal
		get(ctx, t, a.Runners[0], &journal)
		asserter.Equal(t, journal.Loads["tiny"], 1)
		asserter.Equal(t, journal.Orders[0].State, buckthorndyke.OrderRunning)
	})
	t.Run("VMs of one service share a journal", func(t *testing.T) {
		ctx, a := startSite(t)
		for _, address := range a.ServiceVMs {
			_, err := connector.NewHTTPService().Call(ctx, address, booking)
			asserter.NoError(t, err)
		}
		var journal standin.ServiceJournal
		get(ctx, t, a.ServiceVMs[0], &journal)
		asserter.Equal(t, journal.Keys["k1"], 2)
		asserter.Equal(t, journal.Calls[1].Address, a.ServiceVMs[1])
	})
	t.Run("faults are injected over HTTP", func(t *testing.T) {
		ctx, a := startSite(t)
		log := connector.NewHTTPLog(a.Log)
		asserter.Equal(t, post(ctx, t, a.Log, "/faults", `{"down": true}`), http.StatusOK)
		_, err := log.Append(ctx, stream, []byte("a"))
		asserter.Verdict(t, err, buckthorndyke.NotRun)
		asserter.Equal(t, post(ctx, t, a.Log, "/faults", `{}`), http.StatusOK)
		_, err = log.Append(ctx, stream, []byte("a"))
		asserter.NoError(t, err)
	})
	t.Run("an unknown fault is refused", func(t *testing.T) {
		ctx, a := startSite(t)
		for _, address := range []string{a.Log, a.VMList, a.WeightStore, a.Runners[0], a.ServiceVMs[0]} {
			asserter.Equal(t, post(ctx, t, address, "/faults", `{"dwon": true}`), http.StatusBadRequest)
		}
	})
	t.Run("a request that cannot be decoded is refused", func(t *testing.T) {
		ctx, a := startSite(t)
		asserter.Equal(t, post(ctx, t, a.Log, "/v1/streams/control/records", "{"), http.StatusBadRequest)
		asserter.Equal(t, post(ctx, t, a.Runners[0], "/v1/orders", "{"), http.StatusBadRequest)
		asserter.Equal(t, post(ctx, t, a.Runners[0], "/v1/jobs", "{"), http.StatusBadRequest)
	})
	t.Run("a runner crashes over HTTP", func(t *testing.T) {
		ctx, a := startSite(t)
		asserter.Equal(t, post(ctx, t, a.Runners[0], "/crash", ""), http.StatusOK)
		_, err := connector.NewHTTPEngine(a.Runners[0]).Status(ctx)
		asserter.Verdict(t, err, buckthorndyke.NotRun)
	})
	t.Run("the VM list is replaced over HTTP", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		list := standin.NewMemoryVMList(timekeeper.NewRealClock())
		server := standin.NewVMListServer("127.0.0.1:0", list)
		standin.Start(ctx, list, server)
		address, err := server.Address(ctx)
		asserter.NoError(t, err)
		_, status := request(ctx, t, http.MethodPut, address, "/v1/vms", `{"vms": [{"id": "entry-1", "leaving": true}]}`)
		asserter.Equal(t, status, http.StatusOK)
		assertListed(ctx, t, list, buckthorndyke.VM{ID: "entry-1", Leaving: true})
	})
	t.Run("a server whose address is in use fails", func(t *testing.T) {
		ctx, a := startSite(t)
		server := standin.NewVMListServer(a.VMList, standin.NewMemoryVMList(nil))
		asserter.Error(t, server.Serve(ctx))
	})
}

// get decodes the journal of the fake at address into out.
func get(ctx context.Context, t *testing.T, address string, out any) {
	t.Helper()
	body, status := request(ctx, t, http.MethodGet, address, "/journal", "")
	asserter.Equal(t, status, http.StatusOK)
	asserter.NoError(t, json.NewDecoder(bytes.NewReader(body)).Decode(out))
}

// post sends a POST request with body and returns the HTTP status code.
func post(ctx context.Context, t *testing.T, address, path, body string) int {
	t.Helper()
	_, status := request(ctx, t, http.MethodPost, address, path, body)
	return status
}

func request(ctx context.Context, t *testing.T, method, address, path, body string) (responseBody []byte, status int) {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	asserter.NoError(t, err)
	response, err := http.DefaultClient.Do(r)
	asserter.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	responseBody, err = io.ReadAll(response.Body)
	asserter.NoError(t, err)
	return responseBody, response.StatusCode
}

// siteConfig returns a config with two runners and two VMs of one plain service.
func siteConfig(t *testing.T) standin.SiteConfig {
	t.Helper()
	var cfg standin.SiteConfig
	asserter.NoError(t, json.Unmarshal([]byte(`{
		"entry-vms": [{"id": "entry-1", "domain": "a", "address": "127.0.0.1:9"}],
		"log": {"address": "127.0.0.1:0", "retain-records": 100},
		"runners": [
			{"id": "runner-1", "domain": "a", "address": "127.0.0.1:0", "engine": {"checks-fence": true, "restart-ms": 3600000}},
			{"id": "runner-2", "domain": "b", "address": "127.0.0.1:0"}
		],
		"service-vms": [
			{"id": "b-1", "address": "127.0.0.1:0", "service": "bookings"},
			{"id": "b-2", "address": "127.0.0.1:0", "service": "bookings"}
		],
		"vm-list": {"address": "127.0.0.1:0", "lag-ms": 3600000},
		"weight-store": {"address": "127.0.0.1:0", "checkpoints": [{"model": "tiny", "size-mb": 4}]}
	}`), &cfg))
	return cfg
}

// startSite starts a site that runs until the end of the test.
func startSite(t *testing.T) (context.Context, standin.SiteAddresses) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	site := standin.NewSite(siteConfig(t))
	done := make(chan struct{})
	go func() {
		_ = site.Serve(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	addresses, err := site.Addresses(ctx)
	asserter.NoError(t, err)
	return ctx, addresses
}
