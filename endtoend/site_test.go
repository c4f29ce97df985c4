package endtoend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/launcher"
	"github.com/buckthorndyke/buckthorndyke/standin"
	"github.com/buckthorndyke/buckthorndyke/supervisor/operator"
	"github.com/buckthorndyke/buckthorndyke/tester"
)

// Sizes and times of the site under test.
const (
	answerTokens = 8
	entryCount   = 3
	lease        = 1500 * time.Millisecond
	runnerCount  = 3
	// patience bounds what a caller waits; the ranks' first-token limit is below.
	waitLimit    = 45 * time.Second
	stopTimeout = 60 * time.Second
)

// site is a running site.
type fixture struct {
	launcher.Site
	entries []*launcher.Process
	l       *launcher.Launcher
	standIn *launcher.Process
	t       *testing.T
	token   string
}

// reply is what a caller got.
type response struct {
	body   string
	err    error
	status int
}

// startSite starts the stand-ins and the entry VMs and puts rules in force.
func startFixture(t *testing.T, runnersIgnoreFence bool) *fixture {
	t.Helper()
	described, err := launcher.NewSite(t.Context(), entryCount, runnerCount, string(tester.Service))
	asserter.NoError(t, err)
	described.RunnersIgnoreFence = runnersIgnoreFence
	described.Overrides = map[string]any{"lease-ms": lease.Milliseconds(), "probe-interval-ms": 300, "log-level": "warn"}
	folder := t.TempDir()
	s := &fixture{Site: described, l: launcher.New(binary, folder), t: t, token: filepath.Join(folder, "token")}
	asserter.NoError(t, os.WriteFile(s.token, []byte(launcher.OperatorToken), 0o600))
	processes, err := s.l.StartSite(t.Context(), described)
	for _, p := range processes {
		t.Cleanup(p.Kill)
	}
	asserter.NoError(t, err)
	s.standIn, s.entries = processes[0], processes[1:]
	rules := filepath.Join(folder, "site.rules")
	asserter.NoError(t, os.WriteFile(rules, []byte(tester.Rules), 0o600))
	_, err = s.l.Apply(t.Context(), described, rules, "tester")
	asserter.NoError(t, err)
	return s
}

// ask sends a request for a model through an entry VM.
func (s *fixture) requestCompletion(entry int, model, prompt string) response {
	body, _ := json.Marshal(map[string]any{"model": model, "prompt": prompt, "max_tokens": answerTokens})
	return s.post(entry, "/v1/completions", "", body)
}

// assertWhole checks that a reply is the whole answer to its own request.
func assertComplete(t *testing.T, r response, model buckthorndyke.ModelID, prompt string) {
	t.Helper()
	asserter.NoError(t, r.err)
	asserter.Equal(t, r.status, http.StatusOK)
	var answer struct {
		Choices []struct{ Text string }
	}
	asserter.NoError(t, json.Unmarshal([]byte(r.body), &answer))
	want := strings.Join(standin.AnswerTokens(model, prompt, answerTokens), "")
	asserter.Equal(t, answer.Choices[0].Text, want)
}

// assertAnswered checks that a caller got a whole answer or a refusal.
func assertCompleteOrRefused(t *testing.T, r response, model buckthorndyke.ModelID, prompt string) {
	t.Helper()
	asserter.NoError(t, r.err)
	if r.status == http.StatusOK {
		assertComplete(t, r, model, prompt)
		return
	}
	asserter.Contains(t, r.body, `"verdict":`)
}

// assertSound checks the runners' and the service's journals: no runner was
// overcommitted, no model was loaded where it is not permitted, no key ran twice.
func (s *fixture) assertInvariants() {
	s.t.Helper()
	status := s.status()
	for i, address := range s.Runners {
		var j standin.EngineJournal
		s.get("http://"+address+"/journal", &j)
		asserter.True(s.t, !j.Overcommitted, "a runner's memory was overcommitted")
		for model := range j.Loads {
			s.assertPermitted(status, model, i)
		}
	}
	for key, calls := range s.serviceJournal().Keys {
		asserter.True(s.t, calls <= 1, "the key "+key+" ran twice")
	}
}

// assertPermitted checks that the i-th runner may hold the model or its base.
func (s *fixture) assertPermitted(status operator.StatusAnswer, model buckthorndyke.ModelID, i int) {
	s.t.Helper()
	if model == "hall-north" {
		model = "hall"
	}
	runner := s.StandInSettings()["runners"].([]any)[i].(map[string]any)["vm"].(string)
	for _, p := range status.Placements {
		if p.Model != model {
			continue
		}
		for _, r := range append(p.Runners, p.Withdrawn...) {
			if string(r) == runner {
				return
			}
		}
	}
	s.t.Errorf("%s was loaded on %s without a permission", model, runner)
}

// book makes a booking through an entry VM.
func (s *fixture) callService(entry int, key string) response {
	return s.post(entry, "/services/"+s.ServiceName+"/halls", key, []byte(`{"day":1}`))
}

// command runs a client sub-command against the first entry VM.
func (s *fixture) command(args ...string) string {
	s.t.Helper()
	args = append(args, "--operator", s.Entries[0].Operator, "--token-file", s.token)
	out, err := s.l.Run(s.t.Context(), args...)
	asserter.NoError(s.t, err)
	return out
}

// get reads a JSON document.
func (s *fixture) get(url string, into any) {
	s.t.Helper()
	r, err := http.NewRequestWithContext(s.t.Context(), http.MethodGet, url, http.NoBody)
	asserter.NoError(s.t, err)
	resp, err := http.DefaultClient.Do(r)
	asserter.NoError(s.t, err)
	defer func() { _ = resp.Body.Close() }()
	asserter.NoError(s.t, json.NewDecoder(resp.Body).Decode(into))
}

// newKey returns a new idempotency key.
func (s *fixture) newKey() string {
	s.t.Helper()
	key, err := uuid.NewV7()
	asserter.NoError(s.t, err)
	return key.String()
}

// post sends a request through an entry VM and waits for the whole reply.
func (s *fixture) post(entry int, path, key string, body []byte) response {
	ctx, cancel := context.WithTimeout(s.t.Context(), waitLimit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Entries[entry].Callers+path, bytes.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	r.Header.Set("Authorization", "Bearer "+tester.UrgentToken)
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return response{body: string(data), err: err, status: resp.StatusCode}
}

// serviceJournal returns what the servers of the plain service have done. They
// share one journal.
func (s *fixture) serviceJournal() standin.ServiceJournal {
	s.t.Helper()
	var journal standin.ServiceJournal
	s.get("http://"+s.Services[0]+"/journal", &journal)
	return journal
}

// setLogFaults makes the log service behave as f says.
func (s *fixture) setLogFaults(f standin.LogFaults) {
	s.t.Helper()
	body, err := json.Marshal(f)
	asserter.NoError(s.t, err)
	r, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, "http://"+s.Log+"/faults", bytes.NewReader(body))
	asserter.NoError(s.t, err)
	resp, err := http.DefaultClient.Do(r)
	asserter.NoError(s.t, err)
	_ = resp.Body.Close()
	asserter.Equal(s.t, resp.StatusCode/100, 2)
}

// startEntry starts an entry VM and waits until it is ready.
func (s *fixture) startEntry(i int) *launcher.Process {
	s.t.Helper()
	p, err := s.l.StartEntry(s.t.Context(), s.Site, i)
	asserter.NoError(s.t, err)
	s.t.Cleanup(p.Kill)
	return p
}

// status returns what the first entry VM knows of the fleet.
func (s *fixture) status() operator.StatusAnswer {
	s.t.Helper()
	var answer operator.StatusAnswer
	asserter.NoError(s.t, json.Unmarshal([]byte(s.command("status", "--json")), &answer))
	return answer
}

// stopAll stops all processes as planned.
func (s *fixture) stopAll() {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), stopTimeout)
	defer cancel()
	for _, p := range append(s.entries, s.standIn) {
		code, err := p.Stop(ctx)
		asserter.NoError(s.t, err)
		asserter.Equal(s.t, code, 0)
	}
}
