package encoder_test

import (
	"fmt"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/encoder"
)

// TestRoutings guards against copies of the configuration that lack a part of it, or that are
// too large for links of 10 Mbit/s.
func TestRoutings(t *testing.T) {
	var routes []buckthorndyke.Route
	for i := range 1000 {
		routes = append(routes, buckthorndyke.Route{
			Attempts: 2, Host: "hall.example", Kind: buckthorndyke.RouteSafe, Name: fmt.Sprintf("r-%d", i), Prefix: fmt.Sprintf("/a/%d/", i),
			Targets: []buckthorndyke.RouteTarget{{Service: "engines", Weight: 1}}, Timeout: 9000,
		})
	}
	r := buckthorndyke.Routing{Record: buckthorndyke.RoutingRecord{Bytes: 350_000, Era: 3, Next: 17}, Version: 9}.WithRoutes(routes)
	data, err := encoder.Routings{}.EncodeRouting(r)
	asserter.NoError(t, err)
	t.Run("the configuration and its record are preserved and marked as copied", func(t *testing.T) {
		got, err := encoder.Routings{}.DecodeRouting(data)
		asserter.NoError(t, err)
		asserter.True(t, got.Copied, "the copy is not marked")
		asserter.Equal(t, got.Version, 9)
		asserter.Equal(t, got.Record, r.Record)
		asserter.Equal(t, got.Routes(), 1000)
		route, _ := got.Route("hall.example", "/a/7/x")
		asserter.Equal(t, route.Name, "r-7")
	})
	t.Run("a thousand routes take less than 60 kB", func(t *testing.T) {
		asserter.True(t, len(data) <= 60_000, fmt.Sprintf("they take %d bytes", len(data)))
	})
	t.Run("a truncated copy and one without a version are refused", func(t *testing.T) {
		_, err := encoder.Routings{}.DecodeRouting(data[:len(data)/2])
		asserter.Error(t, err)
		empty, err := encoder.Routings{}.EncodeRouting(buckthorndyke.Routing{})
		asserter.NoError(t, err)
		_, err = encoder.Routings{}.DecodeRouting(empty)
		asserter.Error(t, err)
	})
}
