package main

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/launcher"
)

// logTailBytes bounds what is shown of the processes' logs after a failure.
const logTailBytes = 8 << 10

// book makes a booking through the entry VM, twice with the same key, and checks
// that it ran once.
func (d *demonstration) book(ctx context.Context, e launcher.Entry) error {
	key, err := uuid.NewV7()
	if err != nil {
		return errors.Wrap(err, "make an idempotency key")
	}
	var answers []string
	for range 2 {
		r, err := newRequest(ctx, e, "/services/"+demoService+"/halls/east-gym", `{"day":"2026-12-12"}`)
		if err != nil {
			return err
		}
		r.Header.Set("Idempotency-Key", key.String())
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			return errors.Wrap(err, "book")
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return errors.Wrap(err, "read the booking's answer")
		}
		if response.StatusCode >= http.StatusMultipleChoices {
			return errors.Newf("booking: status %d: %s", response.StatusCode, body)
		}
		answers = append(answers, string(body))
	}
	if answers[0] != answers[1] {
		return errors.Newf("two answers for one key: %q and %q", answers[0], answers[1])
	}
	d.printf("%s booked: %s (sent twice with one key, one answer)\n", e.Name, strings.TrimSpace(answers[0]))
	return nil
}

// printTail shows the end of the processes' logs.
func (d *demonstration) printTail(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read the logs")
	}
	d.printf("%s\n", data[max(0, len(data)-logTailBytes):])
	return nil
}

// stream sends a request to a cold model and then to the warm one, and prints
// the answers as they come.
func (d *demonstration) stream(ctx context.Context, e launcher.Entry) error {
	for _, temperature := range []string{"cold", "warm"} {
		begun := d.clock.Now()
		text, first, err := d.complete(ctx, e)
		if err != nil {
			return err
		}
		d.printf("%s %s start: first token after %d ms: %s\n", e.Name, temperature, first-begun, text)
	}
	return nil
}

// complete sends one streamed request. It returns the text and when the first
// token came.
func (d *demonstration) complete(ctx context.Context, e launcher.Entry) (text string, first buckthorndyke.Millis, err error) {
	body := `{"model":"` + demoModel + `","stream":true,"max_tokens":8,` +
		`"messages":[{"role":"user","content":"Why does the east gym echo?"}]}`
	r, err := newRequest(ctx, e, "/v1/chat/completions", body)
	if err != nil {
		return "", 0, err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", 0, errors.Wrap(err, "send a request")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(response.Body)
		return "", 0, errors.Newf("status %d: %s", response.StatusCode, data)
	}
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !ok:
		case data == "[DONE]":
			return text, first, nil
		default:
			piece, err := chunkText(data)
			if err != nil {
				return "", 0, err
			}
			if first == 0 {
				first = d.clock.Now()
			}
			text += piece
		}
	}
	return "", 0, errors.New("the stream ended without its end mark")
}

// newRequest returns a request of the demo caller.
func newRequest(ctx context.Context, e launcher.Entry, path, body string) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Callers+path, strings.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make a request")
	}
	r.Header.Set("Authorization", "Bearer "+demoCaller)
	r.Header.Set("Content-Type", "application/json")
	return r, nil
}

// pieceOf returns the text in one event of a stream.
func chunkText(data string) (string, error) {
	var event struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
		Error *struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		return "", errors.Wrap(err, "decode an event")
	}
	if event.Error != nil {
		return "", errors.Newf("the stream broke: %s", event.Error.Message)
	}
	var text string
	for _, c := range event.Choices {
		text += c.Delta.Content
	}
	return text, nil
}
