package commander_test

import (
	"context"
	"encoding/json"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/commander"
	"github.com/buckthorndyke/buckthorndyke/configurer"
)

const settings = `{
  "vm": "entry-1", "failure-domain": "a",
  "callers": {"address": "127.0.0.1:0"},
  "peers": {"address": "127.0.0.1:7", "key-file": "KEY"},
  "operator": {"address": "127.0.0.1:0", "token": "0123456789abcdef"},
  "log": {"address": "127.0.0.1:1"}, "vm-list": {"address": "127.0.0.1:2"}, "weight-store": {"address": "127.0.0.1:3"},
}`

func TestUsage(t *testing.T) {
	t.Setenv("BUCKTHORNDYKE_OPERATOR_TOKEN", "")
	for _, tc := range []struct{ line, want string }{
		{"", "the sub-command is missing; expected one of audit, drain"},
		{"rules", "the sub-command is missing; expected one of apply, check, show"},
		{"show", `unknown sub-command "show"`},
		{"rules list", `unknown sub-command "list"; expected one of apply, check, show`},
		{"--verbose status", `unknown sub-command "--verbose"`},
		{"rules check", "FILE not found"},
		{"rules check a b", "Unexpected argument: b"},
		{"version --color", "Unknown arguments supplied:  color"},
		{"serve", "--settings FILE is missing"},
		{"serve --settings", "Expected a following arg for flag settings"},
		{"stand-in", "--settings FILE is missing"},
		{"audit --limit many", `parsing "many"`},
		{"audit --limit 0", "--limit is below 1"},
		{"rules apply file", "--as NAME is missing"},
		{"rules apply file --as A --wait-ms -1", "--wait-ms is negative"},
		{"rules apply file --as A", "--operator ADDRESS is missing"},
		{"status --operator entry-1:9090", "is not an IP address with a port"},
		{"status --operator 127.0.0.1:9090", "the operator's token is missing"},
	} {
		t.Run(tc.line, func(t *testing.T) {
			got := run(strings.Fields(tc.line)...)
			assertResult(t, got, commander.ExitUsage, tc.want)
			asserter.Equal(t, got.stdout, "")
		})
	}
}

func TestHelp(t *testing.T) {
	for _, line := range []string{
		"audit", "drain", "rules apply", "rules check", "rules show", "serve", "settings check", "stand-in", "status", "version",
	} {
		t.Run(line, func(t *testing.T) {
			got := run(append(strings.Fields(line), "--help")...)
			assertResult(t, got, commander.ExitDone, "")
			asserter.Contains(t, got.stdout, "Example:\n    buckthorndyke "+line+" ")
		})
	}
	t.Run("of the program", func(t *testing.T) {
		got := run("-h")
		assertResult(t, got, commander.ExitDone, "")
		asserter.Contains(t, got.stdout, "3 if the outcome is not known")
	})
}

func TestChecks(t *testing.T) {
	t.Run("a settings file with four faults", func(t *testing.T) {
		path := file(t, strings.NewReplacer(`"vm":`, `"vms":`, `127.0.0.1:1"`, `log:1"`, `127.0.0.1:3"`, `127.0.0.1:3", "model-loads-at-once": -1`).Replace(settings))
		got := run("settings", "check", path)
		assertResult(t, got, commander.ExitFailed, path+":2:3: the file does not allow the key \"vms\"")
		asserter.Contains(t, got.stderr, path+":1:1: the file has no \"vm\"; add it")
		asserter.Contains(t, got.stderr, path+":6:22: \"log:1\" is not an IP address with a port; write an IP address")
		asserter.Contains(t, got.stderr, path+":6:137: \"model-loads-at-once\" is -1; write a whole number from 1 to")
		asserter.Contains(t, got.stderr, "has 4 faults")
	})
	t.Run("a valid settings file", func(t *testing.T) {
		got := run("settings", "check", file(t, settings))
		assertResult(t, got, commander.ExitDone, "")
		asserter.Contains(t, got.stdout, "is valid\n")
	})
	t.Run("a settings file of the stand-ins", func(t *testing.T) {
		assertResult(t, run("settings", "check", "--stand-in", file(t, `{}`)), commander.ExitFailed, `:1:1: the file has no "log"`)
	})
	t.Run("rules as JSON", func(t *testing.T) {
		got := run("rules", "check", "--json", file(t, "rank gold # asked for by A"))
		asserter.Equal(t, got.code, commander.ExitFailed)
		var response struct {
			Faults []map[string]any `json:"faults"`
			Valid  bool             `json:"valid"`
		}
		asserter.NoError(t, json.Unmarshal([]byte(got.stdout), &response))
		asserter.Equal(t, response.Valid, false)
		asserter.Equal(t, response.Faults, []map[string]any{{
			"cause": `"gold" is no rank`, "column": 6.0, "kind": "bad-value", "line": 1.0, "mend": "write urgent, ordinary or free",
		}})
	})
	t.Run("a file that does not exist", func(t *testing.T) {
		assertResult(t, run("rules", "check", "/nonexistent/rules"), commander.ExitFailed, "correct the path")
	})
}

func TestVersion(t *testing.T) {
	for _, args := range [][]string{{"version"}, {"--version"}} {
		asserter.Contains(t, run(args...).stdout, "buckthorndyke ")
	}
	asserter.Contains(t, run("version", "--json").stdout, `"go": "go1.`)
}

func TestServe(t *testing.T) {
	path := file(t, strings.Replace(settings, "KEY", file(t, "key-of-the-whole-fleet\n"), 1))
	t.Run("secrets are read from their files", func(t *testing.T) {
		var got configurer.Serve
		c := commander.New(commander.WithServe(func(_ context.Context, s configurer.Serve) error {
			got = s
			return nil
		}))
		assertResult(t, runWith(c, "serve", "--settings", path), commander.ExitDone, "")
		asserter.Equal(t, got.Peers.Key.Text, "key-of-the-whole-fleet")
	})
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT} {
		t.Run("exits with 0 after "+sig.String(), func(t *testing.T) {
			drained := false
			c := commander.New(commander.WithServe(func(ctx context.Context, _ configurer.Serve) error {
				asserter.NoError(t, syscall.Kill(os.Getpid(), sig))
				<-ctx.Done()
				drained = true
				return errors.Wrap(ctx.Err(), "supervisor")
			}))
			assertResult(t, runWith(c, "serve", "--settings", path), commander.ExitDone, "")
			asserter.Equal(t, drained, true)
		})
	}
	t.Run("a failed drain is an error", func(t *testing.T) {
		c := commander.New(commander.WithServe(func(context.Context, configurer.Serve) error {
			return errors.New("a runner was not handed over")
		}))
		assertResult(t, runWith(c, "serve", "--settings", path), commander.ExitFailed, "a runner was not handed over")
	})
	t.Run("a missing secret is an error", func(t *testing.T) {
		assertResult(t, run("serve", "--settings", file(t, settings)), commander.ExitFailed, "make the file readable")
	})
	t.Run("stand-ins receive their settings and exit with 0 after SIGTERM", func(t *testing.T) {
		c := commander.New(commander.WithStandIn(func(ctx context.Context, s configurer.StandIn) error {
			asserter.Equal(t, len(s.Runners), 12)
			asserter.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
			<-ctx.Done()
			return ctx.Err()
		}))
		assertResult(t, runWith(c, "stand-in", "--settings", "../examples/stand-in.jsonc"), commander.ExitDone, "")
	})
	t.Run("a program that was built without stand-ins reports that", func(t *testing.T) {
		assertResult(t, run("stand-in", "--settings", "../examples/stand-in.jsonc"), commander.ExitFailed, "without the sub-command")
	})
}

func TestStatus(t *testing.T) {
	s := newSite(t)
	address := s.entry(t, "entry-1", direct)
	t.Run("as tables", func(t *testing.T) {
		got := run("status", "--operator", address)
		assertResult(t, got, commander.ExitDone, "")
		asserter.Contains(t, got.stdout, ", offset 0, rules version 0, unknown records 0")
	})
	t.Run("as JSON", func(t *testing.T) {
		asserter.Contains(t, run("status", "--json", "--operator", address).stdout, `"rules-version": 0`)
	})
	t.Run("an empty audit trail as JSON", func(t *testing.T) {
		asserter.Equal(t, run("audit", "--json", "--operator", address).stdout, "{\n  \"entries\": []\n}\n")
	})
}
