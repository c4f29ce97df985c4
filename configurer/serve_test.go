package configurer_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/configurer"
)

const minimalSettings = `{
  "vm": "entry-1", "failure-domain": "lakes-east-a",
  "callers": {"address": "127.0.0.1:0"},
  "peers": {"address": "127.0.0.1:7", "key": "0123456789abcdef"},
  "operator": {"address": "127.0.0.1:0", "token": "0123456789abcdef"},
  "log": {"address": "127.0.0.1:9001"},
  "vm-list": {"address": "127.0.0.1:9002"},
  "weight-store": {"address": "127.0.0.1:9003"}, // comments and commas are allowed
}`

func TestParseServe(t *testing.T) {
	t.Run("defaults", func(t *testing.T) {
		s, err := configurer.ParseServe([]byte(minimalSettings))
		assertNoError(t, err)
		assertEqual(t, s.VM, "entry-1")
		assertEqual(t, s.LogLevel, "info")
		assertEqual(t, s.KeepWarm, configurer.KeepWarm{ColdStartWeight: 0.5, FixedTimeout: 5 * buckthorndyke.Minute, Policy: "adaptive"})
		assertEqual(t, s.WeightStore, configurer.WeightStore{
			Address: "127.0.0.1:9003", MaxConcurrentAdapterLoads: 30, MaxConcurrentModelLoads: 4, ModelLoadsPerSecond: 4,
		})
		assertEqual(t, s.Runners.ChecksFencingToken("runner-1"), true)
	})
	t.Run("exceptions invert the setting", func(t *testing.T) {
		for _, check := range []bool{true, false} {
			r := configurer.Runners{CheckFencingToken: check, Exceptions: []buckthorndyke.RunnerID{"runner-2"}}
			assertEqual(t, r.ChecksFencingToken("runner-1"), check)
			assertEqual(t, r.ChecksFencingToken("runner-2"), !check)
		}
	})
}

func TestParseServeFaults(t *testing.T) {
	t.Run("three faults are reported together", func(t *testing.T) {
		text := strings.NewReplacer(
			`"vm": "entry-1"`, `"vms": "entry-1", "vm": "entry-1"`,
			`"127.0.0.1:9001"`, `"log.lakes.example:9001"`,
			`"127.0.0.1:9003"`, `"127.0.0.1:9003", "model-loads-at-once": 0`,
		).Replace(minimalSettings)
		_, err := configurer.ParseServe([]byte(text))
		assertFaults(t, err, "2:3 unknown-key", "6:22 bad-address", "8:72 out-of-range")
	})
	for _, tc := range []struct {
		name, old, new string
		want           []string
	}{
		{"host name", "127.0.0.1:9001", "localhost:9001", []string{"6:22 bad-address"}},
		{"address without a port", "127.0.0.1:9001", "127.0.0.1", []string{"6:22 bad-address"}},
		{"port out of range", "127.0.0.1:9001", "127.0.0.1:70000", []string{"6:22 bad-address"}},
		{"remote port 0", "127.0.0.1:9001", "127.0.0.1:0", []string{"6:22 bad-address"}},
		{"unspecified remote address", "127.0.0.1:9001", "0.0.0.0:9001", []string{"6:22 bad-address"}},
		{"address with a zone", "127.0.0.1:9001", "[fe80::1%eth0]:9001", []string{"6:22 bad-address"}},
		{"missing section", `"log": {"address": "127.0.0.1:9001"},`, "", []string{"1:1 missing"}},
		{"missing address", `{"address": "127.0.0.1:9001"}`, "{}", []string{"6:10 missing"}},
		{"section of another type", `{"address": "127.0.0.1:9001"}`, "null", []string{"6:10 bad-type"}},
		{"address of another type", `"127.0.0.1:9001"`, "9001", []string{"6:22 bad-type"}},
		{"unknown key in a section", `"log": {`, `"log": {"retries": 2, `, []string{"6:11 unknown-key"}},
		{"key twice", `"log": {`, `"log": {"address": "127.0.0.1:1", `, []string{"6:37 duplicate"}},
		{"name not in kebab case", `"entry-1"`, `"Entry_1"`, []string{"2:9 bad-value"}},
		{"empty name", `"entry-1"`, `""`, []string{"2:9 bad-value"}},
		{"number as a string", `"vm":`, `"lease-ms": "3000", "vm":`, []string{"2:15 out-of-range"}},
		{"number with a fraction", `"vm":`, `"lease-ms": 3000.5, "vm":`, []string{"2:15 out-of-range"}},
		{"number too large", `"vm":`, `"drift-permille": 501, "vm":`, []string{"2:21 out-of-range"}},
		{"weight out of range", `"vm":`, `"keep-warm": {"cold-start-weight": 1.1}, "vm":`, []string{"2:38 out-of-range"}},
		{"weight below 0", `"vm":`, `"keep-warm": {"cold-start-weight": -0.1}, "vm":`, []string{"2:38 out-of-range"}},
		{"weight as a string", `"vm":`, `"keep-warm": {"cold-start-weight": "1"}, "vm":`, []string{"2:38 out-of-range"}},
		{"unknown policy", `"vm":`, `"keep-warm": {"policy": "lfu"}, "vm":`, []string{"2:27 bad-value"}},
		{"boolean as a number", `"vm":`, `"runners": {"check-fence": 1}, "vm":`, []string{"2:30 bad-type"}},
		{"exceptions of another type", `"vm":`, `"runners": {"exceptions": "runner-1"}, "vm":`, []string{"2:29 bad-type"}},
		{"bad exceptions", `"vm":`, `"runners": {"exceptions": [1, "a", "a", "B"]}, "vm":`, []string{"2:30 bad-type", "2:38 duplicate", "2:43 bad-value"}},
		{"lease below the probe interval", `"vm":`, `"lease-ms": 500, "vm":`, []string{"1:1 conflict"}},
		{"staleness limit below the lease", `"vm":`, `"staleness-limit-ms": 400, "vm":`, []string{"2:25 conflict"}},
		{"no token", `, "token": "0123456789abcdef"`, "", []string{"5:15 missing"}},
		{"short token", `"token": "0123456789abcdef"`, `"token": "secret"`, []string{"5:51 bad-value"}},
		{"token with a space", `"token": "0123456789abcdef"`, `"token": "0123456789 abcdef"`, []string{"5:51 bad-value"}},
		{"token and file", `"token": `, `"token-file": "/run/token", "token": `, []string{"5:56 conflict"}},
		{"empty file name", `"token": "0123456789abcdef"`, `"token-file": ""`, []string{"5:56 bad-value"}},
		{"same address twice", `"127.0.0.1:0"`, `"127.0.0.1:7"`, []string{"4:12 conflict", "5:15 conflict"}},
		{"address that peers cannot reach", `"127.0.0.1:7"`, `"0.0.0.0:7"`, []string{"4:24 bad-address"}},
		{"column counts characters", `"entry-1"`, `/* Õ */ "Entry"`, []string{"2:17 bad-value"}},
		{"syntax", `"vm": `, `"vm" `, []string{"2:8 syntax"}},
		{"syntax after other characters", `"vm": `, `/* Õ */ "vm" `, []string{"2:16 syntax"}},
		{"array in place of an object", minimalSettings, `[]`, []string{"1:1 bad-type"}},
		{"empty file", minimalSettings, ``, []string{"1:1 syntax"}},
		{"invalid UTF-8", minimalSettings, "{\xff}", []string{"1:1 syntax"}},
		{"file too large", minimalSettings, strings.Repeat(" ", 1<<20), []string{"1:1 syntax"}},
		{"deep nesting", minimalSettings, strings.Repeat("[", 1<<17), []string{"1:131073 syntax"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := configurer.ParseServe([]byte(strings.ReplaceAll(minimalSettings, tc.old, tc.new)))
			assertFaults(t, err, tc.want...)
		})
	}
}

func TestSecrets(t *testing.T) {
	text := strings.Replace(minimalSettings, `"token": "0123456789abcdef"`, `"token-file": "/run/token"`, 1)
	s, err := configurer.ParseServe([]byte(text))
	assertNoError(t, err)
	t.Run("a secret is read from its file", func(t *testing.T) {
		got, err := s.WithSecrets(func(string) ([]byte, error) { return []byte("fedcba9876543210\n"), nil })
		assertNoError(t, err)
		assertEqual(t, got.Operator.Token.Text, "fedcba9876543210")
		assertEqual(t, got.Peers.Key.Text, "0123456789abcdef")
	})
	t.Run("a short secret in a file is refused", func(t *testing.T) {
		_, err := s.WithSecrets(func(string) ([]byte, error) { return []byte("short"), nil })
		assertEqual(t, err != nil, true)
	})
	t.Run("the error of an unreadable file is returned", func(t *testing.T) {
		_, err := s.WithSecrets(func(string) ([]byte, error) { return nil, os.ErrPermission })
		assertEqual(t, strings.Contains(err.Error(), "permission"), true)
	})
	t.Run("a secret is not printed", func(t *testing.T) {
		for _, format := range []string{"%v", "%+v", "%s", "%#v"} {
			assertEqual(t, strings.Contains(fmt.Sprintf(format, s), "0123456789abcdef"), false)
		}
	})
}

func FuzzParseServe(f *testing.F) {
	f.Add([]byte(minimalSettings))
	f.Add([]byte(`{"vm": 1, "vm": {}, "runners": {"exceptions": [[]]}, "lease-ms": 1e9}`))
	f.Add([]byte("{\"log\": \n/* õ */ null,}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := configurer.ParseServe(data); err == nil {
			assertEqual(t, s.VM != "" && s.Lease > s.ProbeInterval && s.LogAddress != "", true)
		}
		_, _ = configurer.ParseStandIn(data)
	})
}
