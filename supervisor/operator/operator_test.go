package operator_test

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/parser"
	"github.com/buckthorndyke/buckthorndyke/reporter"
	"github.com/buckthorndyke/buckthorndyke/supervisor/operator"
)

const (
	testToken = "operator-token-of-a-test"
	oldText   = "service bookings # asked for by A"
	newText   = "service ledger # asked for by A"
	applyBody = `{"base":7,"by":"M. Okafor","text":"` + newText + `"}`
)

func TestApply(t *testing.T) {
	accept := func(buckthorndyke.Change) (buckthorndyke.ProposalResult, error) {
		return buckthorndyke.ProposalResult{Accepted: true, Offset: 9}, nil
	}
	reject := func(buckthorndyke.Change) (buckthorndyke.ProposalResult, error) {
		return buckthorndyke.ProposalResult{Offset: 9, Reason: "stale base"}, nil
	}
	t.Run("accepted", func(t *testing.T) {
		var proposed buckthorndyke.Change
		c := client{proposer: func(change buckthorndyke.Change) (buckthorndyke.ProposalResult, error) {
			proposed = change
			return accept(change)
		}}
		status, body := c.post(t, operator.PathRules, applyBody)
		asserter.Equal(t, status, http.StatusOK)
		asserter.Equal(t, body, `{"accepted":true,"version":9}`)
		asserter.Equal(t, proposed, buckthorndyke.Change(buckthorndyke.RulesChange{Base: 7, Operator: "M. Okafor", Text: newText}))
	})
	t.Run("rejected, with the change that made the current version", func(t *testing.T) {
		status, body := client{proposer: reject}.post(t, operator.PathRules, applyBody)
		asserter.Equal(t, status, http.StatusConflict)
		asserter.Contains(t, body, `"reason":"stale base","version":8,"winner":{"accepted":true,"at-ms":5,"base":7,"by":"T. Lindqvist"`)
	})
	t.Run("rejected, but an earlier attempt has put the text in force", func(t *testing.T) {
		before, after := testUpdate(), testUpdate()
		after.State = after.State.WithRules(buckthorndyke.Rules{}, newText, 8)
		status, body := client{follower: newFakeFollower(before, after), proposer: reject}.post(t, operator.PathRules, applyBody)
		asserter.Equal(t, status, http.StatusOK)
		asserter.Equal(t, body, `{"accepted":true,"already-in-force":true,"version":8}`)
	})
	t.Run("a text that is in force is not proposed again", func(t *testing.T) {
		update := testUpdate()
		update.State = update.State.WithRules(buckthorndyke.Rules{}, newText, 8)
		status, body := client{follower: newFakeFollower(update), proposer: refuseAll}.post(t, operator.PathRules, applyBody)
		asserter.Equal(t, status, http.StatusOK)
		asserter.Contains(t, body, `"already-in-force":true`)
	})
	t.Run("while the log is down, the text is not reported to be in force", func(t *testing.T) {
		update := testUpdate()
		update.LogDown = true
		update.State = update.State.WithRules(buckthorndyke.Rules{}, newText, 8)
		status, body := client{follower: newFakeFollower(update), proposer: refuseAll}.post(t, operator.PathRules, applyBody)
		asserter.Equal(t, status, http.StatusServiceUnavailable)
		assertError(t, body, buckthorndyke.CodeLogUnavailable, buckthorndyke.NotRun)
	})
	t.Run("an unknown outcome is reported and logged as unknown", func(t *testing.T) {
		var log bytes.Buffer
		_, body := client{log: &log, proposer: func(buckthorndyke.Change) (buckthorndyke.ProposalResult, error) {
			return buckthorndyke.ProposalResult{}, errors.New("no proposal result in time")
		}}.post(t, operator.PathRules, applyBody)
		assertError(t, body, buckthorndyke.CodeInternal, buckthorndyke.MayHaveRun)
		asserter.Contains(t, log.String(), `"by":"M. Okafor","base":7,"event":"rules-unknown"`)
	})
	t.Run("rules with faults are not proposed", func(t *testing.T) {
		status, body := client{proposer: refuseAll}.post(t, operator.PathRules, `{"base":7,"by":"A","text":"service x\nrank gold"}`)
		asserter.Equal(t, status, http.StatusBadRequest)
		asserter.Contains(t, body, `"line":1`)
		asserter.Contains(t, body, `"kind":"bad-value","line":2`)
		assertError(t, body, buckthorndyke.CodeBadRequest, buckthorndyke.NotRun)
	})
	for name, body := range map[string]string{
		"no operator's name":            `{"base":7,"by":" ","text":""}`,
		"a name with a line break":      `{"base":7,"by":"A\nB","text":""}`,
		"a long name":                   `{"base":7,"by":"` + strings.Repeat("A", 200) + `","text":""}`,
		"malformed JSON":                `{"base":`,
		"an unknown field":              `{"base":7,"by":"A","text":"","force":true}`,
		"data after the JSON object":    applyBody + applyBody,
		"a negative version":            `{"base":-7,"by":"A","text":""}`,
		"an array instead of an object": `[]`,
	} {
		t.Run("bad request: "+name, func(t *testing.T) {
			status, response := client{proposer: refuseAll}.post(t, operator.PathRules, body)
			asserter.Equal(t, status, http.StatusBadRequest)
			assertError(t, response, buckthorndyke.CodeBadRequest, buckthorndyke.NotRun)
		})
	}
	t.Run("oversized body", func(t *testing.T) {
		status, body := client{proposer: refuseAll}.post(t, operator.PathRules, `{"text":"`+strings.Repeat("x", 4096)+`"}`)
		asserter.Equal(t, status, http.StatusRequestEntityTooLarge)
		assertError(t, body, buckthorndyke.CodeTooLarge, buckthorndyke.NotRun)
	})
}

func TestAuthentication(t *testing.T) {
	for name, token := range map[string]string{"no token": "", "wrong token": "x", "longer token": testToken + "x"} {
		for _, path := range []string{
			operator.PathAudit, operator.PathMetrics, operator.PathRules, operator.PathStatus, operator.PathVersions,
		} {
			t.Run(name+" for "+path, func(t *testing.T) {
				status, body := client{token: &token}.get(t, path)
				asserter.Equal(t, status, http.StatusUnauthorized)
				assertError(t, body, buckthorndyke.CodeUnauthenticated, buckthorndyke.NotRun)
			})
		}
		t.Run(name+" drains nothing", func(t *testing.T) {
			status, _ := client{token: &token, drain: func() { t.Error("drained") }}.post(t, operator.PathDrain, "")
			asserter.Equal(t, status, http.StatusUnauthorized)
		})
	}
	t.Run("liveness needs no token", func(t *testing.T) {
		none := ""
		status, _ := client{token: &none}.get(t, operator.PathLive)
		asserter.Equal(t, status, http.StatusOK)
	})
	t.Run("Serve fails without a token", func(t *testing.T) {
		asserter.Error(t, operator.New(newFakeFollower(testUpdate()), proposerFunc(refuseAll)).Serve(t.Context()))
	})
}

func TestRequests(t *testing.T) {
	t.Run("rules", func(t *testing.T) {
		_, body := client{}.get(t, operator.PathRules)
		asserter.Equal(t, body, `{"text":"`+oldText+`","version":8}`)
	})
	t.Run("audit", func(t *testing.T) {
		_, body := client{}.get(t, operator.PathAudit+"?limit=1")
		asserter.Contains(t, body, `"difference":["+x"],"offset":8}]}`)
		status, _ := client{}.get(t, operator.PathAudit+"?limit=0")
		asserter.Equal(t, status, http.StatusBadRequest)
	})
	t.Run("status", func(t *testing.T) {
		_, body := client{}.get(t, operator.PathStatus)
		asserter.Contains(t, body, `"runners":["runner-1"],"withdrawn":["runner-2"]`)
		asserter.Contains(t, body, `"epoch":4,"owner":"entry-1","runner":"runner-1"`)
		asserter.Contains(t, body, `"vms":[{"rules-version":8,"vm":"entry-1"},{"error":"cut off","rules-version":0,"vm":"entry-2"}]`)
	})
	t.Run("the status shows callers without their tokens", func(t *testing.T) {
		digest := buckthorndyke.DigestKey("token")
		update := testUpdate()
		update.State = update.State.WithRules(buckthorndyke.Rules{}.WithCaller(buckthorndyke.CallerRule{
			ID: "clerk", Key: digest, Rank: buckthorndyke.RankOrdinary,
		}), oldText, 8)
		_, body := client{follower: newFakeFollower(update, update)}.get(t, operator.PathStatus)
		asserter.Contains(t, body, `"callers":[{"caller":"clerk","rank":"ordinary"}]`)
		asserter.NotContains(t, body, hex.EncodeToString(digest[:]))
	})
	t.Run("metrics", func(t *testing.T) {
		_, body := client{}.get(t, operator.PathMetrics)
		asserter.Contains(t, body, `"rules-version":{"value":8}`)
	})
	t.Run("drain", func(t *testing.T) {
		drained := false
		status, body := client{drain: func() { drained = true }}.post(t, operator.PathDrain, "")
		asserter.Equal(t, status, http.StatusAccepted)
		asserter.Equal(t, body, `{"draining":true}`)
		asserter.Equal(t, drained, true)
	})
	t.Run("unknown path", func(t *testing.T) {
		_, body := client{}.get(t, "/rule")
		assertError(t, body, buckthorndyke.CodeBadRequest, buckthorndyke.NotRun)
	})
	t.Run("no state yet", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			_, err := operator.New(newFakeFollower(), proposerFunc(refuseAll)).Operations().Rules(t.Context())
			asserter.Refused(t, err, buckthorndyke.CodeNotReady, buckthorndyke.NotRun)
		})
	})
}

func TestServe(t *testing.T) {
	t.Run("a request in progress is completed at shutdown", func(t *testing.T) {
		socket, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
		asserter.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		o := operator.New(newFakeFollower(testUpdate()), proposerFunc(refuseAll),
			operator.WithToken(testToken), operator.WithListener(socket), operator.WithDrain(cancel))
		stopped := make(chan error, 1)
		go func() { stopped <- o.Serve(ctx) }()
		status, _ := send(t, http.MethodPost, "http://"+socket.Addr().String()+operator.PathDrain, testToken, "")
		asserter.Equal(t, status, http.StatusAccepted)
		asserter.Equal(t, errors.Is(<-stopped, context.Canceled), true)
	})
}

// client sends one request to a task that is built from its fields.
type client struct {
	drain    func()
	follower buckthorndyke.Follower
	log      *bytes.Buffer
	proposer proposerFunc
	// token, if set, is sent instead of testToken.
	token *string
}

func (c client) get(t *testing.T, path string) (int, string) {
	t.Helper()
	return c.send(t, http.MethodGet, path, "")
}

func (c client) post(t *testing.T, path, body string) (int, string) {
	t.Helper()
	return c.send(t, http.MethodPost, path, body)
}

func (c client) send(t *testing.T, method, path, body string) (int, string) {
	t.Helper()
	if c.follower == nil {
		c.follower = newFakeFollower(testUpdate(), testUpdate())
	}
	if c.log == nil {
		c.log = new(bytes.Buffer)
	}
	limits := operator.DefaultLimits()
	limits.Body = 2048
	handler, err := operator.New(c.follower, c.proposer, operator.WithToken(testToken), operator.WithDrain(c.drain),
		operator.WithFleet(fakeFleet{}), operator.WithMetrics(reporter.NewMetrics()), operator.WithLimits(limits),
		operator.WithParser(parser.NewRules()), operator.WithLogger(zerolog.New(c.log))).Handler()
	asserter.NoError(t, err)
	server := httptest.NewServer(handler)
	defer server.Close()
	token := testToken
	if c.token != nil {
		token = *c.token
	}
	return send(t, method, server.URL+path, token, body)
}

// fakeFleet has one VM that reports its version and one that does not.
type fakeFleet struct{}

func (fakeFleet) RulesVersions(context.Context) buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.VMRulesVersion] {
	return buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.VMRulesVersion]{}.
		With("entry-1", buckthorndyke.VMRulesVersion{VM: "entry-1", Version: 8}).
		With("entry-2", buckthorndyke.VMRulesVersion{VM: "entry-2", Err: errors.New("cut off")})
}

// fakeFollower provides one update for each subscription, and then none.
type fakeFollower struct {
	updates chan buckthorndyke.StateUpdate
}

func newFakeFollower(all ...buckthorndyke.StateUpdate) fakeFollower {
	f := fakeFollower{updates: make(chan buckthorndyke.StateUpdate, len(all))}
	for _, u := range all {
		f.updates <- u
	}
	return f
}

func (f fakeFollower) Subscribe(context.Context) <-chan buckthorndyke.StateUpdate {
	return f.updates
}

type proposerFunc func(buckthorndyke.Change) (buckthorndyke.ProposalResult, error)

func (f proposerFunc) Propose(_ context.Context, c buckthorndyke.Change) (buckthorndyke.ProposalResult, error) {
	return f(c)
}

func refuseAll(buckthorndyke.Change) (buckthorndyke.ProposalResult, error) {
	return buckthorndyke.ProposalResult{}, buckthorndyke.NewRefusal(buckthorndyke.CodeLogUnavailable, buckthorndyke.NotRun, "log down")
}

func testUpdate() buckthorndyke.StateUpdate {
	s := buckthorndyke.State{}.WithRules(buckthorndyke.Rules{}, oldText, 8).WithOffset(9).
		WithMember(buckthorndyke.Member{VM: "entry-1"}).
		WithOwnership(buckthorndyke.Ownership{Epoch: 4, Owner: "entry-1", Runner: "runner-1"}).
		WithPlacement(buckthorndyke.Placement{Model: "hall"}.
			WithSlot(buckthorndyke.ReplicaSlot{Runner: "runner-1"}).WithSlot(buckthorndyke.ReplicaSlot{Runner: "runner-2", Withdrawn: true})).
		WithAudit(buckthorndyke.AuditEntry{Operator: "M. Okafor", Offset: 7}, 10).
		WithAudit(buckthorndyke.AuditEntry{Accepted: true, At: 5, Base: 7, Operator: "T. Lindqvist", Diff: []string{"+x"}, Offset: 8}, 10)
	return buckthorndyke.StateUpdate{CaughtUp: true, State: s}
}

func send(t *testing.T, method, url, token, body string) (int, string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	asserter.NoError(t, err)
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := http.DefaultClient.Do(r)
	asserter.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	asserter.NoError(t, err)
	return response.StatusCode, strings.TrimSpace(string(data))
}

func assertError(t *testing.T, body string, code buckthorndyke.Code, verdict buckthorndyke.Verdict) {
	t.Helper()
	var response operator.ErrorResponse
	asserter.NoError(t, json.Unmarshal([]byte(body), &response))
	asserter.Equal(t, response.Error.Code, code)
	asserter.Equal(t, response.Error.Verdict, verdict.String())
}
