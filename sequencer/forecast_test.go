package sequencer_test

import (
	"fmt"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/sequencer"
)

// flowing returns a queue of n requests after every interval from start on has freed a slot
// for slots of them, and the present instant.
func flowing(n, slots int, interval buckthorndyke.Millis, change func(r *sequencer.Request)) (sequencer.Queue, buckthorndyke.Millis) {
	q, now := sequencer.New(), start
	for range n + slots {
		q, _ = q.With(request(change))
	}
	for range slots {
		now += interval
		_, q = drain(q, now, 1)
	}
	return q, now
}

// assertForecast reports an error unless the wait of another request like those of change
// is predicted as want, or not at all if want is 0.
func assertForecast(t *testing.T, q sequencer.Queue, now buckthorndyke.Millis, change func(r *sequencer.Request), want buckthorndyke.Millis) {
	t.Helper()
	q, r := q.With(request(change))
	f := q.Forecast(r, now)
	asserter.Equal(t, f.Known, want > 0)
	asserter.Equal(t, f.Wait, want)
}

// TestForecast guards against requests that are refused although they could be served, and
// against requests that are held although they cannot.
func TestForecast(t *testing.T) {
	late := func(r *sequencer.Request) { r.Target = start + 5000 }
	t.Run("the wait follows from the requests ahead and the rate of slots", func(t *testing.T) {
		q, now := flowing(30, 20, 20, late)
		assertForecast(t, q, now, late, 620)
		assertForecast(t, q, now, nil, 20)
	})
	t.Run("an unknown rate predicts nothing", func(t *testing.T) {
		q, now := flowing(30, 8, 20, nil)
		assertForecast(t, q, now, late, 0)
		assertForecast(t, queueOf(request(nil), request(nil)), start, late, 0)
	})
	t.Run("the time until a model is loaded is not taken for the rate", func(t *testing.T) {
		q := sequencer.New()
		for range 50 {
			q, _ = q.With(request(nil))
		}
		now := start + 2000
		for range 20 {
			_, q = drain(q, now, 1)
			now += 20
		}
		assertForecast(t, q, now, nil, 620)
	})
	t.Run("a rate that has not been seen for a long time predicts nothing", func(t *testing.T) {
		q, now := flowing(30, 20, 20, nil)
		assertForecast(t, q, now+800, late, 0)
	})
	t.Run("another key's rate predicts nothing", func(t *testing.T) {
		q, now := flowing(30, 20, 20, nil)
		assertForecast(t, q, now, func(r *sequencer.Request) { r.Key = keyOf("gym") }, 0)
	})
	t.Run("slots of requests that servers turned away do not count", func(t *testing.T) {
		q, now := sequencer.New(), start
		for range 60 {
			q, _ = q.With(request(late))
		}
		for n := range 29 {
			now += 20
			if _, q = drain(q, now, 1); n%2 == 1 {
				q = q.WithRejected(hall)
			}
		}
		// 28 intervals of 20 ms free 14 slots, and 15 at the end of the measurement.
		assertForecast(t, q, now, late, 1200)
	})
	t.Run("more urgent requests go before, less urgent ones do not", func(t *testing.T) {
		q, now := flowing(30, 20, 20, func(r *sequencer.Request) { r.Priority = 1 })
		assertForecast(t, q, now, func(r *sequencer.Request) { r.Priority = 2 }, 620)
		for range 50 {
			q, _ = q.With(request(func(r *sequencer.Request) { r.Priority = 3 }))
		}
		assertForecast(t, q, now, func(r *sequencer.Request) { r.Priority = 1; r.Target = start + 5000 }, 620)
	})
	t.Run("the rate of slots for less urgent requests predicts nothing for more urgent ones", func(t *testing.T) {
		q, now := flowing(30, 20, 20, func(r *sequencer.Request) { r.Priority = 1 })
		assertForecast(t, q, now, func(r *sequencer.Request) { r.Priority = 0 }, 0)
	})
	t.Run("slots that are taken at once are not taken for the rate of free slots", func(t *testing.T) {
		q := queueOf(request(func(r *sequencer.Request) { r.Restricted = true }))
		now := start
		for range 40 {
			var r sequencer.Request
			now += 100
			q, r = q.With(request(nil))
			q = q.PassOf(now, hall).WithGranted(r).Queue()
		}
		assertForecast(t, q, now, nil, 0)
	})
	t.Run("a caller that floods does not add to the predicted wait of another one", func(t *testing.T) {
		q, now := flowing(500, 20, 20, func(r *sequencer.Request) { r.Caller = "flood" })
		assertForecast(t, q, now, func(r *sequencer.Request) { r.Caller = "small" }, 40)
	})
	t.Run("in the order of arrival nothing is predicted", func(t *testing.T) {
		q := sequencer.New(sequencer.WithArrivalOrder())
		for range 50 {
			q, _ = q.With(request(nil))
		}
		now := start
		for range 20 {
			now += 20
			_, q = drain(q, now, 1)
		}
		assertForecast(t, q, now, nil, 0)
		asserter.Equal(t, len(q.Hopeless(now+buckthorndyke.Minute)), 0)
	})
}

// TestMisses guards against refusals by a prediction that may be wrong.
func TestMisses(t *testing.T) {
	for wait, misses := range map[buckthorndyke.Millis]bool{0: false, 1000: false, 1500: false, 1501: true} {
		f := sequencer.Forecast{Known: true, Wait: wait}
		asserter.Equal(t, f.Misses(start+1000, start), misses)
		f.Known = false
		asserter.Equal(t, f.Misses(start+1000, start), false)
	}
	asserter.True(t, sequencer.ReadyAt(start+5000, start).Misses(start+3000, start), "a load that is late is not noticed")
	asserter.True(t, !sequencer.ReadyAt(start-10, start).Misses(start, start), "a load that has ended counts as late")
}

// TestLatest guards against refusals of requests that are served faster than predicted.
func TestLatest(t *testing.T) {
	for service, want := range map[buckthorndyke.Millis]buckthorndyke.Millis{0: start + 3000, 4000: start + 3000, 8000: start + 2000} {
		asserter.Equal(t, request(func(r *sequencer.Request) { r.Service = service }).Latest(), want)
	}
}

// TestHopeless guards against requests that are held although the rate has fallen so that
// they cannot be served, and against refusals of those that can.
func TestHopeless(t *testing.T) {
	q, now := flowing(100, 20, 50, func(r *sequencer.Request) { r.Target = 0 })
	t.Run("requests that cannot start within their limits are named", func(t *testing.T) {
		// 2,000 ms are left, in which 40 requests start, 60 within the margin.
		hopeless := q.Hopeless(now)
		asserter.Equal(t, len(hopeless), 40)
		for ticket, f := range hopeless {
			asserter.True(t, f.Known && ticket > 80, "the wrong requests are named")
		}
	})
	t.Run("a request that may have run is not named", func(t *testing.T) {
		q := q
		for range 30 {
			q, _ = q.With(request(func(r *sequencer.Request) { r.MayHaveRun, r.Until = true, start+1100 }))
		}
		for ticket := range q.Hopeless(now) {
			r, _ := q.Get(ticket)
			asserter.True(t, !r.MayHaveRun, "a request that may have run is named")
		}
	})
	t.Run("a small caller's request behind a flood is not named", func(t *testing.T) {
		q, r := q.With(request(func(r *sequencer.Request) { r.Caller = "small" }))
		_, named := q.Hopeless(now)[r.Ticket]
		asserter.True(t, !named, "the request of the small caller is named")
	})
}

// TestReturns guards against clients that return as they were told and wait behind new ones,
// and against an advantage for clients that do not.
func TestReturns(t *testing.T) {
	told := queueOf().WithPromise("a", request(nil), start+500, start)
	assertReturned := func(t *testing.T, now buckthorndyke.Millis, want bool) {
		t.Helper()
		_, returned := told.WithReturn("a", now)
		asserter.Equal(t, returned, want)
	}
	t.Run("a client returns when it was told, or shortly after", func(t *testing.T) {
		assertReturned(t, start+490, true)
		assertReturned(t, start+500, true)
		assertReturned(t, start+2400, true)
		assertReturned(t, start+2600, false)
	})
	t.Run("a client that repeats its request at once has no advantage", func(t *testing.T) {
		q := told
		for now := start; now < start+450; now += 50 {
			next, returned := q.WithReturn("a", now)
			asserter.True(t, !returned, "the client counts as returning")
			q = next
		}
		_, returned := q.WithReturn("a", start+500)
		asserter.True(t, returned, "the promise is forgotten")
	})
	t.Run("a return counts once", func(t *testing.T) {
		q, _ := told.WithReturn("a", start+500)
		_, returned := q.WithReturn("a", start+501)
		asserter.True(t, !returned, "the client returns twice")
		asserter.Equal(t, q.Promised(), 0)
	})
	t.Run("expected returns add to the predicted wait of new requests only", func(t *testing.T) {
		q, now := flowing(30, 20, 20, nil)
		for n := range 10 {
			q = q.WithPromise(buckthorndyke.Fingerprint(fmt.Sprint(n)), request(nil), now+200, now)
		}
		late := func(r *sequencer.Request) { r.Target = start + 5000 }
		assertForecast(t, q, now, late, 820)
		assertForecast(t, q, now, func(r *sequencer.Request) { late(r); r.Returning = true }, 40)
	})
	t.Run("the returns of a caller that floods count for another caller as its share only", func(t *testing.T) {
		q, now := flowing(30, 20, 20, nil)
		for n := range 100 {
			r := request(func(r *sequencer.Request) { r.Caller, r.Priority = "flood", n%3 })
			q = q.WithPromise(buckthorndyke.Fingerprint(fmt.Sprint(n)), r, now+200, now)
		}
		assertForecast(t, q, now, func(r *sequencer.Request) { r.Caller = "small" }, 60)
		// 34 returns are more urgent, one of the 33 others of its priority goes before it.
		assertForecast(t, q, now, func(r *sequencer.Request) { r.Caller, r.Priority = "small", 1 }, (30+34+1+1)*20)
	})
	t.Run("the number of expected returns is bounded, and old ones are dropped", func(t *testing.T) {
		q := sequencer.New()
		for n := range 10000 {
			q = q.WithPromise(buckthorndyke.Fingerprint(fmt.Sprint(n)), request(nil), start+500, start)
		}
		asserter.Equal(t, q.Promised(), 4096)
		q = q.WithPromise("late", request(nil), start+9000, start+8000)
		asserter.Equal(t, q.Promised(), 1)
	})
}

// TestSpread guards against clients that are told to return at the same instant, or later
// than they can.
func TestSpread(t *testing.T) {
	assertSpread := func(t *testing.T, wait, limit, from, to buckthorndyke.Millis) {
		t.Helper()
		seen := make(map[buckthorndyke.Millis]bool)
		for n := range uint64(1000) {
			got := sequencer.Spread(wait, limit, n*0x9e3779b97f4a7c15)
			asserter.True(t, got >= from && got <= to, fmt.Sprintf("%d is not from %d to %d", got, from, to))
			seen[got] = true
		}
		asserter.True(t, len(seen) >= 80, "the clients return together")
	}
	t.Run("clients return after the predicted wait", func(t *testing.T) { assertSpread(t, 1000, 2000, 1000, 1250) })
	t.Run("clients return before their limit", func(t *testing.T) { assertSpread(t, 5000, 600, 300, 600) })
}

// TestSpan guards against predictions from too few requests.
func TestSpan(t *testing.T) {
	var s sequencer.Span
	for range 3 {
		s = s.With(100)
		asserter.Equal(t, s.Value(), 0)
	}
	asserter.Equal(t, s.With(100).Value(), 100)
	for range 100 {
		s = s.With(80).With(120)
	}
	asserter.True(t, s.Value() > 125 && s.Value() < 150, fmt.Sprintf("the prediction is %d", s.Value()))
}
