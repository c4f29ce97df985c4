package dispatcher

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
)

func TestPatience(t *testing.T) {
	const (
		from = 100 * buckthorndyke.Second
		due  = from + 6*buckthorndyke.Second
	)
	key := buckthorndyke.ModelKey{Model: "hall", Service: "engines"}
	stream := buckthorndyke.Route{
		GapTarget: 400 * buckthorndyke.Millisecond, Kind: buckthorndyke.RouteStream, LatencyTarget: 400 * buckthorndyke.Millisecond,
	}
	assertUntil := func(t *testing.T, got, after buckthorndyke.Millis) {
		t.Helper()
		asserter.Equal(t, got, from+after)
	}
	t.Run("a client of a stream leaves before its deadline", func(t *testing.T) {
		assertUntil(t, newPatience(stream, from, due).Until(key, true, from+2*buckthorndyke.Second), 2900)
	})
	t.Run("a model that comes after the client has left is not waited for", func(t *testing.T) {
		assertUntil(t, newPatience(stream, from, due).Until(key, true, from+4*buckthorndyke.Second), 900)
	})
	t.Run("a model that is not being loaded is waited for until the target", func(t *testing.T) {
		assertUntil(t, newPatience(stream, from, due).Until(key, true, 0), 600)
		slow := stream
		slow.LatencyTarget = 2 * buckthorndyke.Second
		assertUntil(t, newPatience(slow, from, due).Until(key, true, 0), 2000)
	})
	t.Run("nothing waits after the drain's limit", func(t *testing.T) {
		assertUntil(t, newPatience(stream, from, due).WithDrain(from+200).Until(key, true, 0), 200)
	})
	t.Run("a plain service is waited for whatever the leader says", func(t *testing.T) {
		assertUntil(t, newPatience(buckthorndyke.Route{}, from, due).Until(buckthorndyke.ModelKey{}, false, 0), 3600)
	})
	t.Run("a request without time does not wait", func(t *testing.T) {
		assertUntil(t, newPatience(stream, from, from).Until(key, true, 0), 0)
	})
}
