package connector_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/connector"
	"github.com/buckthorndyke/buckthorndyke/encoder"
	"github.com/buckthorndyke/buckthorndyke/wire"
)

// benchmarkTokens is the number of tokens of one response in a benchmark.
const benchmarkTokens = 256

// BenchmarkHTTPEngineStream measures the time from the start of a job to its end
// marker, with an engine that responds without delay.
func BenchmarkHTTPEngineStream(b *testing.B) {
	events := make([]string, 0, benchmarkTokens+1)
	for i := range benchmarkTokens + 1 {
		data, err := encoder.EncodeJSON(&wire.EngineToken{
			Index: int32(i), Job: "j", Last: i == benchmarkTokens, Text: "token ",
		})
		asserter.NoError(b, err)
		events = append(events, fmt.Sprintf("data: %s\n\n", data))
	}
	b.Run("at once", func(b *testing.B) {
		body := []byte(strings.Join(events, ""))
		benchmarkStream(b, serve(b, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
	})
	b.Run("flushed after each token", func(b *testing.B) {
		benchmarkStream(b, serve(b, func(w http.ResponseWriter, _ *http.Request) {
			flusher := http.NewResponseController(w)
			for _, event := range events {
				_, _ = w.Write([]byte(event))
				_ = flusher.Flush()
			}
		}))
	})
}

// benchmarkStream reads complete responses from the engine at address.
func benchmarkStream(b *testing.B, address string) {
	b.Helper()
	engine := connector.NewHTTPEngine(address)
	b.ReportAllocs()
	for b.Loop() {
		s, err := engine.Generate(b.Context(), buckthorndyke.Job{ID: "j", Model: model})
		asserter.NoError(b, err)
		texts, err := collect(b.Context(), s)
		asserter.NoError(b, err)
		asserter.Equal(b, len(texts), benchmarkTokens)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*benchmarkTokens), "ns/token")
}

// BenchmarkHTTPVMList measures a read of the VM list that has not changed since the
// last read. It reports the size of the list, which is not sent again.
func BenchmarkHTTPVMList(b *testing.B) {
	for _, n := range []int{23, 253, 1010} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			vms := make([]buckthorndyke.VM, n)
			for i := range vms {
				id := buckthorndyke.VMID(fmt.Sprintf("lakes-east-runner-%04d", i))
				vms[i] = buckthorndyke.VM{Address: "10.20.30.40:19000", Domain: "lakes-east-a", ID: id, Role: buckthorndyke.RoleRunner}
			}
			body, err := encoder.EncodeJSON(encoder.EncodeVMs(vms))
			asserter.NoError(b, err)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("ETag", `"1"`)
				if r.Header.Get("If-None-Match") != "" {
					w.WriteHeader(http.StatusNotModified)
					return
				}
				_, _ = w.Write(body)
			}))
			b.Cleanup(server.Close)
			list := connector.NewHTTPVMList(server.Listener.Addr().String())
			for b.Loop() {
				_, err := list.List(b.Context())
				asserter.NoError(b, err)
			}
			b.ReportMetric(float64(len(body)), "list-B")
		})
	}
}
