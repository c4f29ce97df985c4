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
	t.Run("a folder without rules is an error", func(t *testing.T) {
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
	t.Run("equal seeds give equal figures", func(t *testing.T) {
		asserter.Equal(t, summary(c.run(testSeed, testFlood)), summary(c.run(testSeed, testFlood)))
	})
	t.Run("other seeds give other figures", func(t *testing.T) {
		asserter.True(t, summary(c.run(testSeed, testFlood)) != summary(c.run(testSeed+1, testFlood)), "the seed has no effect")
	})
	t.Run("free arrivals change no paid ones", func(t *testing.T) {
		with, without := c, c
		without.paidOnly = true
		for _, rank := range []buckthorndyke.Rank{buckthorndyke.RankUrgent, buckthorndyke.RankOrdinary} {
			asserter.Equal(t, with.run(testSeed, testFlood).ranks[rank].arrived, without.run(testSeed, testFlood).ranks[rank].arrived)
		}
	})
}

func TestGate(t *testing.T) {
	// permitOf has n asks for models and n for adapters in a new gate, and
	// returns those that are permitted until the given instant, in order.
	permitOf := func(n int, until buckthorndyke.Millis) (models, adapters []buckthorndyke.Rank) {
		line := &eventLoop{}
		g := &gate{loop: line}
		for i := range n {
			rank := buckthorndyke.Rank(buckthorndyke.RankCount - 1 - i%buckthorndyke.RankCount)
			g.acquire(permitRequest{rank: rank, onGrant: func() { models = append(models, rank) }})
			g.acquire(permitRequest{adapter: true, rank: rank, onGrant: func() { adapters = append(adapters, rank) }})
		}
		for len(line.queue) > 0 && line.queue[0].at <= until {
			line.step()
		}
		return models, adapters
	}
	t.Run("a second permits four models and the limit of adapters", func(t *testing.T) {
		models, adapters := permitOf(60, buckthorndyke.Second)
		asserter.Equal(t, len(models), maxModelLoads)
		asserter.Equal(t, len(adapters), maxAdapterLoads)
	})
	t.Run("models start at intervals", func(t *testing.T) {
		models, _ := permitOf(60, modelStartInterval-1)
		asserter.Equal(t, len(models), 1)
	})
	t.Run("urgent loads go first", func(t *testing.T) {
		models, _ := permitOf(6, buckthorndyke.Minute)
		asserter.Equal(t, models[:3], []buckthorndyke.Rank{buckthorndyke.RankUrgent, buckthorndyke.RankUrgent, buckthorndyke.RankOrdinary})
	})
}

// assertSound reports an error unless each request was served or refused, in
// time, and memory was never overcommitted.
func assertConsistent(t *testing.T, r *tally) {
	t.Helper()
	asserter.True(t, r.arrived() > 0, "no request arrived")
	asserter.True(t, r.loads > 0, "no model was loaded")
	asserter.Equal(t, r.lost(), 0)
	for rank := range r.ranks {
		asserter.Equal(t, r.ranks[rank].late, 0)
	}
	asserter.True(t, r.peakMemoryMB <= runnerMemoryMB, "memory was overcommitted")
	asserter.True(t, r.peakModelLoads <= maxModelLoads, "the weight store's limit was exceeded")
}

// newTestDeployment returns the deployment called name.
func newTestDeployment(t *testing.T, name string) deployment {
	t.Helper()
	d, err := loadDeployment("../examples", name, lakeshoreWeight)
	asserter.NoError(t, err)
	return d
}

// figures are those of a tally that can be compared.
type figures struct {
	Cold, Evictions, Loads int64
	Idle                   float64
	Served                 [buckthorndyke.RankCount]int
}

func summary(r *tally) figures {
	f := figures{Cold: r.cold.TotalCount(), Evictions: int64(r.evictions), Idle: r.idle, Loads: int64(r.loads)}
	for rank, k := range r.ranks {
		f.Served[rank] = k.inTime
	}
	return f
}
