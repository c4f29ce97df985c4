package main

import (
	"fmt"
	"slices"
	"strings"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/evictor"
	"github.com/buckthorndyke/buckthorndyke/scheduler"
)

const (
	// fixedKeepTime is how long the fixed policy keeps an idle model loaded.
	fixedKeepTime = 5 * buckthorndyke.Minute
	// warmDays is the simulated time of a run.
	warmDays = 3
)

// warmCase is one keep-warm policy under one workload.
type warmCase struct {
	deployment deployment
	keepWarm   buckthorndyke.KeepWarmPolicy
	name       string
	// paidOnly leaves out the requests of the free rank.
	paidOnly bool
}

// run simulates the case with one seed for the given number of days.
func (c warmCase) run(seed uint64, days int) *tally {
	length := buckthorndyke.Millis(days) * buckthorndyke.Day
	arrivals := burstyArrivals(c.deployment, seed, length)
	if c.paidOnly {
		arrivals = slices.DeleteFunc(arrivals, func(q request) bool { return !q.rank.Paid() })
	}
	p := policies{admission: scheduler.NewFairShareScheduler(), keepWarm: c.keepWarm}
	return newFleet(c.deployment, seed, p, span{to: length}).run(arrivals)
}

// warmStudy compares the keep-warm policies for one deployment.
type warmStudy struct {
	cases   []warmCase
	results []results
}

// Indices in warmStudy.cases. warmOthers is that of the first case with another
// weight.
const (
	warmAdaptive = iota
	warmFixed
	warmLRU
	warmPaidOnly
	warmOthers
)

// newWarmStudy runs the study for d.
func newWarmStudy(d deployment) warmStudy {
	adaptive := func(weight float64) buckthorndyke.KeepWarmPolicy { return evictor.NewAdaptiveKeepWarm(weight) }
	own := fmt.Sprintf("adaptive, weight %.2f", d.coldStartWeight)
	s := warmStudy{cases: []warmCase{
		warmAdaptive: {deployment: d, keepWarm: adaptive(d.coldStartWeight), name: own},
		warmFixed:    {deployment: d, keepWarm: evictor.NewFixedKeepWarm(fixedKeepTime), name: "fixed time-out, 5 min"},
		warmLRU:      {deployment: d, keepWarm: evictor.NewLRUKeepWarm(), name: "LRU"},
		warmPaidOnly: {deployment: d, keepWarm: adaptive(d.coldStartWeight), name: own + ", no free work", paidOnly: true},
	}}
	for _, weight := range []float64{0.2, 0.5, 0.65, 0.8} {
		if weight != d.coldStartWeight {
			s.cases = append(s.cases, warmCase{
				deployment: d, keepWarm: adaptive(weight), name: fmt.Sprintf("for comparison: adaptive, weight %.2f", weight),
			})
		}
	}
	s.results = runAll(len(s.cases), func(i int, seed uint64) *tally { return s.cases[i].run(seed, warmDays) })
	return s
}

func (s warmStudy) print(w *strings.Builder) {
	for i, c := range s.cases {
		r := s.results[i]
		sum := r.merged()
		row(w, c.deployment.name, c.name,
			fmt.Sprint(sum.arrived()),
			fmt.Sprint(sum.cold.TotalCount()),
			seconds(sum.cold, 50), seconds(sum.cold, 95), seconds(sum.cold, 99)+spreadOf(r, coldP99),
			fmt.Sprint(sum.coldModel.TotalCount()), seconds(sum.coldModel, 99),
			seconds(sum.paidFirstToken, 99),
			fmt.Sprintf("%.1f", idleHours(sum)/float64(len(r)))+spreadOf(r, idleHours),
			fmt.Sprint(sum.evictions), fmt.Sprint(sum.loads), fmt.Sprint(sum.unserved()),
		)
	}
}

// coldP99 returns the 99th percentile of the time to the first token after cold
// starts, in seconds.
func coldP99(t *tally) float64 {
	return float64(t.cold.ValueAtPercentile(99)) / float64(buckthorndyke.Second)
}

// idleHours returns the idle time in accelerator hours.
func idleHours(t *tally) float64 {
	return t.idle / float64(buckthorndyke.Hour)
}
