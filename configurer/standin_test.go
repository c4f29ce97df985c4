package configurer_test

import (
	"strings"
	"testing"

	"github.com/buckthorndyke/buckthorndyke/configurer"
)

const standInSettings = `{
  "log": {"address": "127.0.0.1:9001"},
  "vm-list": {"address": "127.0.0.1:9002", "lag-ms": 500},
  "weight-store": {"address": "127.0.0.1:9003"},
  "entry-vms": [{"vm": "entry-1", "failure-domain": "a", "address": "127.0.0.1:7000"}],
  "runners": [{"vm": "runner-1", "failure-domain": "a", "address": "127.0.0.1:0"}],
  "services": [{"vm": "bookings-1", "failure-domain": "a", "service": "bookings", "address": "127.0.0.1:0"}],
}`

func TestParseStandIn(t *testing.T) {
	t.Run("defaults", func(t *testing.T) {
		s, err := configurer.ParseStandIn([]byte(standInSettings))
		assertNoError(t, err)
		assertEqual(t, s.Runners, []configurer.StandInRunner{{
			Address: "127.0.0.1:0", ChecksFencingToken: true, Domain: "a", MemoryMB: 24_000, Slots: 8, VM: "runner-1",
		}})
		assertEqual(t, s.VMList.Lag, 500)
	})
	for _, tc := range []struct {
		name, old, new string
		want           []string
	}{
		{"VM listed twice", `"vm": "bookings-1"`, `"vm": "runner-1"`, []string{"7:23 duplicate"}},
		{"VM without a name", `"vm": "runner-1", `, ``, []string{"6:15 missing"}},
		{"runners of another type", `"runners": [`, `"runners": 1, "x": [`, []string{"6:14 bad-type", "6:17 unknown-key"}},
		{"no memory", `"vm": "runner-1"`, `"memory-mb": 0, "vm": "runner-1"`, []string{"6:29 out-of-range"}},
		{"faults in several entries", `"failure-domain": "a", `, ``, []string{"5:17 missing", "6:15 missing", "7:16 missing"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := configurer.ParseStandIn([]byte(strings.ReplaceAll(standInSettings, tc.old, tc.new)))
			assertFaults(t, err, tc.want...)
		})
	}
}
