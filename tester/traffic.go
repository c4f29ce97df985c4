package tester

import (
	"context"
	"net/http"
	"strings"

	"github.com/google/uuid"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/launcher"
	"github.com/buckthorndyke/buckthorndyke/standin"
)

// Tokens of the callers in Rules.
const (
	FreeToken     = "free-token"
	OrdinaryToken = "ordinary-token"
	UrgentToken   = "urgent-token"
)

// ResponseTokens is the number of tokens that Generate requests.
const ResponseTokens = 8

// Rules are rules with three models, an adapter, a caller of each rank and the plain
// service of the fleet.
var Rules = strings.Join([]string{
	"model hall memory-mb=8000 replicas=1 # asked for by T. Ester",
	"model gym memory-mb=8000 replicas=2 # asked for by T. Ester",
	"model court memory-mb=12000 replicas=1 # asked for by T. Ester",
	"adapter hall-north base=hall memory-mb=60 # asked for by T. Ester",
	"caller clerk rank=urgent token-sha256=" + launcher.TokenSHA256(UrgentToken) + " # asked for by T. Ester",
	"caller member rank=ordinary token-sha256=" + launcher.TokenSHA256(OrdinaryToken) + " # asked for by T. Ester",
	"caller visitor rank=free token-sha256=" + launcher.TokenSHA256(FreeToken) + " # asked for by T. Ester",
	"rank urgent share-percent=60 queue-limit=64 first-token-ms=30000 max-tokens=1024 # asked for by T. Ester",
	"rank ordinary share-percent=40 queue-limit=64 first-token-ms=30000 max-tokens=1024 # asked for by T. Ester",
	"rank free share-percent=0 queue-limit=64 first-token-ms=30000 max-tokens=1024 # asked for by T. Ester",
	"service bookings idempotent=GET # asked for by T. Ester",
	"",
}, "\n")

// Outcome is the outcome of a generate request. Begun and Ended are the times of its
// start and end.
type Outcome struct {
	Begun buckthorndyke.Millis
	Ended buckthorndyke.Millis
	Err   error
	// FirstToken is the time from Begun to the first token, or 0 if there was none.
	FirstToken buckthorndyke.Millis
	// Killed is set if the process that received the request was killed.
	Killed  bool
	Request buckthorndyke.RequestID
	Text    string
}

// ExpectedText returns the text of the complete response that Generate must get.
func ExpectedText(model buckthorndyke.ModelID, prompt string) string {
	return strings.Join(standin.ResponseTokens(model, prompt, ResponseTokens), "")
}

// Call calls the plain service through a node, with an idempotency key unless key is
// empty.
func (f *Fleet) Call(ctx context.Context, node int, token, key string) (buckthorndyke.ServiceResponse, error) {
	return f.CallOn(ctx, f.Nodes[node], token, key, buckthorndyke.RequestID(uuid.NewString()))
}

// CallOn is Call through a given incarnation of a node and with a given request ID.
// It fails if the node's process is killed.
func (f *Fleet) CallOn(
	ctx context.Context, n *Node, token, key string, id buckthorndyke.RequestID,
) (buckthorndyke.ServiceResponse, error) {
	ctx, cancel := n.Process.bind(ctx)
	defer cancel()
	if err := n.listener.beginRequest(ctx); err != nil {
		return buckthorndyke.ServiceResponse{}, err
	}
	defer n.listener.endRequest()
	gateway := f.gateway(n)
	caller, err := gateway.Authenticate(ctx, buckthorndyke.NewCredential(token))
	if err != nil {
		return buckthorndyke.ServiceResponse{}, err
	}
	header := http.Header{}
	if key != "" {
		header.Set("Idempotency-Key", key)
	}
	response, err := gateway.Call(ctx, buckthorndyke.CallRequest{
		Call: buckthorndyke.ServiceCall{
			Body: []byte("book"), Header: header, Method: http.MethodPost, Path: "/halls", Request: id, Service: Service,
		},
		Caller: caller,
		Key:    key,
	})
	if runErr := n.Process.awaitRunning(ctx); runErr != nil {
		return buckthorndyke.ServiceResponse{}, runErr
	}
	return response, err
}

// CallsByKey returns how many calls with an idempotency key have taken effect.
func (f *Fleet) CallsByKey(key string) int {
	f.t.Helper()
	journal, err := f.Service.Journal(f.ctx)
	asserter.NoError(f.t, err)
	return journal.Keys[key]
}

// Generate sends a generate request through a node and returns its outcome. It fails
// if the node's process is killed.
func (f *Fleet) Generate(ctx context.Context, node int, token string, model buckthorndyke.ModelID, prompt string) Outcome {
	return f.GenerateOn(ctx, f.Nodes[node], token, model, prompt)
}

// GenerateOn is Generate through a given incarnation of a node.
func (f *Fleet) GenerateOn(
	ctx context.Context, n *Node, token string, model buckthorndyke.ModelID, prompt string,
) Outcome {
	ctx, cancel := n.Process.bind(ctx)
	defer cancel()
	outcome := Outcome{Begun: f.Clock.Now(), Request: buckthorndyke.RequestID(uuid.NewString())}
	n.Process.observe(ctx, CallEvent{Call: CallReceive, Request: outcome.Request})
	outcome.Err = f.receive(ctx, n, token, &outcome, buckthorndyke.GenerateRequest{
		ID: outcome.Request, MaxTokens: ResponseTokens, Model: model, Prompt: prompt,
	})
	outcome.Ended = f.Clock.Now()
	outcome.Killed = n.Process.Killed()
	return outcome
}

// receive sends a generate request through a node and adds its tokens to outcome.
func (f *Fleet) receive(
	ctx context.Context, n *Node, token string, outcome *Outcome, r buckthorndyke.GenerateRequest,
) error {
	if err := n.listener.beginRequest(ctx); err != nil {
		return err
	}
	defer n.listener.endRequest()
	gateway := f.gateway(n)
	caller, err := gateway.Authenticate(ctx, buckthorndyke.NewCredential(token))
	if err != nil {
		return err
	}
	r.Caller = caller
	stream, err := gateway.Generate(ctx, r)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for {
		t, err := stream.Next(ctx)
		if runErr := n.Process.awaitRunning(ctx); runErr != nil {
			return runErr
		}
		if err != nil || t.Last {
			return err
		}
		if outcome.Text == "" {
			outcome.FirstToken = f.Clock.Now() - outcome.Begun
		}
		outcome.Text += t.Text
	}
}

// Loads returns the number of loads of a model that were started on all runners.
func (f *Fleet) Loads(model buckthorndyke.ModelID) int {
	f.t.Helper()
	n := 0
	for _, journal := range f.Journals() {
		n += journal.Loads[model]
	}
	return n
}

// Journals returns the journals of all runners' engines.
func (f *Fleet) Journals() map[buckthorndyke.RunnerID]standin.EngineJournal {
	f.t.Helper()
	journals := map[buckthorndyke.RunnerID]standin.EngineJournal{}
	for runner, engine := range f.Engines {
		journal, err := engine.Journal(f.ctx)
		asserter.NoError(f.t, err)
		journals[runner] = journal
	}
	return journals
}

// NewKey returns a new idempotency key, a version 7 UUID, which contains the time.
func (f *Fleet) NewKey() string {
	f.t.Helper()
	key, err := uuid.NewV7()
	asserter.NoError(f.t, err)
	return key.String()
}
