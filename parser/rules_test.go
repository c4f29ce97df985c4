package parser_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/parser"
)

const (
	tokenDigest = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
	validRules  = `# Rules of a test.
model hall-reverb memory-mb=14000 replicas=2  # asked for by M. Okafor
adapter gary-gyms base=hall-reverb memory-mb=60 # asked for by T. Lindqvist, 12 May
caller town-clerk rank=urgent token-sha256=` + tokenDigest + ` models=gary-gyms services=bookings # asked for by M. Okafor

rank urgent share-percent=55 queue-limit=64 first-token-ms=2000 max-tokens=512 # asked for by M. Okafor
rank free share-percent=0 # asked for by M. Okafor
service bookings idempotent=GET,PUT:/sites # asked for by M. Okafor
`
)

func TestRulesParse(t *testing.T) {
	t.Run("valid text", func(t *testing.T) {
		rules, err := parser.NewRules().Parse(validRules)
		assertNoFaults(t, err)
		model, _ := rules.Models.Get("hall-reverb")
		assertEqual(t, model, buckthorndyke.ModelRule{RequestedBy: "M. Okafor", ID: "hall-reverb", MemoryMB: 14000, Replicas: 2})
		adapter, _ := rules.Models.Get("gary-gyms")
		assertEqual(t, adapter, buckthorndyke.ModelRule{
			RequestedBy: "T. Lindqvist, 12 May", Base: "hall-reverb", ID: "gary-gyms", MemoryMB: 60,
		})
		digest, _ := buckthorndyke.ParseKeyDigest(tokenDigest)
		caller, _ := rules.CallerByKey(digest)
		assertEqual(t, caller, buckthorndyke.CallerRule{
			RequestedBy: "M. Okafor", ID: "town-clerk", Models: []buckthorndyke.ModelID{"gary-gyms"},
			Rank: buckthorndyke.RankUrgent, Services: []buckthorndyke.ServiceID{"bookings"}, Key: digest,
		})
		assertEqual(t, rules.RankRuleOf(buckthorndyke.RankUrgent), buckthorndyke.RankRule{
			RequestedBy: "M. Okafor", FirstToken: 2000, MaxTokens: 512, QueueLimit: 64,
			Rank: buckthorndyke.RankUrgent, SharePercent: 55,
		})
		service, _ := rules.Services.Get("bookings")
		assertEqual(t, service.IsIdempotent("PUT", "/sites"), true)
		assertEqual(t, service.IsIdempotent("PUT", "/bookings"), false)
	})
	t.Run("text without rules", func(t *testing.T) {
		_, err := parser.NewRules().Parse("\n# nothing yet\n\n")
		assertNoFaults(t, err)
	})
}

func TestRulesParseFaults(t *testing.T) {
	const by = " # asked for by A"
	for _, tc := range []struct {
		name string
		text string
		want []string
	}{
		{"no comment", "service a", []string{"1:10 unasked"}},
		{"comment without a name", "service a  # asked for by  ", []string{"1:12 unasked"}},
		{"comment without the prefix", "service a # mine", []string{"1:11 unasked"}},
		{"unknown kind", "\nmodell a memory-mb=1" + by, []string{"2:1 syntax"}},
		{"no name", "service" + by, []string{"1:1 missing"}},
		{"field in place of the name", "service idempotent=GET" + by, []string{"1:1 missing"}},
		{"name not in kebab case", "service Book_ings" + by, []string{"1:9 bad-value"}},
		{"name too long", "service " + strings.Repeat("a", 65) + by, []string{"1:9 bad-value"}},
		{"model defined twice", "model a memory-mb=1 replicas=1" + by + "\nmodel a memory-mb=1 replicas=1" + by, []string{"2:7 duplicate"}},
		{"adapter named as a model", "model a memory-mb=1 replicas=1" + by + "\nadapter a base=a memory-mb=1" + by, []string{"2:9 duplicate"}},
		{"rank defined twice", "rank free" + by + "\nrank free" + by, []string{"2:6 duplicate"}},
		{"missing fields", "model a" + by, []string{"1:1 missing", "1:1 missing"}},
		{"word without a value", "service a GET" + by, []string{"1:11 syntax"}},
		{"unknown key", "service a retries=2" + by, []string{"1:11 unknown-key"}},
		{"key twice", "service a idempotent=GET idempotent=PUT" + by, []string{"1:26 duplicate"}},
		{"not a number", "model a memory-mb=14g replicas=1" + by, []string{"1:19 out-of-range"}},
		{"number out of range", "model a memory-mb=0 replicas=99999" + by, []string{"1:19 out-of-range", "1:30 out-of-range"}},
		{"number with a sign", "model a memory-mb=+7 replicas=1" + by, []string{"1:19 out-of-range"}},
		{"number that overflows", "model a memory-mb=99999999999999999999 replicas=1" + by, []string{"1:19 out-of-range"}},
		{"unknown base", "adapter a base=b memory-mb=1" + by, []string{"1:16 unknown-reference"}},
		{"adapter on an adapter", "model m memory-mb=1 replicas=1" + by + "\nadapter a base=m memory-mb=1" + by + "\nadapter b base=a memory-mb=1" + by, []string{"3:16 conflict"}},
		{"adapter on itself", "adapter a base=a memory-mb=1" + by, []string{"1:16 conflict"}},
		{"unknown rank", "rank gold" + by, []string{"1:6 bad-value"}},
		{"caller of unknown rank", "caller c rank=gold token-sha256=" + tokenDigest + by, []string{"1:15 bad-value"}},
		{"token in plain text", "caller c rank=free token-sha256=secret" + by, []string{"1:33 bad-value"}},
		{"token of another caller", "caller c rank=free token-sha256=" + tokenDigest + by + "\ncaller d rank=free token-sha256=" + tokenDigest + by, []string{"2:33 duplicate"}},
		{"caller of unknown model and service", "caller c rank=free token-sha256=" + tokenDigest + " models=m services=s" + by, []string{"1:105 unknown-reference", "1:116 unknown-reference"}},
		{"empty item", "service a idempotent=GET,,PUT" + by, []string{"1:26 bad-value"}},
		{"item twice", "service a idempotent=GET,GET" + by, []string{"1:26 duplicate"}},
		{"call without a method", "service a idempotent=get,GET:sites" + by, []string{"1:22 bad-value", "1:26 bad-value"}},
		{"free rank with a share", "rank free share-percent=5" + by, []string{"1:25 conflict"}},
		{"shares over 100", "rank urgent share-percent=60" + by + "\nrank ordinary share-percent=41" + by, []string{"2:6 conflict"}},
		{"shares over 100 with the default of another rank", "rank urgent share-percent=61" + by, []string{"1:6 conflict"}},
		{"control character", "service a\a" + by, []string{"1:10 bad-character"}},
		{"carriage return", "service a" + by + "\r\n", []string{"1:27 bad-character"}},
		{"text direction override in a comment", "service a # asked for by \u202eA", []string{"1:26 bad-character"}},
		{"invalid UTF-8", "service a # asked for by \xff", []string{"1:26 bad-character"}},
		{"column counts characters", "service ö" + by, []string{"1:9 bad-value"}},
		{"model with a fault still counts as a base", "model m memory-mb=x replicas=1" + by + "\nadapter a base=m memory-mb=1" + by, []string{"1:19 out-of-range"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := parser.NewRules().Parse(tc.text)
			assertFaults(t, err, tc.want...)
		})
	}
	t.Run("text that is too long", func(t *testing.T) {
		_, err := parser.NewRules().Parse(strings.Repeat("\n", parser.MaxTextBytes+1))
		assertFaults(t, err, "1:1 out-of-range")
	})
	t.Run("a token in plain text is not quoted", func(t *testing.T) {
		_, err := parser.NewRules().Parse("caller c rank=free token-sha256=open-sesame" + by)
		assertEqual(t, strings.Contains(err.Error(), "open-sesame"), false)
	})
	t.Run("the message lists only the first faults", func(t *testing.T) {
		_, err := parser.NewRules().Parse(strings.Repeat("x\n", 1000))
		assertEqual(t, strings.HasSuffix(err.Error(), "\nand 1980 more"), true)
		assertEqual(t, buckthorndyke.VerdictOf(err), buckthorndyke.NotRun)
	})
}

func TestDiff(t *testing.T) {
	t.Run("moved lines, empty lines and white space are ignored", func(t *testing.T) {
		assertEqual(t, parser.Diff("a  b\nc\n", "\nc\na b"), nil)
	})
	t.Run("changed and repeated lines", func(t *testing.T) {
		assertEqual(t, parser.Diff("a\nb\nb\n", "b\nc\na\na\n"), []string{"-b", "+c", "+a"})
	})
}

func FuzzRulesParse(f *testing.F) {
	f.Add(validRules)
	f.Add("rank urgent share-percent=101\n")
	f.Add("caller \xff rank==, token-sha256=\n# x")
	f.Add("adapter a base=a # asked for by A\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		rules, err := parser.NewRules().Parse(text)
		if err == nil {
			assertConsistent(t, rules)
			return
		}
		assertEqual(t, rules.Models.Len()+rules.Callers.Len()+rules.Ranks.Len()+rules.Services.Len(), 0)
		assertInText(t, err, text)
	})
}

func BenchmarkRulesParse(b *testing.B) {
	for _, n := range []int{100, 1000, 31000} {
		b.Run(fmt.Sprintf("adapters=%d", n), func(b *testing.B) {
			var text strings.Builder
			text.WriteString("model m memory-mb=1 replicas=1 # asked for by A\n")
			for i := range n {
				fmt.Fprintf(&text, "adapter a%d base=m memory-mb=60 # asked for by A\n", i)
			}
			for b.Loop() {
				if _, err := parser.NewRules().Parse(text.String()); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func assertEqual[V any](t *testing.T, got, want V) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("mismatch (-want +got):\n%s", diff)
	}
}

// assertFaults checks that err holds exactly the faults want, each given as
// "line:column kind", and that each has a cause and a remedy.
func assertFaults(t *testing.T, err error, want ...string) {
	t.Helper()
	var got []string
	for _, f := range faults(t, err) {
		got = append(got, fmt.Sprintf("%d:%d %s", f.Line, f.Column, f.Kind))
		if f.Cause == "" || f.Remedy == "" {
			t.Errorf("fault %v has no cause or no remedy", f)
		}
	}
	assertEqual(t, got, want)
}

// assertInText checks that the position of each fault is within the text.
func assertInText(t *testing.T, err error, text string) {
	t.Helper()
	lines := strings.Split(text, "\n")
	for _, f := range faults(t, err) {
		if f.Line < 1 || f.Line > len(lines) {
			t.Fatalf("fault on line %d of %d lines", f.Line, len(lines))
		}
		if width := len([]rune(lines[f.Line-1])); f.Column < 1 || f.Column > width+1 {
			t.Errorf("fault at column %d of %d columns", f.Column, width)
		}
	}
}

func assertNoFaults(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatalf("unexpected faults:\n%v", err)
	}
}

// assertConsistent checks the invariants of valid rules that the rest of the system
// relies on.
func assertConsistent(t *testing.T, rules buckthorndyke.Rules) {
	t.Helper()
	for id, m := range rules.Models.All() {
		placement, ok := rules.Models.Get(m.PlacementModel())
		if m.RequestedBy == "" || m.MemoryMB < 1 || !ok || placement.IsAdapter() || placement.Replicas < 1 {
			t.Errorf("model %q is not consistent: %+v", id, m)
		}
	}
	for id, c := range rules.Callers.All() {
		if found, ok := rules.CallerByKey(c.Key); !ok || found.ID != id {
			t.Errorf("caller %q is not found by its token", id)
		}
	}
}

func faults(t *testing.T, err error) []buckthorndyke.FaultError {
	t.Helper()
	var e *buckthorndyke.FaultsError
	if !errors.As(err, &e) {
		t.Fatalf("got error %v, want a *buckthorndyke.FaultsError", err)
	}
	return e.Faults()
}
