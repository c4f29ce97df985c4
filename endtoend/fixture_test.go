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

// Sizes and times of the fixture.
const (
	entryCount     = 3
	lease          = 1500 * time.Millisecond
	responseTokens = 8
	runnerCount    = 3
	// waitLimit bounds the wait for a response or a condition. It exceeds the
	// ranks' first-token limit.
	waitLimit   = 45 * time.Second
	stopTimeout = 60 * time.Second
)

// fixture is a running site: the entry VMs, and one process with fakes of the log,
// the runners and a plain service.
type fixture struct {
	launcher.Site
	entries []*launcher.Process
	fakes   *launcher.Process
	l       *launcher.Launcher
	t       *testing.T
	token   string
}

// response is what a caller received.
type response struct {
	body   string
	err    error
	status int
}

// startFixture starts the fakes and the entry VMs, and applies rules.
func startFixture(t *testing.T, runnersIgnoreTokens bool) *fixture {
	t.Helper()
	described, err := launcher.NewSite(t.Context(), entryCount, runnerCount, string(tester.Service))
	asserter.NoError(t, err)
	described.RunnersIgnoreFencingToken = runnersIgnoreTokens
	described.Overrides = map[string]any{"lease-ms": lease.Milliseconds(), "probe-interval-ms": 300, "log-level": "warn"}
	folder := t.TempDir()
	s := &fixture{Site: described, l: launcher.New(binary, folder), t: t, token: filepath.Join(folder, "token")}
	asserter.NoError(t, os.WriteFile(s.token, []byte(launcher.OperatorToken), 0o600))
	processes, err := s.l.StartSite(t.Context(), described)
	for _, p := range processes {
		t.Cleanup(p.Kill)
	}
	asserter.NoError(t, err)
	s.fakes, s.entries = processes[0], processes[1:]
	rules := filepath.Join(folder, "site.rules")
	asserter.NoError(t, os.WriteFile(rules, []byte(tester.Rules), 0o600))
	_, err = s.l.ApplyRules(t.Context(), described, rules, "tester")
	asserter.NoError(t, err)
	return s
}

// assertInvariants checks the journals of the runners and of the service: no
// runner's memory was overcommitted, no model was loaded without a permission, and
// no idempotency key ran twice.
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
		asserter.True(s.t, calls <= 1, "idempotency key "+key+" ran twice")
	}
}

// assertComplete checks that r is the complete response to its own request.
func assertComplete(t *testing.T, r response, model buckthorndyke.ModelID, prompt string) {
	t.Helper()
	asserter.NoError(t, r.err)
	asserter.Equal(t, r.status, http.StatusOK)
	var completion struct {
		Choices []struct{ Text string }
	}
	asserter.NoError(t, json.Unmarshal([]byte(r.body), &completion))
	want := strings.Join(standin.ResponseTokens(model, prompt, responseTokens), "")
	asserter.Equal(t, completion.Choices[0].Text, want)
}

// assertCompleteOrRefused checks that r is a complete response or a refusal.
func assertCompleteOrRefused(t *testing.T, r response, model buckthorndyke.ModelID, prompt string) {
	t.Helper()
	asserter.NoError(t, r.err)
	if r.status == http.StatusOK {
		assertComplete(t, r, model, prompt)
		return
	}
	asserter.Contains(t, r.body, `"verdict":`)
}

// assertPermitted checks that the i-th runner may load the model or its base.
func (s *fixture) assertPermitted(status operator.StatusResponse, model buckthorndyke.ModelID, i int) {
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
	s.t.Errorf("model %s was loaded on %s without a permission", model, runner)
}

// callService calls the plain service through an entry VM, with an idempotency key.
func (s *fixture) callService(entry int, key string) response {
	return s.post(entry, "/services/"+s.ServiceName+"/halls", key, []byte(`{"day":1}`))
}

// command runs a client subcommand against the first entry VM and returns its output.
func (s *fixture) command(args ...string) string {
	s.t.Helper()
	args = append(args, "--operator", s.EntryVMs[0].Operator, "--token-file", s.token)
	out, err := s.l.Run(s.t.Context(), args...)
	asserter.NoError(s.t, err)
	return out
}

// get decodes the JSON document at url into the value that into points to.
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

// post sends a request through an entry VM and waits for the complete response. An
// empty key sends no idempotency key.
func (s *fixture) post(entry int, path, key string, body []byte) response {
	ctx, cancel := context.WithTimeout(s.t.Context(), waitLimit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.EntryVMs[entry].Callers+path, bytes.NewReader(body))
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

// requestCompletion sends a completion request for a model through an entry VM.
func (s *fixture) requestCompletion(entry int, model, prompt string) response {
	body, _ := json.Marshal(map[string]any{"model": model, "prompt": prompt, "max_tokens": responseTokens})
	return s.post(entry, "/v1/completions", "", body)
}

// serviceJournal returns the journal of the plain service, which its servers share.
func (s *fixture) serviceJournal() standin.ServiceJournal {
	s.t.Helper()
	var journal standin.ServiceJournal
	s.get("http://"+s.Services[0]+"/journal", &journal)
	return journal
}

// setLogFaults sets the faults of the log.
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
	p, err := s.l.StartEntryVM(s.t.Context(), s.Site, i)
	asserter.NoError(s.t, err)
	s.t.Cleanup(p.Kill)
	return p
}

// status returns the status of the fleet as the first entry VM reports it.
func (s *fixture) status() operator.StatusResponse {
	s.t.Helper()
	var status operator.StatusResponse
	asserter.NoError(s.t, json.Unmarshal([]byte(s.command("status", "--json")), &status))
	return status
}

// stopAll stops all processes gracefully and checks that they exit with 0.
func (s *fixture) stopAll() {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), stopTimeout)
	defer cancel()
	for _, p := range append(s.entries, s.fakes) {
		code, err := p.Stop(ctx)
		asserter.NoError(s.t, err)
		asserter.Equal(s.t, code, 0)
	}
}
