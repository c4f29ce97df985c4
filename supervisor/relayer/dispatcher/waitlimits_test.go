package dispatcher

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
)

func TestWaitLimits(t *testing.T) {
	const (
		from     = 100 * buckthorndyke.Second
		deadline = from + 6*buckthorndyke.Second
	)
	key := buckthorndyke.ModelKey{Model: "hall", Service: "engines"}
	stream := buckthorndyke.Route{
		GapTarget: 400 * buckthorndyke.Millisecond, Kind: buckthorndyke.RouteStream, LatencyTarget: 400 * buckthorndyke.Millisecond,
	}
	assertUntil := func(t *testing.T, got, after buckthorndyke.Millis) {
		t.Helper()
		asserter.Equal(t, got, from+after)
	}
	t.Run("a client of a stream disconnects before its deadline", func(t *testing.T) {
		assertUntil(t, newWaitLimits(stream, from, deadline).Until(key, true, from+2*buckthorndyke.Second), 2900)
	})
	t.Run("a request does not wait for a model that is loaded after the client disconnects", func(t *testing.T) {
		assertUntil(t, newWaitLimits(stream, from, deadline).Until(key, true, from+4*buckthorndyke.Second), 900)
	})
	t.Run("a request waits until its latency target for a model that is not being loaded", func(t *testing.T) {
		assertUntil(t, newWaitLimits(stream, from, deadline).Until(key, true, 0), 600)
		slow := stream
		slow.LatencyTarget = 2 * buckthorndyke.Second
		assertUntil(t, newWaitLimits(slow, from, deadline).Until(key, true, 0), 2000)
	})
	t.Run("a request is held if its client would else return too early for the load", func(t *testing.T) {
		// The request may wait for 7.7 s. Refused at once, its client returns after 2.9 s at
		// the soonest; refused after 1.95 s, it returns 2.5 s later.
		alert := buckthorndyke.Route{Kind: buckthorndyke.RouteStream, LatencyTarget: 2 * buckthorndyke.Second}
		const deadline = from + 13*buckthorndyke.Second
		limits := newWaitLimits(alert, from, deadline)
		for expected, held := range map[buckthorndyke.Millis]bool{10_500: false, 10_700: true, 12_000: true, 12_200: false, 20_000: false} {
			asserter.Equal(t, limits.BetterHeld(from, from+1950, deadline, from+expected), held)
		}
	})
	t.Run("no request waits beyond the drain limit", func(t *testing.T) {
		assertUntil(t, newWaitLimits(stream, from, deadline).WithDrain(from+200).Until(key, true, 0), 200)
	})
	t.Run("the wait for a service without models does not depend on the leader", func(t *testing.T) {
		assertUntil(t, newWaitLimits(buckthorndyke.Route{}, from, deadline).Until(buckthorndyke.ModelKey{}, false, 0), 3600)
	})
	t.Run("a request whose deadline has come does not wait", func(t *testing.T) {
		assertUntil(t, newWaitLimits(stream, from, from).Until(key, true, 0), 0)
	})
}
