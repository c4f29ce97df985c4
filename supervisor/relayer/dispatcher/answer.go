package dispatcher

import (
	"bytes"
	"mime"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
)

// streamMediaType is the media type of a stream of events.
const streamMediaType = "text/event-stream"

var (
	// errBegun means that a response cannot be sent because a stream has begun.
	errBegun = errors.New("a stream has already been sent in part")
	// errForeignEvent means that a server's stream holds what is no event.
	errForeignEvent = errors.New("the stream contains the head of a response")
	// errRepeatedEvent means that a server's stream does not go on after the last event
	// that the client has.
	errRepeatedEvent = errors.New("the stream repeats events")
)

// answer is what the client has been sent. It is either one whole response, or the head of
// a stream and events of that stream; nothing else can follow the head. Its methods return
// errClientGone if the client cannot be written to.
type answer struct {
	// begun is set once the head was sent.
	begun bool
	// lastEventID is the id of the last event that was sent, or empty.
	lastEventID string
	// mediaType is that of the stream.
	mediaType string
	w         buckthorndyke.RelayWriter
}

// writeWhole sends a response that is not a stream. It fails if a stream has begun.
func (a *answer) writeWhole(status int, header http.Header, body []byte) error {
	err := a.beginWhole(status, header, int64(len(body)))
	if err == nil {
		err = a.writePart(body)
	}
	return err
}

// beginWhole sends the head of a response that is not a stream, whose body has the given
// length, or an unknown one if that is negative. It fails if a stream has begun.
func (a *answer) beginWhole(status int, header http.Header, length int64) error {
	if a.begun {
		return errBegun
	}
	a.begun = true
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if a.w.Begin(status, header) != nil {
		return errClientGone
	}
	return nil
}

// writePart sends a part of a response whose head was sent.
func (a *answer) writePart(part []byte) error {
	if a.w.Write(part) != nil {
		return errClientGone
	}
	return nil
}

// beginStream sends the head of a stream unless it was sent before.
func (a *answer) beginStream(status int, header http.Header) error {
	if a.begun {
		return nil
	}
	a.begun, a.mediaType = true, mediaTypeOf(header)
	if a.w.Begin(status, header) != nil {
		return errClientGone
	}
	return nil
}

// continues reports whether a server's response can go on where the answer ends: any
// response if nothing was sent, and otherwise only a stream like the one that has begun.
func (a *answer) continues(status int, header http.Header) bool {
	return !a.begun || status < http.StatusMultipleChoices && mediaTypeOf(header) == a.mediaType
}

// resumable reports whether another server can go on where the answer ends: nothing was
// sent, or the last event has an id.
func (a *answer) resumable() bool { return !a.begun || a.lastEventID != "" }

// writeEvents sends those of the events that may follow the last one, up to the first that
// may not.
func (a *answer) writeEvents(events []byte) error {
	size, last, err := followingEvents(events, a.lastEventID)
	if size > 0 && a.w.Write(events[:size]) != nil {
		return errClientGone
	}
	a.lastEventID = last
	return err
}

// followingEvents returns the size of the first of the given whole events that may follow
// the event with the id last, and the id of the last one of them. The error says why the
// next event may not follow.
func followingEvents(events []byte, last string) (int, string, error) {
	size := 0
	for size < len(events) {
		end := len(events)
		if i := bytes.Index(events[size:], eventEnd); i >= 0 {
			end = size + i + len(eventEnd)
		}
		id, err := checkEvent(events[size:end], last)
		if err != nil {
			return size, last, err
		}
		size, last = end, id
	}
	return size, last, nil
}

// checkEvent returns the id of an event, or last if it has none. It returns an error if the
// event may not follow the one with the id last.
func checkEvent(event []byte, last string) (string, error) {
	id := last
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if bytes.HasPrefix(line, []byte("HTTP/")) {
			return last, errForeignEvent
		}
		rest, ok := bytes.CutPrefix(line, eventID)
		if !ok {
			continue
		}
		id = string(bytes.TrimSpace(rest))
		if !follows(id, last) {
			return last, errRepeatedEvent
		}
	}
	return id, nil
}

// follows reports whether an event with the given id can come after the one with the id
// last: ids that are numbers increase.
func follows(id, last string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	before, errBefore := strconv.ParseUint(last, 10, 64)
	if err == nil && errBefore == nil {
		return n > before
	}
	return id != last || id == ""
}

// isStream reports whether a response is a stream of events. One that does not name its
// media type counts as what its route expects.
func isStream(header http.Header) bool {
	mediaType := mediaTypeOf(header)
	return mediaType == "" || mediaType == streamMediaType
}

// mediaTypeOf returns the media type of a response without parameters, or an empty text.
func mediaTypeOf(header http.Header) string {
	out, _, _ := mime.ParseMediaType(header.Get("Content-Type"))
	return out
}
