package evictor_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/evictor"
)

const (
	loadTime = 5 * buckthorndyke.Second
	model    = buckthorndyke.ModelID("hall")
)

func TestAdaptiveKeepWarm(t *testing.T) {
	t.Run("a model requested every few minutes is kept until the next request", func(t *testing.T) {
		p := arrive(evictor.NewAdaptiveKeepWarm(0.5), 20, 100*buckthorndyke.Second)
		keep := p.KeepFor(model, loadTime)
		asserter.True(t, keep >= 100*buckthorndyke.Second && keep <= 4*buckthorndyke.Minute, fmt.Sprintf("kept for %d ms", keep))
	})
	t.Run("a model requested once a day is not kept until the next request", func(t *testing.T) {
		p := arrive(evictor.NewAdaptiveKeepWarm(0.5), 20, buckthorndyke.Day)
		asserter.True(t, p.KeepFor(model, loadTime) < 10*buckthorndyke.Minute, "the keep-warm time is too long")
	})
	t.Run("a higher weight of cold starts gives a longer keep-warm time", func(t *testing.T) {
		low := arriveAtRandom(evictor.NewAdaptiveKeepWarm(0.2)).KeepFor(model, loadTime)
		high := arriveAtRandom(evictor.NewAdaptiveKeepWarm(0.9)).KeepFor(model, loadTime)
		asserter.True(t, low < high, fmt.Sprintf("kept for %d ms and %d ms", low, high))
	})
	t.Run("weight 0 keeps no model and weight 1 keeps models for long", func(t *testing.T) {
		asserter.Equal(t, arriveAtRandom(evictor.NewAdaptiveKeepWarm(0)).KeepFor(model, loadTime), 0)
		asserter.True(t, arriveAtRandom(evictor.NewAdaptiveKeepWarm(1)).KeepFor(model, loadTime) >= buckthorndyke.Hour, "the keep-warm time is too short")
	})
	t.Run("a longer load time gives a longer keep-warm time", func(t *testing.T) {
		p := arriveAtRandom(evictor.NewAdaptiveKeepWarm(0.5))
		asserter.True(t, p.KeepFor(model, loadTime/50) < p.KeepFor(model, 4*loadTime), "the load time has no effect")
	})
	t.Run("the arrivals of all models are used for a model without arrivals", func(t *testing.T) {
		unknown := evictor.NewAdaptiveKeepWarm(0.5)
		known := arrive(unknown, 200, 10*buckthorndyke.Second)
		got, limit := known.KeepFor("new", loadTime), unknown.KeepFor("new", loadTime)/2
		asserter.True(t, got >= 10*buckthorndyke.Second && got < limit, fmt.Sprintf("kept for %d ms, not below %d ms", got, limit))
	})
	t.Run("a model requested less often is worth less", func(t *testing.T) {
		rare := arrive(evictor.NewAdaptiveKeepWarm(0.5), 20, buckthorndyke.Hour)
		often := arrive(evictor.NewAdaptiveKeepWarm(0.5), 20, buckthorndyke.Minute)
		asserter.True(t, rare.Worth(model, loadTime, 20*buckthorndyke.Hour) < often.Worth(model, loadTime, 20*buckthorndyke.Minute), "the model requested less often is worth more")
	})
	t.Run("an earlier value does not change", func(t *testing.T) {
		p := arrive(evictor.NewAdaptiveKeepWarm(0.5), 20, buckthorndyke.Minute)
		before := p.KeepFor(model, loadTime)
		p.WithArrival(model, buckthorndyke.Day)
		asserter.Equal(t, p.KeepFor(model, loadTime), before)
	})
}

func TestBaselines(t *testing.T) {
	t.Run("a fixed keep-warm time is the same for all models", func(t *testing.T) {
		asserter.Equal(t, evictor.NewFixedKeepWarm(buckthorndyke.Minute).KeepFor(model, loadTime), buckthorndyke.Minute)
	})
	t.Run("the least recently used model is worth least", func(t *testing.T) {
		p := evictor.NewLRUKeepWarm().WithArrival("old", 1).WithArrival("new", 2)
		asserter.True(t, p.Worth("old", loadTime, 3) < p.Worth("new", loadTime, 3), "the more recently used model is worth less")
	})
}

// BenchmarkMemoryPerModel reports the memory used per model by the histograms of n
// models.
func BenchmarkMemoryPerModel(b *testing.B) {
	for _, n := range []int{1000, 31000} {
		b.Run(fmt.Sprintf("models=%d", n), func(b *testing.B) {
			models := make([]buckthorndyke.ModelID, n)
			for i := range models {
				models[i] = buckthorndyke.ModelID(fmt.Sprintf("adapter-%05d", i))
			}
			var p buckthorndyke.KeepWarmPolicy
			for b.Loop() {
				before := heap()
				p = evictor.NewAdaptiveKeepWarm(0.5)
				for round := range buckthorndyke.Millis(2) {
					for _, m := range models {
						p = p.WithArrival(m, round*buckthorndyke.Minute)
					}
				}
				b.ReportMetric(float64(heap()-before)/float64(n), "bytes/model")
			}
			runtime.KeepAlive(p)
		})
	}
}

// BenchmarkKeepFor measures one computation of a keep-warm time.
func BenchmarkKeepFor(b *testing.B) {
	p := arriveAtRandom(evictor.NewAdaptiveKeepWarm(0.5))
	for b.Loop() {
		p.KeepFor(model, loadTime)
	}
}

// arrive returns p after n requests at equal intervals.
func arrive(p buckthorndyke.KeepWarmPolicy, n int, interval buckthorndyke.Millis) buckthorndyke.KeepWarmPolicy {
	for i := range n {
		p = p.WithArrival(model, buckthorndyke.Millis(i)*interval)
	}
	return p
}

// arriveAtRandom returns p after 500 requests at exponentially distributed intervals.
func arriveAtRandom(p buckthorndyke.KeepWarmPolicy) buckthorndyke.KeepWarmPolicy {
	random := rand.New(rand.NewPCG(1, 2))
	now := buckthorndyke.Millis(0)
	for range 500 {
		now += buckthorndyke.Millis(random.ExpFloat64() * float64(2*buckthorndyke.Minute))
		p = p.WithArrival(model, now)
	}
	return p
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
