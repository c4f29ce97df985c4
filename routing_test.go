package buckthorndyke_test

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
)

// TestRoute checks which route a path takes. The paths are as clients send them.
func TestRoute(t *testing.T) {
	routing := buckthorndyke.Routing{}.WithRoutes([]buckthorndyke.Route{
		{Host: "h", Name: "lots", Prefix: "/lots/"}, {Host: "h", Name: "sets", Prefix: "/lots/set/"},
	})
	for path, want := range map[string]string{
		"/lots/set/10255":   "sets",
		"/lots/set%2F10255": "lots",
		"/lots/10255":       "lots",
		"/lots%2Fset/10255": "",
		"/other/":           "",
	} {
		t.Run(path, func(t *testing.T) {
			route, ok := routing.Route("h", path)
			asserter.Equal(t, route.Name, want)
			asserter.Equal(t, ok, want != "")
		})
	}
}
