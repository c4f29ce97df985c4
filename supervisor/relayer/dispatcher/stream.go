package dispatcher

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/gatherer"
	"github.com/buckthorndyke/buckthorndyke/reporter"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// maxLoggedParts bounds the parts of a prompt in a line.
	maxLoggedParts = 16
)

// errEventMemory means that the VM has too little free memory for an event.
var errEventMemory = errors.New("the VM has too little free memory for an event")

var (
	// eventEnd ends an event.
	eventEnd = []byte("\n\n")
	// eventID is the prefix of the line that holds an event's id.
	eventID = []byte("id:")
)

// relayStream forwards the events of a stream as they arrive. A truncated stream is resumed
// at another server if the route allows that.
func (j *job) relayStream(ctx context.Context, backend buckthorndyke.Backend, a buckthorndyke.DispatchResponse) (bool, error) {
	j.heard = false
	w := &pacedResponse{clock: j.clock, reader: a.Body, writer: j.answer.w}
	a.Body, j.answer.w = io.NopCloser(w), w
	err := j.forwardEvents(ctx, a)
	j.answer.w = w.writer
	switch {
	case err == nil:
		j.noteAttempt(backend, "streamed up to event %s", j.answer.lastEventID)
		j.executions++
		j.releaseServer(ctx, backend, resultServed)
		return false, nil
	case errors.Is(err, errClientGone):
		j.releaseServer(ctx, backend, resultNeutral)
		return false, errClientGone
	case ctx.Err() != nil:
		return j.handleFailure(ctx, backend, context.Cause(ctx))
	}
	j.mayHaveCrashed = !j.heard
	err = errors.Wrapf(err, "the stream was truncated after event %q", j.answer.lastEventID)
	if w.cutUnread() {
		err = errors.Mark(err, errUnread)
	}
	retry, err := j.handleFailure(ctx, backend, err)
	if j.answer.lastEventID != "" {
		j.request = j.request.WithLastEventID(j.answer.lastEventID)
	}
	return retry && j.answer.resumable(), err
}

// forwardEvents forwards whole events until the stream ends.
func (j *job) forwardEvents(ctx context.Context, a buckthorndyke.DispatchResponse) error {
	events := gatherer.New(j.memory)
	defer events.Close()
	for {
		known := len(events.Bytes())
		_, err := events.ReadOnce(ctx, a.Body)
		pending := events.Bytes()
		// Only the new bytes can end an event, together with the last one before them.
		from := max(known-len(eventEnd)+1, 0)
		ended := errors.Is(err, io.EOF)
		whole := 0
		if i := bytes.LastIndex(pending[from:], eventEnd); i >= 0 {
			whole = from + i + len(eventEnd)
		}
		if ended {
			err = j.checkStreamEnd(pending[whole:], whole > 0, a.EndsWithConnection)
		}
		if whole > 0 || ended && err == nil {
			if whole > 0 && !j.heard {
				j.tellFirstEvent(ctx)
			}
			if failed := j.writeEvents(a, pending[:whole]); failed != nil {
				return failed
			}
			events.Discard(whole)
		}
		switch {
		case errors.Is(err, buckthorndyke.ErrMemory):
			return errEventMemory
		case ended || err != nil:
			return err
		case len(events.Bytes()) > maxEventBytes:
			return errors.New("an event exceeds the size limit")
		}
	}
}

// checkStreamEnd returns an error if a stream that has ended was broken off: inside an
// event, of which rest is the beginning, or before its first one. A stream that is resumed
// after its last event may be empty, but only if its framing shows that it is complete: one
// that ends with the connection ends like this too if its server does.
func (j *job) checkStreamEnd(rest []byte, hasEvents, endsWithConnection bool) error {
	switch {
	case len(rest) > 0:
		return errors.New("the stream ended inside an event")
	case hasEvents || j.heard:
		return nil
	case j.answer.lastEventID == "" || endsWithConnection:
		return errors.New("the stream ended before its first event")
	default:
		return nil
	}
}

// writeEvents writes whole events to the client.
func (j *job) writeEvents(a buckthorndyke.DispatchResponse, events []byte) error {
	if !j.answer.begun {
		j.firstEvent = j.clock.Now() - j.request.Arrived
	}
	if err := j.answer.beginStream(a.Status, a.Header); err != nil {
		return err
	}
	if len(events) == 0 {
		return nil
	}
	if !j.heard {
		j.heard, j.begun = true, true
		close(j.responded)
	}
	return j.answer.writeEvents(events)
}

// log logs the end of a request.
func (d *Dispatcher) log(r buckthorndyke.RelayRequest, j *job, err error) {
	event := d.logger.Info().EmbedObject(reporter.EventRequestServed)
	if err != nil {
		event = d.logger.Info().EmbedObject(reporter.EventRequestFailed).Err(err).Str("parts", sharedParts(r)).
			Str("verdict", buckthorndyke.VerdictOf(err).String()).Str("code", string(buckthorndyke.RefusalOf(err).Code()))
	}
	j.logIdentity(event)
	event.Str("request", string(r.ID)).Str("fingerprint", j.fingerprint()).Str("route", j.route.Name).Str("service", string(j.key.Service)).
		Str("model", string(j.key.Model)).Str("adapter", j.key.Adapter).Int("prompt-tokens", r.PromptTokens).
		Int64("queue-ms", int64(j.queued)).Int64("first-ms", int64(j.firstEvent)).Int64("ms", int64(d.clock.Now()-r.Arrived)).Str("attempts", j.trailText()).Send()
}

// fingerprint returns the fingerprint of the request's content for the log.
func (j *job) fingerprint() string {
	if len(j.fingerprints) == 0 {
		return ""
	}
	return string(j.fingerprints[len(j.fingerprints)-1])
}

// sharedParts returns the ids of the parts of the prompt that other requests may share,
// for the log.
func sharedParts(r buckthorndyke.RelayRequest) string {
	var ids []string
	for _, part := range r.Prompt[:max(len(r.Prompt)-1, 0)] {
		if len(ids) == maxLoggedParts {
			break
		}
		ids = append(ids, part.ID)
	}
	return strings.Join(ids, " ")
}

// noteAttempt adds the description of an attempt to the trail.
func (j *job) noteAttempt(backend buckthorndyke.Backend, format string, args ...any) {
	at := j.clock.Now() - j.request.Arrived
	j.trail = append(j.trail, fmt.Sprintf("%s at %d ms ", backend.ID, at)+fmt.Sprintf(format, args...))
}
