package selector_test

import (
	"fmt"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/selector"
)

// mixed returns a load of short and long prompts, a tenth of them long.
func mixed(perSecond float64) load {
	l := scarce(perSecond, 0.02)
	l.digestPart, l.duration = 0.1, 12*buckthorndyke.Second
	return l
}

// assertBetter reports an error if expected times make more requests late than the given part
// of those that are late with the choice by load alone, in hundredths.
func assertBetter(t *testing.T, l load, percent int) {
	t.Helper()
	s := runLoad(l)
	s.note(t)
	l.withoutTimes = true
	before := runLoad(l)
	before.note(t)
	asserter.True(t, (s.late+s.refused)*100 <= (before.late+before.refused)*percent, fmt.Sprintf("%d requests are late or refused, %d by load alone",
		s.late+s.refused, before.late+before.refused))
}

func TestUnevenServers(t *testing.T) {
	t.Run("three speeds of server", func(t *testing.T) {
		l := mixed(600)
		l.speeds = []float64{1, 1.3, 2}
		assertBetter(t, l, 97)
	})
	t.Run("a fifth of the servers is at times 2.5 times slower for 600 ms", func(t *testing.T) {
		l := mixed(600)
		l.disturb = func(s *site) {
			for n, r := range s.runners {
				if n%5 == 0 {
					r.slow = func(at buckthorndyke.Millis) float64 {
						if (at+buckthorndyke.Millis(n)*700)%4000 < 600 {
							return 2.5
						}
						return 1
					}
				}
			}
		}
		// A noisy server must not be excluded: nothing is gained, and little lost.
		assertBetter(t, l, 110)
	})
	t.Run("models whose tokens cost three times as much", func(t *testing.T) {
		l := mixed(600)
		l.costs = make(map[buckthorndyke.ModelID]float64)
		for n := range 8 {
			l.costs[fleetModel(5*n)] = 3
		}
		assertBetter(t, l, 105)
	})
	t.Run("a hot prefix", func(t *testing.T) {
		l := mixed(600)
		l.prefixes = 1
		assertBetter(t, l, 50)
	})
	t.Run("many prefixes", func(t *testing.T) {
		l := mixed(600)
		l.prefixes = 200
		// Long prompts are at risk even on idle runners. Their draw loses a part of the own
		// load's exactness: 47 instead of 40 of 7,173 requests were late.
		assertBetter(t, l, 150)
	})
	t.Run("traffic that moves to another failure domain", func(t *testing.T) {
		l := mixed(600)
		l.vmOf = func(s *site) int {
			if s.now < now+6*buckthorndyke.Second {
				return 3 * s.random.IntN(10)
			}
			return 3*s.random.IntN(10) + 1
		}
		assertBetter(t, l, 110)
	})
}

// withReads returns a view of two runners that have read prompts of 400 to 2,000 tokens in
// the given times for 100 tokens.
func withReads(a, b buckthorndyke.Backend, per100a, per100b buckthorndyke.Millis) selector.View {
	v := viewOf(a, b).WithFleetSize(1)
	for n := range 80 {
		tokens, listed, per100 := 400+n/2%5*400, a, per100a
		if n%2 == 1 {
			listed, per100 = b, per100b
		}
		s := selector.Sent{Backend: listed, Key: hallKey, OutputTokens: 60, ReadTokens: tokens}
		v = v.WithFirstEvent(s, 5+per100*buckthorndyke.Millis(tokens)/100, now, "").WithRest(s, 200, now)
	}
	return v
}

// share returns the part of 400 requests that a server gets, in hundredths.
func share(v selector.View, q selector.Query, id buckthorndyke.RunnerID) int {
	n := 0
	for seed := range uint64(400) {
		q.Seed = seed
		if b, ok := v.Choose(q); ok && b.ID == id {
			n++
		}
	}
	return n / 4
}

func TestExpectedTimes(t *testing.T) {
	a, b := runner("a", hall), runner("b", hall)
	even, uneven := withReads(a, b, 10, 10), withReads(a, b, 10, 30)
	long := selector.Query{Key: hallKey, Now: now, Target: 400, Tokens: 4000}
	t.Run("a slower server gets fewer requests whose target is at risk, but some", func(t *testing.T) {
		got := share(uneven, long, "b")
		asserter.True(t, got > 0 && got < 35, fmt.Sprintf("the slower server gets %d in 100", got))
		got = share(even, long, "b")
		asserter.True(t, got > 40 && got < 60, fmt.Sprintf("one of two equal servers gets %d in 100", got))
	})
	t.Run("requests whose target is not at risk are spread as before", func(t *testing.T) {
		short := long
		short.Tokens = 100
		got := share(uneven, short, "b")
		asserter.True(t, got > 40 && got < 60, fmt.Sprintf("the slower server gets %d in 100", got))
	})
	t.Run("one outlier does not change the share of a server by much", func(t *testing.T) {
		outlier := even.WithFirstEvent(selector.Sent{Backend: b, Key: hallKey, ReadTokens: 2000}, 5000, now, "")
		got := share(outlier, long, "b")
		asserter.True(t, got > 30, fmt.Sprintf("the server gets %d in 100 after one outlier", got))
	})
	t.Run("old data is not used", func(t *testing.T) {
		late := long
		late.Now = now + 61*buckthorndyke.Second
		got := share(uneven, late, "b")
		asserter.True(t, got > 40 && got < 60, fmt.Sprintf("the slower server gets %d in 100 by old data", got))
	})
	t.Run("a server that has started again is not known by what it was before", func(t *testing.T) {
		again := b
		again.Incarnation = 2
		got, ok := uneven.Expected(again, long)
		asserter.True(t, ok, "nothing is expected")
		before, _ := uneven.Expected(b, long)
		asserter.True(t, got.First < before.First, "the new lifetime has the speed of the old one")
	})
	t.Run("the expected time includes prompts that the server has not read yet", func(t *testing.T) {
		idle, _ := even.Expected(a, long)
		busy, _ := even.WithLoad("a", selector.Load{Requests: 1, Unread: 4000}).Expected(a, long)
		asserter.True(t, busy.First > idle.First*3/2, "unread prompts do not count")
	})
	t.Run("a cached prefix is worth the tokens that it saves", func(t *testing.T) {
		q := long
		q.Prefix, q.PrefixTokens = 77, 3000
		cached, _ := even.Choose(q)
		other := buckthorndyke.RunnerID("a")
		if cached.ID == "a" {
			other = "b"
		}
		listed, _ := even.List().Servers.Get(other)
		saves, _ := even.Expected(cached, q)
		without, _ := even.Expected(listed, q)
		asserter.True(t, saves.First < without.First, "a cached prefix saves nothing")
		loaded := even.WithLoad(cached.ID, selector.Load{Requests: 1, Unread: 9000})
		got := share(loaded, q, other)
		asserter.True(t, got > 80, fmt.Sprintf("the other server gets %d in 100 although the one with the prefix has 9,000 tokens to read", got))
	})
	t.Run("a server in another failure domain costs its delay", func(t *testing.T) {
		q := long
		q.Domain = "d1"
		near, far := a, b
		near.Domain, far.Domain = "d1", "d2"
		v := withReads(near, far, 10, 10)
		e1, _ := v.Expected(near, q)
		e2, _ := v.Expected(far, q)
		asserter.Equal(t, e2.First-e1.First, 2)
	})
	t.Run("calls are expected by server", func(t *testing.T) {
		p1, p2 := server("p1"), server("p2")
		v := viewOf(p1, p2)
		key := buckthorndyke.ModelKey{Service: plainService}
		for range 40 {
			v = v.WithCall(selector.Sent{Backend: p1, Key: key}, 30, now).WithCall(selector.Sent{Backend: p2, Key: key}, 90, now)
		}
		e1, _ := v.Expected(p1, selector.Query{Key: key, Now: now})
		e2, _ := v.Expected(p2, selector.Query{Key: key, Now: now})
		asserter.True(t, e1.First < 45 && e2.First > 70, fmt.Sprintf("expected %d and %d ms", e1.First, e2.First))
	})
	t.Run("times are limited to listed servers and to what is recent", func(t *testing.T) {
		asserter.Equal(t, len(uneven.ServerFactors(10, now)), 2)
		asserter.Equal(t, len(uneven.WithBackends(buckthorndyke.Backends{}).WithoutOldTimes(now).ServerFactors(10, now)), 0)
		asserter.Equal(t, len(uneven.WithoutOldTimes(now+61*buckthorndyke.Second).ServerFactors(10, now)), 0)
	})
}
