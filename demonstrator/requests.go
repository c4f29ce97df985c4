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

// logTailBytes limits how much of the logs is printed after a failure.
const logTailBytes = 8 << 10

// book sends a booking through the entry VM twice with the same idempotency key,
// and checks that both responses are equal. If the booking ran twice, they would
// differ.
func (d *demonstration) book(ctx context.Context, e launcher.EntryVM) error {
	key, err := uuid.NewV7()
	if err != nil {
		return errors.Wrap(err, "create an idempotency key")
	}
	var responses []string
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
			return errors.Wrap(err, "read the response to the booking")
		}
		if response.StatusCode >= http.StatusMultipleChoices {
			return errors.Newf("booking: status %d: %s", response.StatusCode, body)
		}
		responses = append(responses, string(body))
	}
	if responses[0] != responses[1] {
		return errors.Newf("different responses for one idempotency key: %q and %q", responses[0], responses[1])
	}
	d.printf("%s booked: %s (sent twice with one key, one response)\n", e.Name, strings.TrimSpace(responses[0]))
	return nil
}

// printTail prints the end of the processes' log file.
func (d *demonstration) printTail(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read the logs")
	}
	d.printf("%s\n", data[max(0, len(data)-logTailBytes):])
	return nil
}

// stream sends a request to a cold model and another once it is warm, and prints
// the time to the first token and the text of each response.
func (d *demonstration) stream(ctx context.Context, e launcher.EntryVM) error {
	for _, temperature := range []string{"cold", "warm"} {
		start := d.clock.Now()
		text, first, err := d.complete(ctx, e)
		if err != nil {
			return err
		}
		d.printf("%s %s start: first token after %d ms: %s\n", e.Name, temperature, first-start, text)
	}
	return nil
}

// complete sends one streamed request. It returns the text and the time of the
// first token.
func (d *demonstration) complete(ctx context.Context, e launcher.EntryVM) (text string, first buckthorndyke.Millis, err error) {
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
			chunk, err := chunkText(data)
			if err != nil {
				return "", 0, err
			}
			if first == 0 {
				first = d.clock.Now()
			}
			text += chunk
		}
	}
	return "", 0, errors.New("the stream ended without its end marker")
}

// newRequest returns a request with the credentials of demoCaller.
func newRequest(ctx context.Context, e launcher.EntryVM, path, body string) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Callers+path, strings.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create a request")
	}
	r.Header.Set("Authorization", "Bearer "+demoCaller)
	r.Header.Set("Content-Type", "application/json")
	return r, nil
}

// chunkText returns the text in one event of a stream, or the error that the event
// reports.
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
		return "", errors.Newf("the stream failed: %s", event.Error.Message)
	}
	var text string
	for _, c := range event.Choices {
		text += c.Delta.Content
	}
	return text, nil
}
