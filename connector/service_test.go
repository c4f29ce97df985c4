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
		runWithBoth(t, func(ctx context.Context, t *testing.T, f fixture) {
			asserter.NoError(t, f.standIns.service.SetFaults(ctx, standin.ServiceFaults{Down: true}))
			_, err := f.service.Call(ctx, f.serviceAddress, booking())
			asserter.Verdict(t, err, buckthorndyke.NotRun)
			assertBookings(ctx, t, f, 0)
		})
	})
	t.Run("lost response", func(t *testing.T) {
		runWithBoth(t, func(ctx context.Context, t *testing.T, f fixture) {
			asserter.NoError(t, f.standIns.service.SetFaults(ctx, standin.ServiceFaults{LoseResponses: 1}))
			_, err := f.service.Call(ctx, f.serviceAddress, booking())
			asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
			assertBookings(ctx, t, f, 1)
		})
	})
	t.Run("slow", func(t *testing.T) {
		runWithBoth(t, func(ctx context.Context, t *testing.T, f fixture) {
			asserter.NoError(t, f.standIns.service.SetFaults(ctx, standin.ServiceFaults{Delay: buckthorndyke.Day}))
			short, cancel := cancelOnceSent(ctx)
			defer cancel()
			_, err := f.service.Call(short, f.serviceAddress, booking())
			asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
			asserter.Code(t, err, buckthorndyke.CodeDeadline)
		})
	})
	t.Run("answer", func(t *testing.T) {
		runWithBoth(t, func(ctx context.Context, t *testing.T, f fixture) {
			response, err := f.service.Call(ctx, f.serviceAddress, booking())
			asserter.NoError(t, err)
			asserter.Equal(t, response.Status, http.StatusOK)
			asserter.Equal(t, string(response.Body), `{"call":1,"request":"r1"}`)
			asserter.Equal(t, response.Header.Get("Content-Type"), "application/json")
			journal, err := f.standIns.service.Journal(ctx)
			asserter.NoError(t, err)
			record := journal.Calls[0]
			asserter.Equal(t, record.Path, "/halls/great hall")
			asserter.Equal(t, record.Key, "k1")
			asserter.Equal(t, record.Method, http.MethodPost)
		})
	})
}

func assertBookings(ctx context.Context, t *testing.T, f fixture, want int) {
	t.Helper()
	journal, err := f.standIns.service.Journal(ctx)
	asserter.NoError(t, err)
	asserter.Equal(t, journal.Keys["k1"], want)
	asserter.Equal(t, len(journal.Calls), want)
}

// booking returns a call that must not run twice. It has no body: of the calls with
// an idempotency key, http.Transport retries those without a body by itself.
func booking() buckthorndyke.ServiceCall {
	return buckthorndyke.ServiceCall{
		Header: http.Header{"Idempotency-Key": {"k1"}}, Method: http.MethodPost, Path: "/halls/great hall",
		Query: "seats=1", Request: "r1", Service: "bookings",
	}
}
