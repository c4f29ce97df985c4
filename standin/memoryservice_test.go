package standin_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/standin"
)

func TestMemoryService(t *testing.T) {
	t.Run("a service that is down refuses as not run", func(t *testing.T) {
		withBubble(t, func(ctx context.Context, t *testing.T, clock buckthorndyke.Clock) {
			service := startService(ctx, clock)
			asserter.NoError(t, service.SetFaults(ctx, standin.ServiceFaults{Down: true}))
			_, err := service.Call(ctx, "a", booking)
			asserter.Verdict(t, err, buckthorndyke.NotRun)
			assertBookings(ctx, t, service, 0)
		})
	})
	t.Run("a call whose response is lost takes effect", func(t *testing.T) {
		withBubble(t, func(ctx context.Context, t *testing.T, clock buckthorndyke.Clock) {
			service := startService(ctx, clock)
			asserter.NoError(t, service.SetFaults(ctx, standin.ServiceFaults{LoseResponses: 1}))
			_, err := service.Call(ctx, "a", booking)
			asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
			assertBookings(ctx, t, service, 1)
		})
	})
	t.Run("a delayed call takes effect after its caller has given up", func(t *testing.T) {
		withBubble(t, func(ctx context.Context, t *testing.T, clock buckthorndyke.Clock) {
			service := startService(ctx, clock)
			asserter.NoError(t, service.SetFaults(ctx, standin.ServiceFaults{Delay: buckthorndyke.Minute}))
			short, cancel := context.WithTimeout(ctx, buckthorndyke.Second.Duration())
			defer cancel()
			_, err := service.Call(short, "a", booking)
			asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
			assertBookings(ctx, t, service, 0)
			<-clock.After(2 * buckthorndyke.Minute)
			assertBookings(ctx, t, service, 1)
		})
	})
	t.Run("the response has the number of the call", func(t *testing.T) {
		withBubble(t, func(ctx context.Context, t *testing.T, clock buckthorndyke.Clock) {
			service := startService(ctx, clock)
			response, err := service.Call(ctx, "a", booking)
			asserter.NoError(t, err)
			asserter.Equal(t, response.Status, http.StatusOK)
			asserter.Equal(t, string(response.Body), `{"call":1,"request":"r1"}`)
		})
	})
}

// booking is a call with an idempotency key, which must not run twice.
var booking = buckthorndyke.ServiceCall{
	Header: http.Header{"Idempotency-Key": {"k1"}}, Method: http.MethodPost, Path: "/bookings", Request: "r1",
	Service: "bookings",
}

func assertBookings(ctx context.Context, t *testing.T, service *standin.MemoryService, want int) {
	t.Helper()
	journal, err := service.Journal(ctx)
	asserter.NoError(t, err)
	asserter.Equal(t, journal.Keys["k1"], want)
	asserter.Equal(t, journal.Requests["r1"], want)
	asserter.Equal(t, len(journal.Calls), want)
}

func startService(ctx context.Context, clock buckthorndyke.Clock) *standin.MemoryService {
	service := standin.NewMemoryService(clock)
	standin.Start(ctx, service)
	return service
}
