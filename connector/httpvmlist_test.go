package connector_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/connector"
)

func TestHTTPVMListUnchanged(t *testing.T) {
	t.Run("an unchanged list is not sent again", func(t *testing.T) {
		bodies := 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("If-None-Match") == `"1"` {
				w.WriteHeader(http.StatusNotModified)
				return
			}
			bodies++
			w.Header().Set("ETag", `"1"`)
			_, _ = w.Write([]byte(`{"vms":[{"id":"entry-1","role":"entry"}]}`))
		}))
		t.Cleanup(server.Close)
		list := connector.NewHTTPVMList(server.Listener.Addr().String())
		for range 3 {
			vms, err := list.List(t.Context())
			asserter.NoError(t, err)
			asserter.Equal(t, len(vms), 1)
			vms[0].ID = "changed by the caller"
		}
		asserter.Equal(t, bodies, 1)
	})
	t.Run("an unsolicited 304 is an error", func(t *testing.T) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusNotModified)
		}))
		t.Cleanup(server.Close)
		_, err := connector.NewHTTPVMList(server.Listener.Addr().String()).List(t.Context())
		asserter.Code(t, err, buckthorndyke.CodeServiceUnavailable)
	})
}
