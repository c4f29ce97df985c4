package dispatcher_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/dispatcher"
)

// slowWriter is the response to a client that takes pause to read each part. It implements
// buckthorndyke.RelayWriter.
type slowWriter struct {
	response
	pause time.Duration
}

// Write implements buckthorndyke.RelayWriter.
func (w *slowWriter) Write(part []byte) error {
	time.Sleep(w.pause)
	return w.response.Write(part)
}

// relaySlowly sends a request of a client that takes pause to read each part.
func (s *fixture) relaySlowly(ctx context.Context, r buckthorndyke.RelayRequest, pause time.Duration) (*slowWriter, error) {
	s.t.Helper()
	w := &slowWriter{pause: pause}
	r.Arrived, r.ID = s.clock.Now(), "one"
	err := s.dispatcher.Relay(ctx, r, w)
	synctest.Wait()
	return w, err
}

// assertUsed checks whether the server of the first attempt is among those that get the next
// requests.
func (s *fixture) assertUsed(r buckthorndyke.RelayRequest, want bool) {
	s.t.Helper()
	first := s.pool.sent()[0].Backend.ID
	before := len(s.pool.sent())
	for range 20 {
		_, err := s.relay(r)
		asserter.NoError(s.t, err)
	}
	used := false
	for _, d := range s.pool.sent()[before:] {
		used = used || d.Backend.ID == first
	}
	asserter.Equal(s.t, used, want)
}

// TestUnreadResponses guards against servers that count as failing because they have cut a
// response that a client did not read, and against failing servers that do not.
func TestUnreadResponses(t *testing.T) {
	const slow = 1200 * time.Millisecond
	cut := scriptedResponse{body: twoEvents, broken: true, mediaType: eventStream}
	t.Run("a server that cuts an unread stream is not failing, and the stream is not run again", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.list(runner("r1", hall), runner("r2", hall))
			s.pool.setResponses(cut)
			got, err := s.relaySlowly(s.ctx, streamRequest("/stream/x", hall), slow)
			assertBroken(t, &got.response, err, twoEvents)
			asserter.Equal(t, len(s.pool.sent()), 1)
			s.assertUsed(streamRequest("/stream/x", hall), true)
		})
	})
	t.Run("a server that cuts a stream which was read is failing", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.list(runner("r1", hall), runner("r2", hall))
			s.pool.setResponses(cut)
			got, err := s.relaySlowly(s.ctx, streamRequest("/stream/x", hall), 0)
			assertBroken(t, &got.response, err, twoEvents)
			s.assertUsed(streamRequest("/stream/x", hall), false)
		})
	})
	t.Run("a server whose stream holds what is no event is failing, however slowly it is read", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.list(runner("r1", hall), runner("r2", hall))
			s.pool.setResponses(scriptedResponse{body: twoEvents + "HTTP/1.1 500 x\n\n", mediaType: eventStream})
			got, err := s.relaySlowly(s.ctx, streamRequest("/stream/x", hall), slow)
			assertBroken(t, &got.response, err, twoEvents)
			s.assertUsed(streamRequest("/stream/x", hall), false)
		})
	})
	t.Run("a resumable stream that was cut unread goes on, also at the same server", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.list(runner("r1", hall))
			s.pool.setResponses(cut, scriptedResponse{body: thirdEvent, mediaType: eventStream})
			got, err := s.relaySlowly(s.ctx, streamRequest("/resumable/x", hall), slow)
			asserter.NoError(t, err)
			asserter.Equal(t, got.body, twoEvents+thirdEvent)
		})
	})
	t.Run("a server that cuts an unread response of a call is not failing, and the call is not run again", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			large := strings.Repeat("0123456789", 10_000)
			s.pool.setResponses(scriptedResponse{body: large, broken: true})
			got, err := s.relaySlowly(s.ctx, request("/safe/x"), slow)
			asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
			asserter.Equal(t, got.heads, 1)
			asserter.Equal(t, len(s.pool.sent()), 1)
			s.assertUsed(request("/safe/x"), true)
		}, dispatcher.WithMemory(scarceMemory(64<<10)))
	})
	t.Run("a server whose client disconnects within the body is not failing", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.pool.setResponses(scriptedResponse{body: "half", stalls: true})
			ctx, cancel := context.WithCancel(s.ctx)
			time.AfterFunc(100*time.Millisecond, cancel)
			_, err := s.relaySlowly(ctx, request("/unsafe/x"), 0)
			asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
			s.assertUsed(request("/safe/x"), true)
		})
	})
	t.Run("a server that stalls within the body until the deadline is failing", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.pool.setResponses(scriptedResponse{body: "half", stalls: true})
			_, err := s.relaySlowly(s.ctx, request("/safe/x"), 0)
			asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
			s.assertUsed(request("/safe/x"), false)
		})
	})
}
