// Package examples_test checks the example files.
package examples_test

import (
	"os"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/configurer"
	"github.com/buckthorndyke/buckthorndyke/parser"
)

// sizes are the sizes of a deployment.
type sizes struct {
	adapters, domains, models, ranks, runners, services int
}

func TestRules(t *testing.T) {
	for _, tc := range []struct {
		file    string
		service buckthorndyke.ServiceID
		caller  buckthorndyke.CallerID
		want    sizes
	}{
		{"lakeshore.rules", "bookings", "demo-town-clerk", sizes{adapters: 75, models: 65, ranks: 3, services: 1}},
		{"klotsiring.rules", "ledger", "demo-seller", sizes{adapters: 65, models: 70, ranks: 3, services: 1}},
	} {
		t.Run(tc.file, func(t *testing.T) {
			rules, err := parser.NewRules().Parse(string(read(t, tc.file)))
			asserter.NoError(t, err)
			got := sizes{ranks: rules.Ranks.Len(), services: rules.Services.Len()}
			for _, m := range rules.Models.All() {
				if m.IsAdapter() {
					got.adapters++
				} else {
					got.models++
				}
			}
			asserter.Equal(t, got == tc.want, true)
			asserter.Equal(t, rules.Services.Has(tc.service), true)
			asserter.Equal(t, rules.Callers.Len() > 3, true)
			caller, ok := rules.CallerByKey(buckthorndyke.DigestKey(string(tc.caller)))
			asserter.Equal(t, ok, true)
			asserter.Equal(t, caller.ID, tc.caller)
		})
	}
}

func TestStandIns(t *testing.T) {
	for _, file := range []string{"stand-in.jsonc", "stand-in-klotsiring.jsonc"} {
		t.Run(file, func(t *testing.T) {
			s, err := configurer.ParseStandIn(read(t, file))
			asserter.NoError(t, err)
			domains := make(map[buckthorndyke.DomainID]bool)
			for _, r := range s.Runners {
				domains[r.Domain] = true
			}
			got := sizes{domains: len(domains), runners: len(s.Runners), services: len(s.Services)}
			asserter.Equal(t, got == sizes{domains: 3, runners: 12, services: 3}, true)
		})
	}
}

func TestEntry(t *testing.T) {
	s, err := configurer.ParseServe(read(t, "entry.jsonc"))
	asserter.NoError(t, err)
	t.Run("the values marked as defaults are the defaults", func(t *testing.T) {
		minimal, err := configurer.ParseServe([]byte(`{
			"vm": "entry-1", "failure-domain": "lakes-east-a",
			"callers": {"address": "127.0.0.1:8080"},
			"peers": {"address": "127.0.0.1:19110", "key": "example-fleet-key"},
			"operator": {"address": "127.0.0.1:8082", "token": "example-operator-token"},
			"log": {"address": "127.0.0.1:19000"}, "vm-list": {"address": "127.0.0.1:19001"},
			"weight-store": {"address": "127.0.0.1:19002"},
			"keep-warm": {"cold-start-weight": 0.65},
			"runners": {"exceptions": ["runner-11", "runner-12"]},
		}`))
		asserter.NoError(t, err)
		asserter.Equal(t, s, minimal)
	})
	t.Run("its exceptions are the stand-ins that ignore fencing tokens", func(t *testing.T) {
		site, err := configurer.ParseStandIn(read(t, "stand-in.jsonc"))
		asserter.NoError(t, err)
		for _, r := range site.Runners {
			asserter.Equal(t, s.Runners.ChecksFencingToken(buckthorndyke.RunnerID(r.VM)), r.ChecksFencingToken)
		}
	})
}

func read(t *testing.T, file string) []byte {
	t.Helper()
	data, err := os.ReadFile(file)
	asserter.NoError(t, err)
	return data
}
