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

// AnswerTokens is the number of tokens that Generate asks for.
const AnswerTokens = 8

// Rules are the rules of a small fleet.
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

// Answer is the outcome of a request.
type Answer struct {
	Begun buckthorndyke.Millis
	Ended buckthorndyke.Millis
	Err   error
	// FirstToken is the time until the first token.
	FirstToken buckthorndyke.Millis
	// Killed is set if the process that the request came through was killed.
	Killed  bool
	Request buckthorndyke.RequestID
	Text    string
}

// AnswerTo returns the whole answer that Generate must get.
func AnswerTo(model buckthorndyke.ModelID, prompt string) string {
	return strings.Join(standin.AnswerTokens(model, prompt, AnswerTokens), "")
}

// Call makes a booking through a node.
func (f *Fleet) Call(ctx context.Context, node int, token, key string) (buckthorndyke.ServiceResponse, error) {
	return f.CallOn(ctx, f.Nodes[node], token, key, buckthorndyke.RequestID(uuid.NewString()))
}

// CallOn is Call with a request id through a given life of a node. It breaks off
// if the node's process is killed.
func (f *Fleet) CallOn(
	ctx context.Context, n *Node, token, key string, id buckthorndyke.RequestID,
) (buckthorndyke.ServiceResponse, error) {
	ctx, cancel := n.Link.bind(ctx)
	defer cancel()
	if err := n.front.enter(ctx); err != nil {
		return buckthorndyke.ServiceResponse{}, err
	}
	defer n.front.leave()
	gateway := f.gateway(n)
	caller, err := gateway.Authenticate(ctx, token)
	if err != nil {
		return buckthorndyke.ServiceResponse{}, err
	}
	header := http.Header{}
	if key != "" {
		header.Set("Idempotency-Key", key)
	}
	answer, err := gateway.Call(ctx, buckthorndyke.CallRequest{
		Call: buckthorndyke.ServiceCall{
			Body: []byte("book"), Header: header, Method: http.MethodPost, Path: "/halls", Request: id, Service: Service,
		},
		Caller: caller,
		Key:    key,
	})
	if passErr := n.Link.pass(ctx); passErr != nil {
		return buckthorndyke.ServiceResponse{}, passErr
	}
	return answer, err
}

// CallsByKey returns how often a call with a key has taken effect.
func (f *Fleet) CallsByKey(key string) int {
	f.t.Helper()
	journal, err := f.Service.Journal(f.ctx)
	asserter.NoError(f.t, err)
	return journal.Keys[key]
}

// Generate sends a request through a node and returns its outcome. It breaks off
// if the node's process is killed.
func (f *Fleet) Generate(ctx context.Context, node int, token string, model buckthorndyke.ModelID, prompt string) Answer {
	return f.GenerateOn(ctx, f.Nodes[node], token, model, prompt)
}

// GenerateOn is Generate through a given life of a node.
func (f *Fleet) GenerateOn(
	ctx context.Context, n *Node, token string, model buckthorndyke.ModelID, prompt string,
) Answer {
	ctx, cancel := n.Link.bind(ctx)
	defer cancel()
	a := Answer{Begun: f.Clock.Now(), Request: buckthorndyke.RequestID(uuid.NewString())}
	n.Link.observe(ctx, Point{Call: CallReceive, Request: a.Request})
	a.Err = f.receive(ctx, n, token, &a, buckthorndyke.GenerateRequest{
		ID: a.Request, MaxTokens: AnswerTokens, Model: model, Prompt: prompt,
	})
	a.Ended = f.Clock.Now()
	a.Killed = n.Link.Killed()
	return a
}

// receive fills an answer with the tokens of a request.
func (f *Fleet) receive(
	ctx context.Context, n *Node, token string, a *Answer, r buckthorndyke.GenerateRequest,
) error {
	if err := n.front.enter(ctx); err != nil {
		return err
	}
	defer n.front.leave()
	gateway := f.gateway(n)
	caller, err := gateway.Authenticate(ctx, token)
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
		if passErr := n.Link.pass(ctx); passErr != nil {
			return passErr
		}
		if err != nil || t.Last {
			return err
		}
		if a.Text == "" {
			a.FirstToken = f.Clock.Now() - a.Begun
		}
		a.Text += t.Text
	}
}

// Loads returns how many loads of a model all runners have begun.
func (f *Fleet) Loads(model buckthorndyke.ModelID) int {
	f.t.Helper()
	n := 0
	for _, journal := range f.Journals() {
		n += journal.Loads[model]
	}
	return n
}

// Journals returns what all runners have done.
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

// NewKey returns a new idempotency key with the time in it.
func (f *Fleet) NewKey() string {
	f.t.Helper()
	key, err := uuid.NewV7()
	asserter.NoError(f.t, err)
	return key.String()
}
