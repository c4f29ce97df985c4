package sequencer_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/sequencer"
)

const (
	// start is the instant at which the requests of these tests begin to wait.
	start   = 100 * buckthorndyke.Second
	engines = buckthorndyke.ServiceID("engines")
)

// hall is the key of most requests of these tests.
var hall = keyOf("hall")

// keyOf returns the key of a model.
func keyOf(model buckthorndyke.ModelID) buckthorndyke.ModelKey {
	return buckthorndyke.ModelKey{Model: model, Service: engines}
}

// request returns a request that waits from start on, with a target of 400 ms and a
// deadline of 6 s.
func request(change func(r *sequencer.Request)) sequencer.Request {
	r := sequencer.Request{Cost: 100, Deadline: start + 6000, Key: hall, Since: start, Target: start + 400, Until: start + 3000}
	if change != nil {
		change(&r)
	}
	return r
}

// queueOf returns a queue with requests, which get the tickets from 1 on.
func queueOf(requests ...sequencer.Request) sequencer.Queue {
	q := sequencer.New()
	for _, r := range requests {
		q, _ = q.With(r)
	}
	return q
}

// drain offers slots at now until none is taken, at most n, and returns the requests that
// took one, and the queue.
func drain(q sequencer.Queue, now buckthorndyke.Millis, n int) ([]sequencer.Request, sequencer.Queue) {
	pass := q.Pass(now, func(buckthorndyke.ModelKey) bool { return true })
	var out []sequencer.Request
	for range n {
		r, ok := pass.Next()
		if !ok {
			break
		}
		pass, out = pass.WithGranted(r), append(out, r)
	}
	return out, pass.Queue()
}

// assertOrder reports an error unless the requests are offered slots at now in the order of
// the given tickets.
func assertOrder(t *testing.T, q sequencer.Queue, now buckthorndyke.Millis, want ...sequencer.Ticket) {
	t.Helper()
	served, left := drain(q, now, len(want))
	var got []sequencer.Ticket
	for _, r := range served {
		got = append(got, r.Ticket)
	}
	asserter.Equal(t, got, want)
	asserter.Equal(t, left.Len(), q.Len()-len(want))
}

// TestOrder guards against an order in which requests miss targets and deadlines that
// another order meets.
func TestOrder(t *testing.T) {
	t.Run("the most urgent requests are first", func(t *testing.T) {
		q := queueOf(
			request(func(r *sequencer.Request) { r.Priority = 2 }),
			request(func(r *sequencer.Request) { r.Priority = 0; r.Target = start + 3000 }),
			request(func(r *sequencer.Request) { r.Priority = 1 }),
		)
		assertOrder(t, q, start, 2, 3, 1)
	})
	t.Run("of requests that can meet their targets, the one with the least slack is first", func(t *testing.T) {
		q := queueOf(
			request(func(r *sequencer.Request) { r.Target = start + 900 }),
			request(nil),
			request(func(r *sequencer.Request) { r.Target, r.Service = start+1000, 800 }),
		)
		assertOrder(t, q, start, 3, 2, 1)
	})
	t.Run("a request that can meet its target goes before one that has missed it", func(t *testing.T) {
		q := queueOf(request(nil), request(func(r *sequencer.Request) { r.Target = start + 900 }))
		assertOrder(t, q, start+500, 2, 1)
	})
	t.Run("a request that can meet its deadline goes before one that cannot", func(t *testing.T) {
		q := queueOf(
			request(func(r *sequencer.Request) { r.Deadline = start + 700 }),
			request(func(r *sequencer.Request) { r.Deadline = start + 1500 }),
		)
		assertOrder(t, q, start+800, 2, 1)
	})
	t.Run("requests without a target go by their deadlines", func(t *testing.T) {
		q := queueOf(
			request(func(r *sequencer.Request) { r.Target = 0 }),
			request(func(r *sequencer.Request) { r.Target, r.Deadline = 0, start+300 }),
			request(nil),
		)
		assertOrder(t, q, start, 2, 3, 1)
	})
	t.Run("a client that returns as it was told goes before new ones of its rank", func(t *testing.T) {
		q := queueOf(
			request(nil),
			request(func(r *sequencer.Request) { r.Returning = true; r.Target = start + 2000 }),
			request(func(r *sequencer.Request) { r.Returning = true; r.Priority = 1 }),
		)
		assertOrder(t, q, start, 2, 1, 3)
	})
	t.Run("an operator can choose the order of arrival", func(t *testing.T) {
		q := sequencer.New(sequencer.WithArrivalOrder())
		for priority := range 20 {
			q, _ = q.With(request(func(r *sequencer.Request) {
				r.Priority, r.Target, r.Caller = 20-priority, start+buckthorndyke.Millis(1000-priority), buckthorndyke.CallerID(fmt.Sprint(priority%3))
			}))
		}
		served, _ := drain(q, start+2900, 20)
		asserter.Equal(t, len(served), 20)
		asserter.True(t, slices.IsSortedFunc(served, func(a, b sequencer.Request) int { return cmp.Compare(a.Ticket, b.Ticket) }), "the requests are not in the order of arrival")
	})
}

// TestKeys guards against one free slot that causes a scan of all waiting requests, and
// against requests that are held up by others whose key has no free slot.
func TestKeys(t *testing.T) {
	other := request(func(r *sequencer.Request) { r.Key = keyOf("gym"); r.Target = start + 900 })
	t.Run("a key without a free slot is not offered another one in the pass", func(t *testing.T) {
		q := queueOf(request(nil), request(nil), other, request(nil))
		pass := q.Pass(start, func(buckthorndyke.ModelKey) bool { return true })
		r, _ := pass.Next()
		asserter.Equal(t, r.Ticket, 1)
		pass = pass.WithoutKey(r.Key)
		r, _ = pass.Next()
		asserter.Equal(t, r.Ticket, 3)
		_, ok := pass.WithGranted(r).Next()
		asserter.True(t, !ok, "the key is offered a slot again")
		asserter.Equal(t, pass.WithGranted(r).Queue().Len(), 3)
	})
	t.Run("a pass covers the keys that the server holds", func(t *testing.T) {
		pass := queueOf(request(nil), other).Pass(start, func(key buckthorndyke.ModelKey) bool { return key.Model == "gym" })
		r, _ := pass.Next()
		asserter.Equal(t, r.Ticket, 2)
		_, ok := pass.WithGranted(r).Next()
		asserter.True(t, !ok, "another key is offered a slot")
	})
	t.Run("a request that cannot take a slot does not hold up others with its key", func(t *testing.T) {
		restricted := request(func(r *sequencer.Request) { r.Restricted = true; r.Target = start + 300 })
		q := queueOf(restricted, restricted, request(nil))
		pass := q.PassOf(start, hall)
		for want := sequencer.Ticket(1); want <= 2; want++ {
			r, _ := pass.Next()
			asserter.Equal(t, r.Ticket, want)
			pass = pass.WithSkipped(r)
		}
		r, _ := pass.Next()
		asserter.Equal(t, r.Ticket, 3)
		r, _ = q.PassOf(start, hall).WithoutRestricted(engines).Next()
		asserter.Equal(t, r.Ticket, 3)
	})
	t.Run("the keys of requests that no longer wait are forgotten", func(t *testing.T) {
		q := queueOf(request(nil), other)
		asserter.Equal(t, slices.Collect(q.Keys()), []buckthorndyke.ModelKey{other.Key, hall})
		q = q.Without(1)
		asserter.True(t, !q.Waits(hall), "the key still waits")
		asserter.Equal(t, q.Without(1).Without(2).Len(), 0)
	})
}

// TestExpiry guards against requests that wait for longer than they may.
func TestExpiry(t *testing.T) {
	q := queueOf(request(nil), request(func(r *sequencer.Request) { r.Until = start + 500 }), request(func(r *sequencer.Request) { r.Until = start + 400 }))
	assertExpired := func(t *testing.T, q sequencer.Queue, now buckthorndyke.Millis, want ...sequencer.Ticket) {
		t.Helper()
		var got []sequencer.Ticket
		for r := range q.Expired(now) {
			got = append(got, r.Ticket)
		}
		asserter.Equal(t, got, want)
	}
	t.Run("requests expire in the order of their limits", func(t *testing.T) {
		at, ok := q.NextExpiry()
		asserter.True(t, ok && at == start+400, "the first expiry is wrong")
		assertExpired(t, q, start+399)
		assertExpired(t, q, start+400, 3)
		assertExpired(t, q, start+500, 3, 2)
	})
	t.Run("a limit can change", func(t *testing.T) {
		assertExpired(t, q.WithUntil(1, start+100), start+100, 1)
		assertExpired(t, q.WithUntil(3, start+900).WithUntil(9, start), start+500, 2)
	})
}

// TestFairness guards against a caller that delays the others by many or by large requests.
func TestFairness(t *testing.T) {
	t.Run("a caller that floods does not delay another one", func(t *testing.T) {
		q := sequencer.New()
		for range 1000 {
			q, _ = q.With(request(func(r *sequencer.Request) { r.Caller = "flood" }))
		}
		for range 20 {
			q, _ = q.With(request(func(r *sequencer.Request) { r.Caller = "small"; r.Target = start + 900 }))
		}
		served, _ := drain(q, start, 60)
		asserter.True(t, countOf(served, "small") == 20, "the small caller has to wait for the flood")
	})
	t.Run("of sixteen callers two large ones get no more than the others ask for and leave", func(t *testing.T) {
		q := sequencer.New()
		for n := range 16 {
			caller := buckthorndyke.CallerID(fmt.Sprint(n))
			waiting := 40
			if n < 2 {
				waiting = 800
			}
			for range waiting {
				q, _ = q.With(request(func(r *sequencer.Request) { r.Caller = caller }))
			}
		}
		served, _ := drain(q, start, 480)
		for n := range 16 {
			got := countOf(served, buckthorndyke.CallerID(fmt.Sprint(n)))
			asserter.True(t, got >= 25 && got <= 36, fmt.Sprintf("caller %d got %d of 480 slots", n, got))
		}
	})
	t.Run("shares are counted by cost, and large requests are served", func(t *testing.T) {
		q := sequencer.New()
		for range 300 {
			q, _ = q.With(request(func(r *sequencer.Request) { r.Caller = "large"; r.Cost = 1000 }))
			q, _ = q.With(request(func(r *sequencer.Request) { r.Caller = "small" }))
		}
		served, _ := drain(q, start, 220)
		large, small := countOf(served, "large"), countOf(served, "small")
		asserter.True(t, large >= 10 && large <= 40 && small >= 180, fmt.Sprintf("%d large and %d small requests were served", large, small))
	})
	t.Run("a caller that waited for a model that was not loaded displaces the others for a short time only", func(t *testing.T) {
		q := sequencer.New()
		for range 400 {
			q, _ = q.With(request(func(r *sequencer.Request) { r.Caller = "late"; r.Key = keyOf("cold") }))
			q, _ = q.With(request(func(r *sequencer.Request) { r.Caller = "busy" }))
		}
		pass := q.PassOf(start, hall)
		for range 200 {
			r, _ := pass.Next()
			pass = pass.WithGranted(r)
		}
		served, _ := drain(pass.Queue(), start, 80)
		asserter.True(t, countOf(served, "busy") >= 15, "the others are displaced")
	})
}

// countOf returns the number of a caller's requests.
func countOf(requests []sequencer.Request, caller buckthorndyke.CallerID) int {
	n := 0
	for _, r := range requests {
		if r.Caller == caller {
			n++
		}
	}
	return n
}

// TestAgeing guards against requests that are passed over until they expire, and against
// aged requests that displace urgent ones.
func TestAgeing(t *testing.T) {
	old := func(r *sequencer.Request) { r.Since, r.Until, r.Priority = start-2000, start+1000, 3 }
	t.Run("one slot of eight goes to the longest waiting request", func(t *testing.T) {
		q := sequencer.New()
		for range 64 {
			q, _ = q.With(request(nil))
		}
		for range 64 {
			q, _ = q.With(request(old))
		}
		served, _ := drain(q, start, 64)
		aged := 0
		for _, r := range served {
			if r.Priority == 3 {
				aged++
			}
		}
		asserter.Equal(t, aged, 8)
	})
	t.Run("a request that has just begun to wait takes no turn", func(t *testing.T) {
		q := sequencer.New()
		for range 64 {
			q, _ = q.With(request(nil))
		}
		q, _ = q.With(request(func(r *sequencer.Request) { r.Priority = 3 }))
		served, _ := drain(q, start, 64)
		for _, r := range served {
			asserter.Equal(t, r.Priority, 0)
		}
	})
	t.Run("a large request and a rare model get their turns beside a flood of others", func(t *testing.T) {
		q := sequencer.New()
		q, _ = q.With(request(func(r *sequencer.Request) { r.Cost, r.Target = 40000, start+2000 }))
		q, _ = q.With(request(func(r *sequencer.Request) { r.Key, r.Target = keyOf("rare"), start+2000 }))
		now, left := start, 2
		for step := 0; step < 29 && left > 0; step++ {
			now += 100
			for range 20 {
				q, _ = q.With(request(func(r *sequencer.Request) {
					r.Since, r.Target, r.Deadline, r.Until = now, now+400, now+6000, now+3000
				}))
			}
			served, next := drain(q, now, 10)
			q = next
			for _, r := range served {
				if r.Ticket <= 2 {
					left--
				}
			}
		}
		asserter.Equal(t, left, 0)
	})
}

// TestModel compares a queue with a list, to guard against requests that are lost or
// counted twice in one of the indices.
func TestModel(t *testing.T) {
	for seed := range uint64(20) {
		draw := rand.New(rand.NewPCG(seed, 1))
		q := sequencer.New()
		list := make(map[sequencer.Ticket]sequencer.Request)
		now := start
		for range 400 {
			switch draw.IntN(4) {
			case 0, 1:
				r := request(func(r *sequencer.Request) {
					r.Caller, r.Cost = buckthorndyke.CallerID(fmt.Sprint(draw.IntN(4))), draw.IntN(500)
					r.Key, r.Priority, r.Service = keyOf(buckthorndyke.ModelID(fmt.Sprint(draw.IntN(5)))), draw.IntN(3), buckthorndyke.Millis(draw.IntN(300))
					r.Target, r.Until = now+buckthorndyke.Millis(draw.IntN(900)), now+buckthorndyke.Millis(draw.IntN(3000))
					r.Restricted, r.Returning = draw.IntN(5) == 0, draw.IntN(5) == 0
				})
				q, r = q.With(r)
				list[r.Ticket] = r
			case 2:
				ticket := sequencer.Ticket(draw.IntN(200))
				q = q.Without(ticket).WithUntil(ticket+1, now+50)
				delete(list, ticket)
				if r, ok := list[ticket+1]; ok {
					r.Until = now + 50
					list[ticket+1] = r
				}
			default:
				var served []sequencer.Request
				served, q = drain(q, now, draw.IntN(4))
				for _, r := range served {
					asserter.Equal(t, r, list[r.Ticket])
					delete(list, r.Ticket)
				}
				now += buckthorndyke.Millis(draw.IntN(200))
			}
		}
		assertSame(t, q, list, now)
	}
}

// assertSame reports an error unless all views of the queue show the requests in list.
func assertSame(t *testing.T, q sequencer.Queue, list map[sequencer.Ticket]sequencer.Request, now buckthorndyke.Millis) {
	t.Helper()
	expired, byKey := 0, make(map[buckthorndyke.ModelKey]int)
	for _, r := range list {
		if r.Until <= now {
			expired++
		}
		byKey[r.Key]++
		got, ok := q.Get(r.Ticket)
		asserter.True(t, ok && got == r, "a request is missing or differs")
	}
	asserter.Equal(t, q.Len(), len(list))
	asserter.Equal(t, len(slices.Collect(q.Expired(now))), expired)
	asserter.Equal(t, len(slices.Collect(q.Keys())), len(byKey))
	for key, n := range byKey {
		asserter.Equal(t, len(slices.Collect(q.Of(key))), n)
	}
	served, left := drain(q, now, len(list)+1)
	asserter.Equal(t, len(served), len(list))
	asserter.Equal(t, left.Len(), 0)
}
