package dispatcher_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/dispatcher"
)

// scarceMemory grants each message a fixed number of bytes. It implements
// buckthorndyke.MemoryAccount.
type scarceMemory int

// Open implements buckthorndyke.MemoryAccount.
func (m scarceMemory) Open() buckthorndyke.MemoryReservation { return &scarceReservation{left: int(m)} }

// scarceReservation implements buckthorndyke.MemoryReservation.
type scarceReservation struct {
	left int
}

// Close implements buckthorndyke.MemoryReservation.
func (*scarceReservation) Close() {}

// Grow implements buckthorndyke.MemoryReservation.
func (r *scarceReservation) Grow(_ context.Context, n int) error {
	if n > r.left {
		return buckthorndyke.ErrMemory
	}
	r.left -= n
	return nil
}

// TestScarceMemory guards against responses that are lost, or reported as not run, because
// other messages take the VM's memory.
func TestScarceMemory(t *testing.T) {
	const memory = scarceMemory(64 << 10)
	large := strings.Repeat("0123456789", 10_000)
	t.Run("a response that finds no memory is passed on as it arrives", func(t *testing.T) {
		for _, length := range []int64{-1, int64(len(large))} {
			withFixture(t, func(s *fixture) {
				s.pool.setResponses(scriptedResponse{body: large, length: length, status: http.StatusCreated})
				got, err := s.relay(request("/unsafe/x"))
				asserter.NoError(t, err)
				asserter.Equal(t, got.status, http.StatusCreated)
				asserter.Equal(t, got.body, large)
				asserter.Equal(t, got.header.Get("Content-Length") != "", length > 0)
			}, dispatcher.WithMemory(memory))
		}
	})
	t.Run("a truncated response that was passed on in part ends with an error", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.pool.setResponses(scriptedResponse{body: large, broken: true})
			got, err := s.relay(request("/safe/x"))
			asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
			asserter.Equal(t, got.heads, 1)
			asserter.Equal(t, got.body, large)
			asserter.Equal(t, len(s.pool.sent()), 1)
		}, dispatcher.WithMemory(memory))
	})
	t.Run("a response without end is cut", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.pool.setResponses(scriptedResponse{body: large, endless: true})
			got, err := s.relay(request("/unsafe/x"))
			asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
			asserter.True(t, len(got.body) < 5<<20, "the response was not cut")
		}, dispatcher.WithMemory(memory))
	})
	t.Run("an event that finds no memory is no proof that the request has not run", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.pool.setResponses(scriptedResponse{body: "id: 1\ndata: a\n\nid: 2\ndata: " + large})
			got, err := s.relay(streamRequest("/stream/x", hall))
			asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
			asserter.Equal(t, got.body, "id: 1\ndata: a\n\n")
			asserter.Equal(t, len(s.pool.sent()), 1)
		}, dispatcher.WithMemory(memory))
	})
}

func TestLargeResponses(t *testing.T) {
	large := strings.Repeat("0123456789", 500_000)
	t.Run("a response beyond what is held is passed on if it declares its length", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.pool.setResponses(scriptedResponse{body: large, length: int64(len(large))})
			got, err := s.relay(request("/unsafe/x"))
			asserter.NoError(t, err)
			asserter.Equal(t, len(got.body), len(large))
		})
	})
	t.Run("a response that declares too large a length is not read", func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.pool.setResponses(scriptedResponse{body: "x", endless: true, length: 1 << 40})
			got, err := s.relay(request("/unsafe/x"))
			asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
			asserter.Equal(t, got.heads, 0)
		})
	})
}
