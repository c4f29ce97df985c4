package chooser_test

import (
	"strconv"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/chooser"
)

// seeds is the number of seeds that are tried.
const seeds = 2000

func TestOrder(t *testing.T) {
	t.Run("loaded, then cold by tier, then without owner", func(t *testing.T) {
		got := chooser.Order("m", []chooser.Candidate{
			{Runner: "orphan", Loaded: true},
			{Runner: "remote", Live: true, Tier: buckthorndyke.TierRemote},
			{Runner: "disk", Live: true, Tier: buckthorndyke.TierDisk},
			{Runner: "loaded", Live: true, Loaded: true, Load: 900},
			{Runner: "affine", Live: true, Loaded: true, PrefixCached: true, Load: 950},
		}, 1)
		asserter.Equal(t, got, []buckthorndyke.RunnerID{"affine", "loaded", "disk", "remote", "orphan"})
	})
	t.Run("a full batch outweighs a cached prefix", func(t *testing.T) {
		got := chooser.Order("m", []chooser.Candidate{
			{Runner: "affine", Live: true, Loaded: true, PrefixCached: true, Load: 1000},
			{Runner: "loaded", Live: true, Loaded: true, Load: 100},
		}, 1)
		asserter.Equal(t, got[0], "loaded")
	})
	t.Run("all VMs try equal cold runners in the same order", func(t *testing.T) {
		a := chooser.Candidate{Runner: "a", Live: true}
		b := chooser.Candidate{Runner: "b", Live: true}
		for seed := range uint64(10) {
			asserter.Equal(t,
				chooser.Order("m", []chooser.Candidate{a, b}, seed),
				chooser.Order("m", []chooser.Candidate{b, a}, seed+100))
		}
	})
	t.Run("of two random runners the less loaded is chosen", func(t *testing.T) {
		var candidates []chooser.Candidate
		for i := range 4 {
			candidates = append(candidates, chooser.Candidate{
				Live: true, Load: 100 * i, Loaded: true, Runner: buckthorndyke.RunnerID(strconv.Itoa(i)),
			})
		}
		firsts := make(map[buckthorndyke.RunnerID]int)
		for seed := range uint64(seeds) {
			firsts[chooser.Order("m", candidates, seed)[0]]++
		}
		// The most loaded one is never the better of two. The others are the better
		// one in 3, 2 and 1 of the 6 pairs.
		asserter.Equal(t, firsts["3"], 0)
		asserter.True(t, firsts["0"] > firsts["1"] && firsts["1"] > firsts["2"] && firsts["2"] > seeds/10, "the choices are not spread by load")
	})
}

func TestBudget(t *testing.T) {
	t.Run("retries are a fraction of requests", func(t *testing.T) {
		budget, retries := chooser.NewBudget(), 0
		for range 10000 {
			budget = budget.WithRequest()
			if budget.Allows() {
				retries++
			}
			budget = budget.WithRetry()
		}
		asserter.True(t, retries >= 1000 && retries <= 1000+64, strconv.Itoa(retries)+" retries of 10000 requests")
	})
	t.Run("a smaller burst applies at once, a larger one has to be earned", func(t *testing.T) {
		budget := chooser.NewBudget(chooser.WithBurst(4), chooser.WithRetriesPerThousand(500)).WithBurst(1)
		asserter.True(t, !budget.WithRetry().Allows(), "the balance exceeds the new burst")
		budget = budget.WithRetry().WithBurst(3)
		asserter.True(t, !budget.WithRequest().Allows(), "the balance grows with the burst")
		asserter.True(t, budget.WithRequest().WithRequest().Allows(), "two requests do not earn a retry")
	})
	t.Run("a repeat needs a verdict or an idempotent request", func(t *testing.T) {
		asserter.Equal(t, chooser.Attempt{Verdict: buckthorndyke.NotRun}.MayRepeat(), true)
		asserter.Equal(t, chooser.Attempt{Verdict: buckthorndyke.MayHaveRun}.MayRepeat(), false)
		asserter.Equal(t, chooser.Attempt{Repeatable: true, Verdict: buckthorndyke.MayHaveRun}.MayRepeat(), true)
	})
	t.Run("backoff grows within bounds", func(t *testing.T) {
		for attempt := 1; attempt < 50; attempt++ {
			d := chooser.Backoff(attempt, uint64(attempt))
			asserter.True(t, d >= 10 && d <= buckthorndyke.Second, "backoff out of bounds")
		}
		asserter.True(t, chooser.Backoff(20, 1) > chooser.Backoff(1, 1), "backoff does not grow")
	})
}

func TestLimits(t *testing.T) {
	const many = 5000
	t.Run("the number of prefix hints is limited and the newest are kept", func(t *testing.T) {
		var a chooser.Affinity
		for i := range uint64(many) {
			a = a.WithRunner(i, "r").WithRunner(i, "s")
		}
		_, old := a.RunnerOf(0)
		runner, known := a.RunnerOf(many - 1)
		asserter.Equal(t, old, false)
		asserter.Equal(t, known, true)
		asserter.Equal(t, runner, "s")
	})
}
