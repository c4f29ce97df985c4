package commander_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/commander"
	"github.com/buckthorndyke/buckthorndyke/standin"
	"github.com/buckthorndyke/buckthorndyke/supervisor/operator"
)

const (
	bookings = "service bookings # asked for by M. Okafor\n"
	ledger   = "service ledger # asked for by K. Tamm\n"
)

func TestRulesApply(t *testing.T) {
	t.Run("in force on all live VMs", func(t *testing.T) {
		s := newSite(t)
		first, second := s.entry(t, "entry-1", direct), s.entry(t, "entry-2", direct)
		got := apply(file(t, bookings), "M. Okafor", first)
		assertResult(t, got, commander.ExitDone, "")
		asserter.Contains(t, got.stdout, "version 1: accepted\nin force on 2 of 2 live VMs")
		asserter.Equal(t, run("rules", "show", "--operator", second).stdout, bookings)
	})
	t.Run("a live VM on which they are not in force is printed", func(t *testing.T) {
		s := newSite(t)
		address := s.entry(t, "entry-1", direct)
		s.followers["entry-2"] = nil
		got := apply(file(t, bookings), "M. Okafor", address, "--wait-ms", "1")
		assertResult(t, got, commander.ExitFailed, "version 1 is accepted, but not in force on all live VMs")
		asserter.Contains(t, got.stdout, "in force on 1 of 2 live VMs")
		asserter.Contains(t, got.stdout, "lacking: entry-2: cut off")
	})
	t.Run("if no VM reports its version, they are not reported to be in force", func(t *testing.T) {
		s := newSite(t)
		address := s.entry(t, "entry-1", direct, operator.WithFleet(fleet{}))
		got := apply(file(t, bookings), "M. Okafor", address, "--wait-ms", "1")
		assertResult(t, got, commander.ExitFailed, "not in force on all live VMs")
	})
	t.Run("as JSON", func(t *testing.T) {
		s := newSite(t)
		got := apply(file(t, bookings), "M. Okafor", s.entry(t, "entry-1", direct), "--json")
		assertResult(t, got, commander.ExitDone, "")
		var response map[string]any
		asserter.NoError(t, json.Unmarshal([]byte(got.stdout), &response))
		asserter.Equal(t, response, map[string]any{
			"accepted": true, "version": 1.0, "in-force-on": []any{"entry-1"}, "lacking": []any{},
		})
	})
	t.Run("faults are reported and nothing is applied", func(t *testing.T) {
		s := newSite(t)
		address := s.entry(t, "entry-1", direct)
		path := file(t, "service bookings\nrank gold # asked for by A\n")
		got := apply(path, "M. Okafor", address)
		assertResult(t, got, commander.ExitFailed, path+":1:17: the rule does not say who asked for it")
		asserter.Contains(t, got.stderr, path+":2:6: \"gold\" is no rank")
		asserter.Equal(t, run("audit", "--operator", address).stdout, "")
	})
}

func TestRulesApplyRace(t *testing.T) {
	s := newSite(t)
	meet := barrier(2)
	addresses := []string{s.entry(t, "entry-1", meet), s.entry(t, "entry-2", meet)}
	paths := []string{file(t, bookings), file(t, ledger)}
	names := []string{"M. Okafor", "K. Tamm"}
	results := make([]result, 2)
	done := make(chan int)
	for i := range results {
		go func() {
			results[i] = apply(paths[i], names[i], addresses[i])
			done <- i
		}()
	}
	<-done
	<-done
	winner, loser := 0, 1
	if results[0].code != commander.ExitDone {
		winner, loser = 1, 0
	}
	t.Run("one is accepted, and the other is told who made the accepted change", func(t *testing.T) {
		assertResult(t, results[winner], commander.ExitDone, "")
		assertResult(t, results[loser], commander.ExitFailed, "made by "+names[winner])
	})
	t.Run("the accepted rules stay in force", func(t *testing.T) {
		for _, address := range addresses {
			asserter.Equal(t, run("rules", "show", "--operator", address).stdout, []string{bookings, ledger}[winner])
		}
	})
	t.Run("both attempts are in the audit trail", func(t *testing.T) {
		got := run("audit", "--operator", addresses[0]).stdout
		asserter.Contains(t, got, "version 1, from 0, by "+names[winner]+": accepted\n    +service")
		asserter.Contains(t, got, "version 2, from 0, by "+names[loser]+": rejected: ")
	})
}

func TestRulesApplyLostResponse(t *testing.T) {
	t.Run("of the entry VM: a second apply shows the outcome", func(t *testing.T) {
		s := newSite(t)
		address := s.entry(t, "entry-1", losingFirstPost)
		path := file(t, bookings)
		assertResult(t, apply(path, "M. Okafor", address), commander.ExitUnknown, "apply the same file again")
		got := apply(path, "M. Okafor", address)
		assertResult(t, got, commander.ExitDone, "")
		asserter.Contains(t, got.stdout, "version 1: already accepted")
		asserter.Equal(t, strings.Count(run("audit", "--operator", address).stdout, "accepted"), 1)
	})
	t.Run("of the log: the entry VM finds out the outcome itself", func(t *testing.T) {
		s := newSite(t)
		address := s.entry(t, "entry-1", direct)
		asserter.NoError(t, s.log.SetFaults(t.Context(), standin.LogFaults{LoseReplies: 1}))
		assertResult(t, apply(file(t, bookings), "M. Okafor", address), commander.ExitDone, "")
		asserter.Equal(t, strings.Count(run("audit", "--operator", address).stdout, "accepted"), 1)
	})
	t.Run("of a log that then fails: a second apply shows the outcome once the log is back", func(t *testing.T) {
		s := newSite(t)
		failing := func(next http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodPost {
					asserter.NoError(t, s.log.SetFaults(r.Context(), standin.LogFaults{Delay: 3000}))
				}
				next.ServeHTTP(w, r)
			})
		}
		slow, normal := s.entry(t, "entry-1", failing), s.entry(t, "entry-2", direct)
		path := file(t, bookings)
		assertResult(t, apply(path, "M. Okafor", slow), commander.ExitUnknown, "apply the same file again")
		asserter.NoError(t, s.log.SetFaults(t.Context(), standin.LogFaults{}))
		assertResult(t, apply(path, "M. Okafor", normal), commander.ExitDone, "")
		asserter.Equal(t, run("rules", "show", "--operator", normal).stdout, bookings)
	})
	t.Run("log down: nothing is applied", func(t *testing.T) {
		s := newSite(t)
		address := s.entry(t, "entry-1", direct)
		assertResult(t, apply(file(t, bookings), "M. Okafor", address), commander.ExitDone, "")
		asserter.NoError(t, s.log.SetFaults(t.Context(), standin.LogFaults{Down: true}))
		assertResult(t, apply(file(t, ledger), "K. Tamm", address), commander.ExitFailed, "log-unavailable")
	})
}

func TestClientFailures(t *testing.T) {
	s := newSite(t)
	address := s.entry(t, "entry-1", direct)
	t.Run("wrong token", func(t *testing.T) {
		got := run("rules", "show", "--operator", address, "--token-file", file(t, "wrong-token"))
		assertResult(t, got, commander.ExitFailed, "unauthenticated: the operator's token is missing or wrong; correct --token-file")
	})
	t.Run("wrong token applies nothing", func(t *testing.T) {
		got := apply(file(t, bookings), "M. Okafor", address, "--token-file", file(t, "wrong-token"))
		assertResult(t, got, commander.ExitFailed, "unauthenticated")
	})
	t.Run("no listener at the address", func(t *testing.T) {
		got := run("drain", "--operator", "127.0.0.1:1")
		assertResult(t, got, commander.ExitFailed, "connection refused")
	})
	t.Run("the response to drain is lost", func(t *testing.T) {
		drained := make(chan struct{}, 1)
		lost := s.entry(t, "entry-2", losingFirstPost, operator.WithDrain(func() { drained <- struct{}{} }))
		assertResult(t, run("drain", "--operator", lost), commander.ExitUnknown, "run status to see")
		<-drained
	})
	t.Run("another service at the address", func(t *testing.T) {
		other := s.entry(t, "entry-3", func(http.Handler) http.Handler { return http.NotFoundHandler() })
		assertResult(t, run("status", "--operator", other), commander.ExitFailed, "is --operator the operator interface?")
	})
}

// barrier holds back POST requests until n of them have arrived.
func barrier(n int) func(http.Handler) http.Handler {
	arrived := make(chan struct{}, n)
	all := make(chan struct{})
	go func() {
		for range n {
			<-arrived
		}
		close(all)
	}()
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				arrived <- struct{}{}
				<-all
			}
			next.ServeHTTP(w, r)
		})
	}
}
