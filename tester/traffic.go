package tester

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/google/uuid"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
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
	"caller clerk rank=urgent token-sha256=" + sum(UrgentToken) + " # asked for by T. Ester",
	"caller member rank=ordinary token-sha256=" + sum(OrdinaryToken) + " # asked for by T. Ester",
	"caller visitor rank=free token-sha256=" + sum(FreeToken) + " # asked for by T. Ester",
	"rank urgent share-percent=60 queue-limit=64 first-token-ms=30000 max-tokens=1024 # asked for by T. Ester",
	"rank ordinary share-percent=40 queue-limit=64 first-token-ms=30000 max-tokens=1024 # asked for by T. Ester",
	"rank free share-percent=0 queue-limit=64 first-token-ms=30000 max-tokens=1024 # asked for by T. Ester",
	"service bookings idempotent=GET # asked for by T. Ester",
	"",
}, "\n")

// Answer is the outcome of a request.
type Answer struct {
	Err error
	// FirstToken is the time until the first token.
	FirstToken buckthorndyke.Millis
	Text       string
}

// AnswerTo returns the whole answer that Generate must get.
func AnswerTo(model buckthorndyke.ModelID, prompt string) string {
	return strings.Join(standin.AnswerTokens(model, prompt, AnswerTokens), "")
}

// Call makes a booking through a node.
func (f *Fleet) Call(ctx context.Context, node int, token, key string) (buckthorndyke.ServiceAnswer, error) {
	gateway := f.Nodes[node].Tree.Gateway()
	caller, err := gateway.Authenticate(ctx, token)
	if err != nil {
		return buckthorndyke.ServiceAnswer{}, err
	}
	return gateway.Call(ctx, buckthorndyke.CallRequest{
		Call: buckthorndyke.ServiceCall{
			Body: []byte("book"), Header: http.Header{"Idempotency-Key": {key}}, Method: http.MethodPost, Path: "/halls",
			Request: buckthorndyke.RequestID(uuid.NewString()), Service: Service,
		},
		Caller: caller,
		Key:    key,
	})
}

// CallsByKey returns how often a call with a key has taken effect.
func (f *Fleet) CallsByKey(key string) int {
	f.t.Helper()
	journal, err := f.Service.Journal(f.ctx)
	asserter.NoError(f.t, err)
	return journal.Keys[key]
}

// Generate sends a request through a node and returns its outcome.
func (f *Fleet) Generate(ctx context.Context, node int, token string, model buckthorndyke.ModelID, prompt string) Answer {
	begun := f.Clock.Now()
	gateway := f.Nodes[node].Tree.Gateway()
	caller, err := gateway.Authenticate(ctx, token)
	if err != nil {
		return Answer{Err: err}
	}
	stream, err := gateway.Generate(ctx, buckthorndyke.GenerateRequest{
		Caller: caller, ID: buckthorndyke.RequestID(uuid.NewString()), MaxTokens: AnswerTokens, Model: model, Prompt: prompt,
	})
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = stream.Close() }()
	answer := Answer{}
	for {
		token, err := stream.Next(ctx)
		if err != nil {
			answer.Err = err
			return answer
		}
		if token.Last {
			return answer
		}
		if answer.Text == "" {
			answer.FirstToken = f.Clock.Now() - begun
		}
		answer.Text += token.Text
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

func sum(token string) string {
	digest := sha256.Sum256([]byte(token))
	return hex.EncodeToString(digest[:])
}
