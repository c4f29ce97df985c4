package limiter_test

import (
	"math"
	"reflect"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/limiter"
)

const now = 100 * buckthorndyke.Second

// allowed returns the number of requests that l allows at the same time.
func allowed(l limiter.Limit, at buckthorndyke.Millis) int {
	n := 0
	for n < 1000 && l.Allows(n, at) {
		n++
	}
	return n
}

func TestLimit(t *testing.T) {
	t.Run("an unknown server begins with a fair part of its batch", func(t *testing.T) {
		asserter.Equal(t, allowed(limiter.New(1, 16, 31, 0, now), now), 2)
		asserter.Equal(t, allowed(limiter.New(1, 16, 8, 0, now), now), 4)
		asserter.Equal(t, allowed(limiter.New(1, 48, 0, 0, now), now), 4)
	})
	t.Run("a limit follows the number of VMs once it is known", func(t *testing.T) {
		l := limiter.New(1, 16, 0, 0, now)
		asserter.Equal(t, allowed(l, now), 2)
		asserter.Equal(t, allowed(l.WithPart(16, 4), now), 8)
		asserter.Equal(t, allowed(l.WithPart(16, 300), now), 2)
		low := l.WithPart(16, 300).WithRejected(1, now, now, 0)
		asserter.True(t, low.WithPart(16, 4).Requests() < 1, "the number of VMs has undone a rejection")
	})
	t.Run("a server of unknown size is not limited until it rejects a request", func(t *testing.T) {
		l := limiter.New(1, 0, 31, 0, now)
		asserter.Equal(t, allowed(l, now), 1000)
		l = l.WithRejected(8, now, now, 0)
		asserter.Equal(t, allowed(l, l.ResumeAt()), 6)
	})
	t.Run("successes at the limit raise it, others do not", func(t *testing.T) {
		l := limiter.New(1, 16, 8, 0, now)
		asserter.Equal(t, allowed(l.WithServed(2, now, now+50, false), now+50), 4)
		asserter.Equal(t, allowed(l.WithServed(4, now, now+50, false), now+50), 5)
	})
	t.Run("rejections of requests that were sent together lower the limit once", func(t *testing.T) {
		l := limiter.New(1, 48, 8, 0, now).WithRejected(12, now, now+5, 0)
		asserter.Equal(t, l.WithRejected(11, now, now+5, 0).Requests(), l.Requests())
		asserter.True(t, l.WithRejected(11, now+5, now+9, 0).Requests() < l.Requests(), "a later rejection did not lower the limit")
	})
	t.Run("a limit below one request is a part of the time", func(t *testing.T) {
		l := limiter.New(1, 16, 64, 200, now).WithRejected(1, now, now, 0).WithRejected(1, now, now, 0)
		asserter.True(t, l.Requests() < 0.5, "the limit is not below a half")
		asserter.Equal(t, allowed(l, l.ResumeAt()), 1)
		l = l.WithServed(1, l.ResumeAt(), l.ResumeAt()+200, false)
		asserter.True(t, l.ResumeAt() >= now+400, "the next request follows at once")
		asserter.Equal(t, allowed(l, l.ResumeAt()-1), 0)
	})
	t.Run("the wait after a rejection follows from the time that the server takes", func(t *testing.T) {
		quick := limiter.New(1, 16, 31, 40, now).WithRejected(1, now, now, 0.5)
		slow := limiter.New(1, 16, 31, 400, now).WithRejected(1, now, now, 0.5)
		asserter.Equal(t, []buckthorndyke.Millis{quick.ResumeAt() - now, slow.ResumeAt() - now}, []buckthorndyke.Millis{20, 200})
	})
	t.Run("a quiet server is raised quickly, but not just after a rejection", func(t *testing.T) {
		l := limiter.New(1, 16, 8, 0, now).WithRejected(4, now, now, 0)
		asserter.True(t, l.WithServed(4, now, now+50, true).IsLowered(), "old data has ended the limitation")
		asserter.True(t, !l.WithServed(4, now, now+3*buckthorndyke.Second, true).IsLowered(), "the limitation has not ended")
	})
	t.Run("a limit does not hold for another lifetime of the server, or when it is old", func(t *testing.T) {
		l := limiter.New(1, 16, 8, 0, now)
		asserter.True(t, l.Valid(1, now+9*buckthorndyke.Second), "the limit has expired too early")
		asserter.True(t, !l.Valid(2, now), "the limit holds for another lifetime")
		asserter.True(t, !l.Valid(1, now+10*buckthorndyke.Second), "the limit has not expired")
	})
}

// step is a response to a request.
type step struct {
	After, Took    int
	InFlight       int
	Served, Quiet  bool
	SpreadPercents int
}

func TestLimitProperties(t *testing.T) {
	steps := gen.SliceOf(gen.Struct(reflect.TypeFor[step](), map[string]gopter.Gen{
		"After": gen.IntRange(0, 2000), "Took": gen.IntRange(0, 5000), "InFlight": gen.IntRange(0, 100),
		"Served": gen.Bool(), "Quiet": gen.Bool(), "SpreadPercents": gen.IntRange(0, 100),
	}))
	parameters := gopter.DefaultTestParameters()
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	properties.Property("no sequence of responses closes a server for longer than the bound, or makes the limit unusable", prop.ForAll(
		func(list []step, slots, vms int) bool {
			at := now
			l := limiter.New(1, slots, vms, 0, at)
			for _, s := range list {
				at += buckthorndyke.Millis(s.After)
				sent := at - buckthorndyke.Millis(s.Took)
				if s.Served {
					l = l.WithServed(s.InFlight, sent, at, s.Quiet)
				} else {
					l = l.WithRejected(s.InFlight, sent, at, float64(s.SpreadPercents)/100)
				}
				if math.IsNaN(l.Requests()) || l.Requests() <= 0 || l.ResumeAt() > at+600 || !l.Allows(0, l.ResumeAt()) {
					return false
				}
			}
			return true
		}, steps, gen.IntRange(0, 64), gen.IntRange(0, 400)))
	properties.TestingRun(t)
}
