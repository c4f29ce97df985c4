package dispatcher

import (
	"bytes"
	"context"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/reporter"
)

const (
	// answerLimit bounds an answer that is no stream, in bytes.
	answerLimit = 16 << 20
	// eventLimit bounds one event, in bytes.
	eventLimit = 1 << 20
	// readBytes is the size of one read from a stream.
	readBytes = 8 << 10
)

var (
	// eventEnd ends an event.
	eventEnd = []byte("\n\n")
	// eventID begins the line of an event that holds its id.
	eventID = []byte("id:")
)

// stream is what has been passed on of a stream of events.
type stream struct {
	// begun is set once the head was passed on.
	begun bool
	// heard is set once the server of the attempt has sent an event.
	heard bool
	// last is the id of the last event that was passed on whole.
	last string
}

// pass hands on the events of a stream as they come. A stream that breaks off is
// carried on by another server where the route allows it.
func (j *job) pass(ctx context.Context, backend buckthorndyke.Backend, a buckthorndyke.DispatchResponse) (bool, error) {
	j.stream.heard = false
	err := j.copyEvents(a)
	switch {
	case err == nil:
		j.note(backend, "streamed to event %s", j.stream.last)
		j.runs++
		j.end(ctx, backend, resultServed)
		return false, nil
	case errors.Is(err, errCallerGone):
		j.end(ctx, backend, resultNeutral)
		return false, errCallerGone
	case ctx.Err() != nil:
		return j.failed(ctx, backend, context.Cause(ctx))
	}
	again, err := j.failed(ctx, backend, errors.Wrapf(err, "the stream broke after event %q", j.stream.last))
	if j.stream.last != "" {
		j.request = j.request.WithLastEventID(j.stream.last)
	}
	return again, err
}

// copyEvents hands on whole events until the stream ends.
func (j *job) copyEvents(a buckthorndyke.DispatchResponse) error {
	var held []byte
	buffer := make([]byte, readBytes)
	for {
		n, err := a.Body.Read(buffer)
		held = append(held, buffer[:n]...)
		ended := errors.Is(err, io.EOF)
		whole := bytes.LastIndex(held, eventEnd) + len(eventEnd)
		if whole < len(eventEnd) {
			whole = 0
		}
		if ended {
			whole = len(held)
		}
		if whole > 0 || ended {
			if failed := j.handOn(a, held[:whole]); failed != nil {
				return failed
			}
			held = append(held[:0], held[whole:]...)
		}
		switch {
		case ended:
			return nil
		case err != nil:
			return err
		case len(held) > eventLimit:
			return errors.New("an event is too large")
		}
	}
}

// handOn writes whole events to the client.
func (j *job) handOn(a buckthorndyke.DispatchResponse, events []byte) error {
	if !j.stream.begun {
		j.stream.begun = true
		j.first = j.clock.Now() - j.request.Arrived
		if err := j.w.Begin(a.Status, a.Header); err != nil {
			return errCallerGone
		}
	}
	if len(events) == 0 {
		return nil
	}
	if !j.stream.heard {
		j.stream.heard = true
		close(j.heard)
	}
	if err := j.w.Write(events); err != nil {
		return errCallerGone
	}
	if id, ok := lastID(events); ok {
		j.stream.last = id
	}
	return nil
}

// log writes one line on the end of a request.
func (d *Dispatcher) log(r buckthorndyke.RelayRequest, j *job, err error) {
	line := d.logger.Info().EmbedObject(reporter.EventRequestServed)
	if err != nil {
		line = d.logger.Info().EmbedObject(reporter.EventRequestFailed).Err(err).
			Str("verdict", buckthorndyke.VerdictOf(err).String()).Str("code", string(buckthorndyke.RefusalOf(err).Code()))
	}
	line.Str("request", string(r.ID)).Str("route", j.route.Name).Str("service", string(j.key.Service)).
		Str("model", string(j.key.Model)).Str("adapter", j.key.Adapter).Int("prompt-tokens", r.PromptTokens).
		Int64("queue-ms", int64(j.queued)).Int64("first-ms", int64(j.first)).Int64("ms", int64(d.clock.Now()-r.Arrived)).Str("attempts", j.trailText()).Send()
}

// note adds an attempt to the trail.
func (j *job) note(backend buckthorndyke.Backend, format string, args ...any) {
	at := j.clock.Now() - j.request.Arrived
	j.trail = append(j.trail, fmt.Sprintf("%s at %d ms ", backend.ID, at)+fmt.Sprintf(format, args...))
}

// lastID returns the id of the last event in events that has one.
func lastID(events []byte) (string, bool) {
	id, found := "", false
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		if rest, ok := bytes.CutPrefix(line, eventID); ok {
			id, found = string(bytes.TrimSpace(rest)), true
		}
	}
	return id, found
}

// readAll reads an answer to its end.
func readAll(body io.Reader) ([]byte, error) {
	all, err := io.ReadAll(io.LimitReader(body, answerLimit+1))
	if err != nil {
		return nil, errors.Wrap(err, "read the answer")
	}
	if len(all) > answerLimit {
		return nil, errors.New("the answer is too large")
	}
	return all, nil
}
