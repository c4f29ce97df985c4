package dispatcher_test

import (
	"net/http"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
)

const (
	eventStream = "text/event-stream"
	twoEvents   = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	thirdEvent  = "id: 3\ndata: c\n\n"
)

// assertBroken checks that a client got the head of a stream, events and nothing else, and
// that its stream did not end like a complete one.
func assertBroken(t *testing.T, got *response, err error, events string) {
	t.Helper()
	asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
	asserter.Equal(t, got.body, events)
	asserter.Equal(t, got.heads, 1)
	asserter.Equal(t, got.status, http.StatusOK)
}

// TestBrokenStreams guards against a response other than the rest of a stream that was
// sent after its beginning: clients found the text of an error in their streams, or took
// streams that had broken off for complete ones.
func TestBrokenStreams(t *testing.T) {
	brokenOff := scriptedResponse{body: twoEvents, broken: true, mediaType: eventStream}
	page := "<p>no</p>\n\n"
	for name, next := range map[string]scriptedResponse{
		"a server error":                                {body: page, status: http.StatusInternalServerError},
		"a client error":                                {body: page, status: http.StatusNotFound},
		"an unsigned gateway error":                     {body: page, status: http.StatusBadGateway, unsigned: true},
		"a redirection":                                 {body: page, status: http.StatusFound},
		"a refusal without a signature":                 {body: page, status: http.StatusServiceUnavailable, unsigned: true},
		"a stream without a signature":                  {body: thirdEvent, mediaType: eventStream, unsigned: true},
		"a response of another type":                    {body: page, mediaType: "text/html"},
		"a response of no type":                         {body: thirdEvent},
		"a stream from its beginning":                   {body: twoEvents + thirdEvent, mediaType: eventStream},
		"the last event again":                          {body: "id: 2\ndata: b\n\n" + thirdEvent, mediaType: eventStream},
		"the head of a response":                        {body: "HTTP/1.1 500 Internal Server Error\nid: 3\n\n" + page, mediaType: eventStream},
		"a part of an event":                            {body: "id: 3\nda", mediaType: eventStream},
		"a part of an event and a broken connection":    {body: "id: 3\nda", broken: true, mediaType: eventStream},
		"nothing, and the end of the connection":        {endsWithConnection: true, mediaType: eventStream},
		"no response":                                   {err: errNoResponse},
		"a server error whose connection breaks":        {body: page, broken: true, status: http.StatusInternalServerError},
		"a part of a response of another type and ends": {body: "{", endsWithConnection: true, mediaType: "application/json"},
	} {
		t.Run("a stream that breaks off does not go on with "+name, func(t *testing.T) {
			withFixture(t, func(s *fixture) {
				s.list(runner("r1", hall), runner("r2", hall))
				s.pool.setResponses(brokenOff, next)
				got, err := s.relay(streamRequest("/resumable/x", hall))
				assertBroken(t, got, err, twoEvents)
				assertDistinct(t, s.pool.sent(), 2)
			})
		})
	}
	t.Run("events before one that may not follow are sent", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.list(runner("r1", hall), runner("r2", hall))
			s.pool.setResponses(brokenOff, scriptedResponse{body: thirdEvent + twoEvents, mediaType: eventStream})
			got, err := s.relay(streamRequest("/resumable/x", hall))
			assertBroken(t, got, err, twoEvents+thirdEvent)
		})
	})
	t.Run("a stream is resumed after a server that has not run it", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.list(runner("r1", hall), runner("r2", hall), runner("r3", hall))
			s.pool.setResponses(brokenOff, scriptedResponse{body: page, notRun: true, status: http.StatusServiceUnavailable},
				scriptedResponse{body: thirdEvent, mediaType: eventStream + "; charset=utf-8"})
			got, err := s.relay(streamRequest("/resumable/x", hall))
			asserter.NoError(t, err)
			asserter.Equal(t, got.body, twoEvents+thirdEvent)
			asserter.Equal(t, got.heads, 1)
		})
	})
	t.Run("a stream whose events have no ids is not resumed", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.list(runner("r1", hall), runner("r2", hall))
			s.pool.setResponses(scriptedResponse{body: "data: a\n\n", broken: true, mediaType: eventStream})
			got, err := s.relay(streamRequest("/resumable/x", hall))
			assertBroken(t, got, err, "data: a\n\n")
			asserter.Equal(t, len(s.pool.sent()), 1)
		})
	})
	t.Run("a whole response of another type is passed on as it is", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.pool.setResponses(scriptedResponse{body: "{}", mediaType: "application/json"})
			got, err := s.relay(streamRequest("/stream/x", hall))
			asserter.NoError(t, err)
			asserter.Equal(t, got.body, "{}")
			asserter.Equal(t, got.header.Get("Content-Length"), "2")
		})
	})
}
