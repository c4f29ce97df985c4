package configurer_test

import (
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/configurer"
)

const relaySettings = `{
  // A comment.
  "vm": "entry-1", "failure-domain": "z-a", "cpu-share": 0.4,
  "clients": {"address": "10.0.0.1:80"}, "readiness": {"address": "10.0.0.1:81"},
  "metrics": {"address": "10.0.0.1:82"},
  "peers": {"address": "10.0.0.1:83", "key": "sixteen-characters"},
  "store": {"address": "10.0.0.9:80"}, "runners": {"check-fence": true, "early-loads": true},
  "lease-ms": 3000, "change-limit-ms": 1500, "drain-limit-s": 8,
  "seeds": ["10.0.0.2:83", "10.0.0.3:83"],
}`

func TestParseRelay(t *testing.T) {
	t.Run("settings are parsed", func(t *testing.T) {
		got, err := configurer.ParseRelay([]byte(relaySettings))
		asserter.NoError(t, err)
		asserter.Equal(t, got.ChangeLimit, 1500)
		asserter.Equal(t, got.ClientsAddress, "10.0.0.1:80")
		asserter.Equal(t, got.CPUShare, 0.4)
		asserter.Equal(t, got.DrainLimit, 8*buckthorndyke.Second)
		asserter.Equal(t, got.FullSpeedLoads, 4)
		asserter.Equal(t, got.Seeds, []string{"10.0.0.2:83", "10.0.0.3:83"})
		asserter.True(t, got.ChecksFencingToken, "ChecksFencingToken is not set")
		asserter.True(t, got.EarlyLoads, "EarlyLoads is not set")
	})
	t.Run("the bounds on allotments may be rendered as fractions", func(t *testing.T) {
		with := strings.Replace(relaySettings, `"lease-ms"`, `"allotments": {"window-s": 8.0, "overage": 0.1, "slack": 110000.0}, "lease-ms"`, 1)
		got, err := configurer.ParseRelay([]byte(with))
		asserter.NoError(t, err)
		asserter.Equal(t, got.Allotments, buckthorndyke.AllotmentBounds{Overage: 0.1, Slack: 110_000, Window: 8 * buckthorndyke.Second})
	})
	t.Run("absent bounds on allotments have defaults", func(t *testing.T) {
		for _, part := range []string{"", `"allotments": {}, `} {
			got, err := configurer.ParseRelay([]byte(strings.Replace(relaySettings, `"lease-ms"`, part+`"lease-ms"`, 1)))
			asserter.NoError(t, err)
			asserter.Equal(t, got.Allotments, buckthorndyke.AllotmentBounds{Overage: 0.1, Window: 8 * buckthorndyke.Second})
		}
	})
	t.Run("impossible bounds on allotments are reported with their positions", func(t *testing.T) {
		for _, member := range []string{`"window-s": 0`, `"window-s": "8"`, `"overage": -0.1`, `"slack": -1`, `"slack": 1e999`, `"window": 8`} {
			_, err := configurer.ParseRelay([]byte(strings.Replace(relaySettings, `"lease-ms"`, `"allotments": {`+member+`}, "lease-ms"`, 1)))
			asserter.Error(t, err)
			key, _, _ := strings.Cut(member, ":")
			asserter.Contains(t, err.Error(), key)
			asserter.Contains(t, err.Error(), "line ")
		}
	})
	t.Run("all faults are reported with their positions", func(t *testing.T) {
		broken := strings.NewReplacer(`"10.0.0.9:80"`, `"store:80"`, `"drain-limit-s": 8`, `"drain-limit-s": "8"`, `"10.0.0.3:83"`, `"entry-3"`,
			`"vm"`, `"vmm"`).Replace(relaySettings)
		_, err := configurer.ParseRelay([]byte(broken))
		asserter.Error(t, err)
		for _, part := range []string{`store:80`, `"entry-3" is not an IP address`, `"drain-limit-s"`, `"vmm"`, `"vm"`, "line 8, column 63"} {
			asserter.Contains(t, err.Error(), part)
		}
	})
	t.Run("waiting requests are served by slack, unless the order of arrival is chosen", func(t *testing.T) {
		withAdmission := func(admission string) (configurer.Relay, error) {
			return configurer.ParseRelay([]byte(strings.Replace(relaySettings, `"lease-ms"`, `"admission": `+admission+`, "lease-ms"`, 1)))
		}
		for admission, arrival := range map[string]bool{`{}`: false, `{"order": "slack"}`: false, `{"order": "arrival"}`: true} {
			got, err := withAdmission(admission)
			asserter.NoError(t, err)
			asserter.Equal(t, got.ArrivalOrder, arrival)
		}
		for admission, fault := range map[string]string{
			`{"order": "random"}`: `"order" is "random"`, `{"orders": "slack"}`: `"orders"`, `"arrival"`: `"admission" must be an object`,
		} {
			_, err := withAdmission(admission)
			asserter.Error(t, err)
			asserter.Contains(t, err.Error(), fault)
		}
	})
	t.Run("long prompts yield to short ones, unless that is switched off", func(t *testing.T) {
		for member, ignore := range map[string]bool{"": false, `"long-prompts": "yield", `: false, `"long-prompts": "ignore", `: true} {
			got, err := configurer.ParseRelay([]byte(strings.Replace(relaySettings, `"lease-ms"`, member+`"lease-ms"`, 1)))
			asserter.NoError(t, err)
			asserter.Equal(t, got.IgnoreLongPrompts, ignore)
		}
		_, err := configurer.ParseRelay([]byte(strings.Replace(relaySettings, `"lease-ms"`, `"long-prompts": "spread", "lease-ms"`, 1)))
		asserter.Error(t, err)
		asserter.Contains(t, err.Error(), `"long-prompts" is "spread"`)
	})
	numbers := map[string]func(s configurer.Relay) int{
		"change-limit-ms": func(s configurer.Relay) int { return int(s.ChangeLimit) },
		"drain-limit-s":   func(s configurer.Relay) int { return int(s.DrainLimit / buckthorndyke.Second) },
		"lease-ms":        func(s configurer.Relay) int { return int(s.Lease) },
		"leave-limit-ms":  func(s configurer.Relay) int { return int(s.LeaveLimit) },
		"memory-mb":       func(s configurer.Relay) int { return s.MemoryMB },
		"retry-burst":     func(s configurer.Relay) int { return s.RetryBurst },
	}
	// withNumber returns settings in which the number under key is literal.
	withNumber := func(key, literal string) []byte {
		lines := strings.Split(relaySettings, "\n")
		for i, line := range lines {
			lines[i] = regexp.MustCompile(`"`+key+`": \d+,?`).ReplaceAllString(line, "")
		}
		return []byte(strings.TrimSuffix(strings.TrimSpace(strings.Join(lines, "\n")), "}") + `"` + key + `": ` + literal + "\n}")
	}
	for key, get := range numbers {
		whole, literals := 2000, []string{"2000", "2e3", "2000.0"}
		if key == "drain-limit-s" {
			whole, literals = 9, []string{"9", "0.9e1", "9.0"}
		}
		t.Run("a template may render "+key+" in any form", func(t *testing.T) {
			for _, literal := range literals {
				got, err := configurer.ParseRelay(withNumber(key, literal))
				asserter.NoError(t, err)
				asserter.Equal(t, get(got), whole)
			}
			rounded := whole
			if key == "lease-ms" {
				rounded++
			}
			got, err := configurer.ParseRelay(withNumber(key, strconv.Itoa(whole)+".25"))
			asserter.NoError(t, err)
			asserter.Equal(t, get(got), rounded)
		})
		t.Run("an impossible "+key+" is reported with its position", func(t *testing.T) {
			for _, literal := range []string{"-1", "-2000.5", "1e12", "1e999", `"8"`} {
				_, err := configurer.ParseRelay(withNumber(key, literal))
				asserter.Error(t, err)
				asserter.Contains(t, err.Error(), `"`+key+`" is `)
				asserter.Contains(t, err.Error(), "line ")
				asserter.Contains(t, err.Error(), "column ")
			}
		})
	}
}
