package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/buckthorndyke/buckthorndyke"
)

// directTarget sends requests directly to the runner.
type directTarget struct {
	engine buckthorndyke.Engine
}

// send implements target.
func (t *directTarget) send(ctx context.Context) error {
	id := uuid.NewString()
	stream, err := t.engine.Generate(ctx, buckthorndyke.Job{
		ID: buckthorndyke.JobID(id), MaxTokens: benchTokens, Model: benchModel, Prompt: "bench", Request: buckthorndyke.RequestID(id),
	})
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for {
		token, err := stream.Next(ctx)
		if err != nil || token.Last {
			return err
		}
	}
}

// entryTarget sends requests through an entry VM.
type entryTarget struct {
	url string
}

// send implements target.
func (t *entryTarget) send(ctx context.Context) error {
	body := fmt.Sprintf(`{"model":%q,"prompt":"bench","max_tokens":%d,"stream":true}`, benchModel, benchTokens)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, t.url, strings.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create a request")
	}
	r.Header.Set("Authorization", "Bearer "+benchToken)
	response, err := client.Do(r)
	if err != nil {
		return errors.Wrap(err, "send a request")
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrap(err, "read a response")
	}
	if response.StatusCode != http.StatusOK || !strings.Contains(string(data), "[DONE]") {
		return errors.Newf("status %d: %s", response.StatusCode, data)
	}
	return nil
}

// client keeps one idle connection per caller, so that requests reuse connections.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: runnerSlots}}
