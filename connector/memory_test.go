package connector_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/connector"
	"github.com/buckthorndyke/buckthorndyke/reporter"
	"github.com/buckthorndyke/buckthorndyke/supervisor/accountant"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

// TestServiceMemory guards against responses without end, which each kept to the size limit
// and together took more memory than the VM has.
func TestServiceMemory(t *testing.T) {
	part := []byte(strings.Repeat("x", 64<<10))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for r.Context().Err() == nil {
			if _, err := w.Write(part); err != nil || r.URL.Path == "/short" {
				return
			}
		}
	}))
	t.Cleanup(server.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	memory := accountant.New(4<<20, reporter.NewMetrics(), timekeeper.NewRealClock(), zerolog.Nop())
	go func() { _ = memory.Serve(ctx) }()
	service := connector.NewHTTPService(connector.WithMemory(memory))
	call := func(path string) (buckthorndyke.ServiceResponse, error) {
		return service.Call(ctx, server.Listener.Addr().String(), buckthorndyke.ServiceCall{Method: http.MethodPost, Path: path, Request: "r"})
	}
	t.Run("a response that finds no memory fails without a promise that it has not run", func(t *testing.T) {
		for range 3 {
			_, err := call("/endless")
			asserter.Refused(t, err, buckthorndyke.CodeMemoryShort, buckthorndyke.MayHaveRun)
		}
	})
	t.Run("its memory is free again", func(t *testing.T) {
		got, err := call("/short")
		asserter.NoError(t, err)
		asserter.Equal(t, len(got.Body), len(part))
	})
}
