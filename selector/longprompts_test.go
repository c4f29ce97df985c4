package selector_test

import (
	"fmt"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/selector"
)

// besideLong returns a load in which a part of the requests has long prompts and a target of
// their own, at runners that read the most urgent prompts first.
func besideLong(perSecond float64, tokens int, part float64, target buckthorndyke.Millis) load {
	l := mixed(perSecond)
	l.byUrgency, l.digestPart, l.digestTarget, l.longTokens = true, part, target, tokens
	return l
}

// onOneRunner returns the load with a single model on a single runner.
func onOneRunner(l load) load {
	l.duration = buckthorndyke.Minute
	l.holders = map[buckthorndyke.ModelID][]int{fleetModel(0): {0}}
	l.models = func(*site) buckthorndyke.ModelID { return fleetModel(0) }
	return l
}

// besideIgnored runs a load, with long prompts ignored and not, and returns the results of the
// short and the long prompts.
func besideIgnored(t *testing.T, l load) (before, after [2]classResult) {
	t.Helper()
	l.ignoreLong = true
	ignored := runLoad(l)
	l.ignoreLong = false
	yielding := runLoad(l)
	for n, s := range []*site{ignored, yielding} {
		short, long := s.classes[0], s.classes[1]
		t.Logf("%s: short %d, median %d p99 %d in target %d/1000; long %d, median %d p99 %d in target %d/1000; refused %d",
			[]string{"ignore", "yield"}[n], short.arrived, short.firstEvent(50), short.firstEvent(99), short.inTimePermille(),
			long.arrived, long.firstEvent(50), long.firstEvent(99), long.inTimePermille(), s.refused)
	}
	return ignored.classes, yielding.classes
}

// assertInTime reports an error if fewer than permille of a class met their target.
func assertInTime(t *testing.T, c classResult, permille int) {
	t.Helper()
	asserter.True(t, c.inTimePermille() >= permille, fmt.Sprintf("%d of 1000 requests met their target, want %d", c.inTimePermille(), permille))
}

// TestLongPromptLoads guards against short prompts that are late because long ones with time
// left are read first, and against long ones that are starved by that.
func TestLongPromptLoads(t *testing.T) {
	t.Run("calm", func(t *testing.T) {
		_, after := besideIgnored(t, besideLong(300, 9000, 0.1, 2000))
		assertInTime(t, after[0], 995)
		assertInTime(t, after[1], 1000)
	})
	t.Run("nearly full", func(t *testing.T) {
		before, after := besideIgnored(t, besideLong(1100, 9000, 0.1, 2000))
		asserter.True(t, after[0].firstEvent(99)*3 < before[0].firstEvent(99)*2, "short prompts do not gain")
		assertInTime(t, after[0], 985)
		assertInTime(t, after[1], 995)
	})
	t.Run("nearly full, with twice the target", func(t *testing.T) {
		before, after := besideIgnored(t, besideLong(850, 9000, 0.1, 800))
		asserter.True(t, after[0].inTime-before[0].inTime > 3*(before[1].inTime-after[1].inTime), "long prompts lose more than short ones gain")
		assertInTime(t, after[0], 985)
		assertInTime(t, after[1], 950)
	})
	t.Run("some prompts of 39,600 tokens", func(t *testing.T) {
		before, after := besideIgnored(t, besideLong(600, 39600, 0.001, 2000))
		// A prompt that a server has begun to read is not interrupted.
		assertInTime(t, after[0], before[0].inTimePermille()-3)
		assertInTime(t, after[1], 900)
	})
	t.Run("all prompts are long", func(t *testing.T) {
		before, after := besideIgnored(t, besideLong(150, 9000, 1, 2000))
		asserter.Equal(t, after[1].firstEvents, before[1].firstEvents)
	})
	t.Run("nobody sends long prompts", func(t *testing.T) {
		before, after := besideIgnored(t, besideLong(850, 9000, 0, 2000))
		asserter.Equal(t, after[0].firstEvents, before[0].firstEvents)
	})
	t.Run("a hot model on a single runner", func(t *testing.T) {
		before, after := besideIgnored(t, onOneRunner(besideLong(24, 9000, 0.1, 2000)))
		asserter.True(t, after[0].inTime > before[0].inTime, "short prompts do not gain")
		assertInTime(t, after[0], 930)
		assertInTime(t, after[1], 980)
	})
	t.Run("a hot model on a single runner that is overloaded", func(t *testing.T) {
		_, after := besideIgnored(t, onOneRunner(besideLong(40, 9000, 0.1, 2000)))
		// Both classes are served in about the same part.
		for _, c := range after {
			asserter.True(t, len(c.firstEvents)*100 > c.arrived*55, fmt.Sprintf("%d of %d requests were served", len(c.firstEvents), c.arrived))
		}
	})
}

// TestYields guards against prompts that yield although they are short, have no time, or hold
// up nobody.
func TestYields(t *testing.T) {
	a, b := runner("a", hall), runner("b", hall)
	short := selector.Query{Key: hallKey, Now: now, Target: 400, Tokens: 600}
	long := selector.Query{Key: hallKey, Now: now, Target: 2000, Tokens: 9000}
	v := withReads(a, b, 10, 10).WithTarget(short).WithTarget(long)
	// assertYields reports an error if it is not true that a request yields.
	assertYields := func(t *testing.T, v selector.View, want bool, change func(q *selector.Query)) {
		t.Helper()
		q := long
		change(&q)
		asserter.Equal(t, v.Yields(a, q), want)
	}
	t.Run("a long prompt with time left yields", func(t *testing.T) {
		assertYields(t, v, true, func(*selector.Query) {})
	})
	t.Run("a short prompt does not, however long its target", func(t *testing.T) {
		assertYields(t, v, false, func(q *selector.Query) { q.Tokens = 600 })
	})
	t.Run("an average prompt does not, however long servers take for it", func(t *testing.T) {
		slow := withReads(a, b, 100, 100).WithTarget(short)
		assertYields(t, slow, false, func(q *selector.Query) { q.Tokens = 900 })
	})
	t.Run("a long prompt with the shortest target does not", func(t *testing.T) {
		assertYields(t, v, false, func(q *selector.Query) { q.Target = 400 })
	})
	t.Run("one that has waited does not", func(t *testing.T) {
		assertYields(t, v, false, func(q *selector.Query) { q.Waited = 800 })
	})
	t.Run("one that is probably cached does not", func(t *testing.T) {
		only := viewOf(a).WithBackends(viewOf(a).List())
		for n := range 20 {
			tokens := 400 + n%5*400
			only = only.WithFirstEvent(selector.Sent{Backend: a, Key: hallKey, ReadTokens: tokens}, buckthorndyke.Millis(5+tokens/10), now, "")
		}
		only = only.WithTarget(short)
		assertYields(t, only, true, func(*selector.Query) {})
		assertYields(t, only, false, func(q *selector.Query) { q.Prefix, q.PrefixTokens = 7, 8600 })
	})
	t.Run("nothing yields while read times are unknown", func(t *testing.T) {
		assertYields(t, viewOf(a, b).WithTarget(short), false, func(*selector.Query) {})
	})
	t.Run("nothing yields where only long targets are in use", func(t *testing.T) {
		assertYields(t, withReads(a, b, 10, 10).WithTarget(long), false, func(*selector.Query) {})
	})
	t.Run("a target counts for 10 s at least and 20 s at most", func(t *testing.T) {
		for after, want := range map[buckthorndyke.Millis]bool{9900: true, 20_100: false} {
			assertYields(t, v, want, func(q *selector.Query) { q.Now = now + after })
		}
	})
	t.Run("a longer target does not replace a shorter one of the window before", func(t *testing.T) {
		later := long
		later.Now = now + 11*buckthorndyke.Second
		assertYields(t, v.WithTarget(later), true, func(q *selector.Query) { q.Now = later.Now })
	})
}
