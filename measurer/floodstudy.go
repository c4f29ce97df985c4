package main

import (
	"fmt"
	"strings"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/evictor"
	"github.com/buckthorndyke/buckthorndyke/scheduler"
)

const (
	// floodFactor is the arrival rate of a flood as a multiple of the fleet's
	// capacity.
	floodFactor = 10
	// floodStart is when the flood starts. Requests that arrive earlier are not
	// counted.
	floodStart = 3 * buckthorndyke.Minute
	floodTime  = 3 * buckthorndyke.Minute
	// noFlood, in place of a rank, means that there is no flood.
	noFlood buckthorndyke.Rank = buckthorndyke.RankCount
)

// usualLoads are the arrival rates of the ranks outside floods, as fractions of
// the fleet's capacity.
var usualLoads = [buckthorndyke.RankCount]float64{0.15, 0.25, 0.15}

// floodCase is one admission policy under one flood.
type floodCase struct {
	admission  buckthorndyke.AdmissionPolicy
	deployment deployment
	flood      buckthorndyke.Rank
	name       string
	// paidOnly leaves out the requests of the free rank.
	paidOnly bool
	// skewed requests all models by popularity, so that runners are unevenly
	// loaded.
	skewed bool
}

// run simulates the case with one seed and a flood of the given length.
func (c floodCase) run(seed uint64, length buckthorndyke.Millis) *tally {
	end := floodStart + length
	measured := span{from: floodStart, to: end}
	var sources [][]request
	for r, load := range usualLoads {
		rank := buckthorndyke.Rank(r)
		if rank.Paid() || !c.paidOnly {
			source := poissonSource{during: span{to: end}, load: load, rank: rank, skewed: c.skewed}
			sources = append(sources, source.arrivals(c.deployment, seed))
		}
	}
	if c.flood != noFlood {
		source := poissonSource{during: measured, load: floodFactor, rank: c.flood, skewed: c.skewed, stream: 1}
		sources = append(sources, source.arrivals(c.deployment, seed))
	}
	p := policies{admission: c.admission, keepWarm: evictor.NewAdaptiveKeepWarm(c.deployment.coldStartWeight)}
	return newFleet(c.deployment, seed, p, measured).run(merge(sources...))
}

// scenario describes the workload.
func (c floodCase) scenario() string {
	name := "no flood"
	if c.flood != noFlood {
		name = c.flood.String() + " flood"
	}
	if c.paidOnly {
		name += ", no free work"
	}
	if c.skewed {
		name += ", all models at once"
	}
	return name
}

// floodStudy compares the admission policies for one deployment.
type floodStudy struct {
	cases   []floodCase
	results []results
}

// newFloodStudy runs the study for d.
func newFloodStudy(d deployment) floodStudy {
	var s floodStudy
	add := func(name string, admission buckthorndyke.AdmissionPolicy) {
		c := floodCase{admission: admission, deployment: d, flood: noFlood, name: name, paidOnly: true}
		s.cases = append(s.cases, c)
		c.paidOnly = false
		for _, c.flood = range []buckthorndyke.Rank{noFlood, buckthorndyke.RankFree, buckthorndyke.RankOrdinary, buckthorndyke.RankUrgent} {
			s.cases = append(s.cases, c)
		}
	}
	add("shared", scheduler.NewFairShareScheduler())
	add("FIFO", scheduler.NewFIFO())
	for flood := range noFlood + 1 {
		s.cases = append(s.cases, floodCase{
			admission: scheduler.NewFairShareScheduler(), deployment: d, flood: flood, name: "shared", skewed: true,
		})
	}
	s.results = runAll(len(s.cases), func(i int, seed uint64) *tally { return s.cases[i].run(seed, floodTime) })
	return s
}

// find returns the results of the fair-share scheduler for a balanced workload,
// or nil.
func (s floodStudy) find(flood buckthorndyke.Rank, paidOnly bool) results {
	for i, c := range s.cases {
		if c.flood == flood && c.paidOnly == paidOnly && !c.skewed {
			return s.results[i]
		}
	}
	return nil
}

func (s floodStudy) print(w *strings.Builder) {
	for i, c := range s.cases {
		r := s.results[i]
		sum := r.merged()
		cells := []string{c.deployment.name, c.name, c.scenario()}
		for rank := range buckthorndyke.Rank(buckthorndyke.RankCount) {
			cells = append(cells, percentage(sum.ranks[rank].inTimeShare())+spreadOf(r, func(t *tally) float64 {
				return t.ranks[rank].inTimeShare() * percent
			}))
		}
		cells = append(cells,
			percentage(sum.ranks[buckthorndyke.RankUrgent].keptShare()), percentage(sum.ranks[buckthorndyke.RankOrdinary].keptShare()),
			seconds(sum.paidFirstToken, 99), fmt.Sprint(sum.evictions), fmt.Sprint(sum.loads), fmt.Sprint(sum.lost()),
		)
		row(w, cells...)
	}
}
