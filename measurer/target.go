package main

import (
	"fmt"
	"strings"

	"github.com/buckthorndyke/buckthorndyke"
)

// Targets, in percent.
const (
	freeEffectTarget    = 5
	idleTarget          = 30
	ordinaryShareTarget = 90
	urgentTarget        = 99
)

// target is a value that the policies should reach, and the one that was
// measured.
type target struct {
	deployment string
	measured   string
	met        bool
	name       string
}

// targetsOf compares the results for d with the targets.
func targetsOf(d deployment, warm warmStudy, floods floodStudy) []target {
	var targets []target
	add := func(met bool, name, measured string) {
		targets = append(targets, target{deployment: d.name, met: met, name: name, measured: measured})
	}
	for _, rank := range []buckthorndyke.Rank{buckthorndyke.RankFree, buckthorndyke.RankOrdinary} {
		inTime := percent * floods.find(rank, false).merged().ranks[buckthorndyke.RankUrgent].inTimeShare()
		add(inTime >= urgentTarget, fmt.Sprintf("urgent in time in a flood of %s: at least %d in 100", rank, urgentTarget),
			fmt.Sprintf("%.2f", inTime))
	}
	kept := percent * floods.find(buckthorndyke.RankUrgent, false).merged().ranks[buckthorndyke.RankOrdinary].keptShare()
	add(kept >= ordinaryShareTarget,
		fmt.Sprintf("ordinary keeps of its share in a flood of urgent: at least %d in 100", ordinaryShareTarget),
		fmt.Sprintf("%.2f", kept))
	paid := floods.find(noFlood, true).merged()
	for _, flood := range []buckthorndyke.Rank{noFlood, buckthorndyke.RankFree} {
		effect := changeOf(paid, floods.find(flood, false).merged())
		name := "usual load"
		if flood != noFlood {
			name = "free flood"
		}
		add(effect < freeEffectTarget, fmt.Sprintf("free's presence (%s) raises paid p99 by less than %d in 100", name, freeEffectTarget),
			fmt.Sprintf("%+.2f", effect))
	}
	adaptive, fixed := warm.results[warmAdaptive].merged(), warm.results[warmFixed].merged()
	effect := changeOf(warm.results[warmPaidOnly].merged(), adaptive)
	add(effect < freeEffectTarget, fmt.Sprintf("free's presence (bursts over days) raises paid p99 by less than %d in 100", freeEffectTarget),
		fmt.Sprintf("%+.2f", effect))
	saved := percent * (1 - adaptive.idle/fixed.idle)
	add(saved >= idleTarget, fmt.Sprintf("idle hours under the fixed time-out: at least %d in 100", idleTarget), fmt.Sprintf("%.2f", saved))
	add(coldP99(adaptive) <= coldP99(fixed), "cold-start p99 no worse than with the fixed time-out",
		fmt.Sprintf("%.2f s, fixed %.2f s", coldP99(adaptive), coldP99(fixed)))
	return targets
}

// changeOf returns the change of the paid ranks' p99 time to the first token
// from before to after, in percent.
func changeOf(before, after *tally) float64 {
	p := float64(before.paidFirstToken.ValueAtPercentile(99))
	return percent * (float64(after.paidFirstToken.ValueAtPercentile(99)) - p) / p
}

// print writes the target as a table row.
func (t target) print(w *strings.Builder) {
	verdict := "missed"
	if t.met {
		verdict = "met"
	}
	row(w, t.deployment, t.name, t.measured, verdict)
}
