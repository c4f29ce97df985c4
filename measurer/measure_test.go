package main

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/evictor"
	"github.com/buckthorndyke/buckthorndyke/scheduler"
)

const (
	testFlood = 20 * buckthorndyke.Second
	testSeed  = 7
)

func TestDeployments(t *testing.T) {
	for _, tc := range []struct {
		name   string
		models int
	}{{"lakeshore", 65 + 75}, {"klotsiring", 70 + 65}} {
		t.Run(tc.name, func(t *testing.T) {
			d := newTestDeployment(t, tc.name)
			asserter.Equal(t, len(d.models), tc.models)
			asserter.Equal(t, len(d.runners), runnerCount)
		})
	}
	t.Run("a folder without rules files is an error", func(t *testing.T) {
		asserter.Error(t, run(t.TempDir(), nil))
	})
}

func TestFloodCases(t *testing.T) {
	d := newTestDeployment(t, "lakeshore")
	admissions := map[string]buckthorndyke.AdmissionPolicy{
		"shared": scheduler.NewFairShareScheduler(), "fifo": scheduler.NewFIFO(),
	}
	for name, admission := range admissions {
		for flood := range noFlood + 1 {
			c := floodCase{admission: admission, deployment: d, flood: flood}
			t.Run(name+" in "+c.scenario(), func(t *testing.T) {
				assertConsistent(t, c.run(testSeed, testFlood))
			})
		}
	}
}

func TestWarmCases(t *testing.T) {
	d := newTestDeployment(t, "klotsiring")
	for name, keepWarm := range map[string]buckthorndyke.KeepWarmPolicy{
		"adaptive": evictor.NewAdaptiveKeepWarm(d.coldStartWeight),
		"fixed":    evictor.NewFixedKeepWarm(fixedKeepTime),
		"lru":      evictor.NewLRUKeepWarm(),
	} {
		t.Run(name, func(t *testing.T) {
			assertConsistent(t, warmCase{deployment: d, keepWarm: keepWarm}.run(testSeed, 1))
		})
	}
}

func TestDeterminism(t *testing.T) {
	d := newTestDeployment(t, "lakeshore")
	c := floodCase{admission: scheduler.NewFairShareScheduler(), deployment: d, flood: buckthorndyke.RankOrdinary}
	t.Run("equal seeds give equal results", func(t *testing.T) {
		asserter.Equal(t, figuresOf(c.run(testSeed, testFlood)), figuresOf(c.run(testSeed, testFlood)))
	})
	t.Run("different seeds give different results", func(t *testing.T) {
		asserter.True(t, figuresOf(c.run(testSeed, testFlood)) != figuresOf(c.run(testSeed+1, testFlood)), "the seed has no effect")
	})
	t.Run("free requests do not change the paid arrivals", func(t *testing.T) {
		with, without := c, c
		without.paidOnly = true
		for _, rank := range []buckthorndyke.Rank{buckthorndyke.RankUrgent, buckthorndyke.RankOrdinary} {
			asserter.Equal(t, with.run(testSeed, testFlood).ranks[rank].arrived, without.run(testSeed, testFlood).ranks[rank].arrived)
		}
	})
}

func TestGate(t *testing.T) {
	// grantsOf requests n permits for models and n for adapters from a new gate. It
	// returns the ranks of those granted until the given instant, in order.
	grantsOf := func(n int, until buckthorndyke.Millis) (models, adapters []buckthorndyke.Rank) {
		loop := &eventLoop{}
		g := &gate{loop: loop}
		for i := range n {
			rank := buckthorndyke.Rank(buckthorndyke.RankCount - 1 - i%buckthorndyke.RankCount)
			g.acquire(permitRequest{rank: rank, onGrant: func() { models = append(models, rank) }})
			g.acquire(permitRequest{adapter: true, rank: rank, onGrant: func() { adapters = append(adapters, rank) }})
		}
		for len(loop.queue) > 0 && loop.queue[0].at <= until {
			loop.step()
		}
		return models, adapters
	}
	t.Run("a second grants four models and adapters up to their limit", func(t *testing.T) {
		models, adapters := grantsOf(60, buckthorndyke.Second)
		asserter.Equal(t, len(models), maxModelLoads)
		asserter.Equal(t, len(adapters), maxAdapterLoads)
	})
	t.Run("models start at intervals", func(t *testing.T) {
		models, _ := grantsOf(60, modelStartInterval-1)
		asserter.Equal(t, len(models), 1)
	})
	t.Run("urgent loads are granted first", func(t *testing.T) {
		models, _ := grantsOf(6, buckthorndyke.Minute)
		asserter.Equal(t, models[:3], []buckthorndyke.Rank{buckthorndyke.RankUrgent, buckthorndyke.RankUrgent, buckthorndyke.RankOrdinary})
	})
}

// assertConsistent checks that each request has an outcome and none was granted
// late, and that neither a runner's memory nor the weight store's limit was
// exceeded.
func assertConsistent(t *testing.T, r *tally) {
	t.Helper()
	asserter.True(t, r.arrived() > 0, "no request arrived")
	asserter.True(t, r.loads > 0, "no model was loaded")
	asserter.Equal(t, r.lost(), 0)
	for rank := range r.ranks {
		asserter.Equal(t, r.ranks[rank].late, 0)
	}
	asserter.True(t, r.peakMemoryMB <= runnerMemoryMB, "a runner's memory was exceeded")
	asserter.True(t, r.peakModelLoads <= maxModelLoads, "the weight store's limit was exceeded")
}

// newTestDeployment returns the example deployment called name.
func newTestDeployment(t *testing.T, name string) deployment {
	t.Helper()
	d, err := loadDeployment("../examples", name, lakeshoreWeight)
	asserter.NoError(t, err)
	return d
}

// figures is the comparable part of a tally.
type figures struct {
	Cold, Evictions, Loads int64
	Idle                   float64
	Served                 [buckthorndyke.RankCount]int
}

func figuresOf(r *tally) figures {
	f := figures{Cold: r.cold.TotalCount(), Evictions: int64(r.evictions), Idle: r.idle, Loads: int64(r.loads)}
	for rank, k := range r.ranks {
		f.Served[rank] = k.inTime
	}
	return f
}
