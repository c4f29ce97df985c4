package connector_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/standin"
)

func TestService(t *testing.T) {
	t.Run("down", func(t *testing.T) {
		onBoth(t, func(ctx context.Context, t *testing.T, b bench) {
			asserter.NoError(t, b.memory.service.SetFaults(ctx, standin.ServiceFaults{Down: true}))
			_, err := b.service.Call(ctx, b.serviceAddress, booking())
			asserter.Verdict(t, err, buckthorndyke.NotRun)
			assertBookings(ctx, t, b, 0)
		})
	})
	t.Run("lost answer", func(t *testing.T) {
		onBoth(t, func(ctx context.Context, t *testing.T, b bench) {
			asserter.NoError(t, b.memory.service.SetFaults(ctx, standin.ServiceFaults{LoseResponses: 1}))
			_, err := b.service.Call(ctx, b.serviceAddress, booking())
			asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
			assertBookings(ctx, t, b, 1)
		})
	})
	t.Run("slow", func(t *testing.T) {
		onBoth(t, func(ctx context.Context, t *testing.T, b bench) {
			asserter.NoError(t, b.memory.service.SetFaults(ctx, standin.ServiceFaults{Delay: buckthorndyke.Day}))
			short, cancel := giveUpOnceSent(ctx)
			defer cancel()
			_, err := b.service.Call(short, b.serviceAddress, booking())
			asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
			asserter.Code(t, err, buckthorndyke.CodeDeadline)
		})
	})
	t.Run("answer", func(t *testing.T) {
		onBoth(t, func(ctx context.Context, t *testing.T, b bench) {
			answer, err := b.service.Call(ctx, b.serviceAddress, booking())
			asserter.NoError(t, err)
			asserter.Equal(t, answer.Status, http.StatusOK)
			asserter.Equal(t, string(answer.Body), `{"call":1,"request":"r1"}`)
			asserter.Equal(t, answer.Header.Get("Content-Type"), "application/json")
			journal, err := b.memory.service.Journal(ctx)
			asserter.NoError(t, err)
			record := journal.Calls[0]
			asserter.Equal(t, record.Path, "/halls/great hall")
			asserter.Equal(t, record.Key, "k1")
			asserter.Equal(t, record.Method, http.MethodPost)
		})
	})
}

func assertBookings(ctx context.Context, t *testing.T, b bench, want int) {
	t.Helper()
	journal, err := b.memory.service.Journal(ctx)
	asserter.NoError(t, err)
	asserter.Equal(t, journal.Keys["k1"], want)
	asserter.Equal(t, len(journal.Calls), want)
}

// booking returns a call that must not run twice. It has no body, as the
// transport would send a keyed call without one again by itself.
func booking() buckthorndyke.ServiceCall {
	return buckthorndyke.ServiceCall{
		Header: http.Header{"Idempotency-Key": {"k1"}}, Method: http.MethodPost, Path: "/halls/great hall",
		Query: "seats=1", Request: "r1", Service: "bookings",
	}
}
