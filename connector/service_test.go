package connector_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/standin"
)

func TestService(t *testing.T) {
	t.Run("down", func(t *testing.T) {
		onBoth(t, func(ctx context.Context, t *testing.T, b bench) {
			assertNoError(t, b.memory.service.SetFaults(ctx, standin.ServiceFaults{Down: true}))
			_, err := b.service.Call(ctx, b.serviceAddress, booking())
			assertVerdict(t, err, buckthorndyke.NotRun)
			assertBookings(ctx, t, b, 0)
		})
	})
	t.Run("lost answer", func(t *testing.T) {
		onBoth(t, func(ctx context.Context, t *testing.T, b bench) {
			assertNoError(t, b.memory.service.SetFaults(ctx, standin.ServiceFaults{LoseAnswers: 1}))
			_, err := b.service.Call(ctx, b.serviceAddress, booking())
			assertVerdict(t, err, buckthorndyke.MayHaveRun)
			assertBookings(ctx, t, b, 1)
		})
	})
	t.Run("slow", func(t *testing.T) {
		onBoth(t, func(ctx context.Context, t *testing.T, b bench) {
			assertNoError(t, b.memory.service.SetFaults(ctx, standin.ServiceFaults{Delay: buckthorndyke.Hour}))
			short, cancel := context.WithTimeout(ctx, shortTimeout)
			defer cancel()
			_, err := b.service.Call(short, b.serviceAddress, booking())
			assertVerdict(t, err, buckthorndyke.MayHaveRun)
			assertCode(t, err, buckthorndyke.CodeDeadline)
		})
	})
	t.Run("answer", func(t *testing.T) {
		onBoth(t, func(ctx context.Context, t *testing.T, b bench) {
			answer, err := b.service.Call(ctx, b.serviceAddress, booking())
			assertNoError(t, err)
			assertEqual(t, answer.Status, http.StatusOK)
			assertEqual(t, string(answer.Body), `{"call":1,"request":"r1"}`)
			assertEqual(t, answer.Header.Get("Content-Type"), "application/json")
			journal, err := b.memory.service.Journal(ctx)
			assertNoError(t, err)
			record := journal.Calls[0]
			assertEqual(t, record.Path, "/halls/great hall")
			assertEqual(t, record.Key, "k1")
			assertEqual(t, record.Method, http.MethodPost)
		})
	})
}

func assertBookings(ctx context.Context, t *testing.T, b bench, want int) {
	t.Helper()
	journal, err := b.memory.service.Journal(ctx)
	assertNoError(t, err)
	assertEqual(t, journal.Keys["k1"], want)
	assertEqual(t, len(journal.Calls), want)
}

// booking returns a call that must not run twice. It has no body, as the
// transport would send a keyed call without one again by itself.
func booking() buckthorndyke.ServiceCall {
	return buckthorndyke.ServiceCall{
		Header: http.Header{"Idempotency-Key": {"k1"}}, Method: http.MethodPost, Path: "/halls/great hall",
		Query: "seats=1", Request: "r1", Service: "bookings",
	}
}
