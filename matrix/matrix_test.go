package matrix_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/tester"
)

const (
	// pairs is the number of cells with two random faults.
	pairs = 64
	// pairSpread bounds the time between the two faults of a pair.
	pairSpread = 4 * buckthorndyke.Second
	// seed determines the pairs.
	seed = 1
)

// full runs all cells instead of a sample.
var full = flag.Bool("matrix.full", false, "run all cells")

// collector collects the results of all cells.
var collector *actor[table]

func TestMain(m *testing.M) {
	flag.Parse()
	var stop func() table
	collector, stop = startTable()
	code := m.Run()
	var summary strings.Builder
	stop().print(&summary)
	_, _ = os.Stdout.WriteString(summary.String())
	os.Exit(code)
}

func TestMatrix(t *testing.T) {
	known := readKnownRed()
	for _, c := range cells() {
		if !*full && !c.sampled() {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			assertHolds(t, c, known)
		})
	}
}

// namedCell is a cell with its name and its place in the table.
type namedCell struct {
	cell
	fault      string
	name       string
	section    string
	skipReason string
}

// cells returns all cells in a fixed order.
func cells() []namedCell {
	var all []namedCell
	for _, checks := range []bool{false, true} {
		for _, s := range steps {
			for _, f := range faults {
				all = append(all, newCell("once", cell{checksFencingToken: checks, faults: []fault{f}, step: s, times: 1}))
			}
		}
	}
	for i, s := range steps {
		for j, f := range faults {
			c := cell{checksFencingToken: (i+j)%2 == 0, faults: []fault{f}, step: s, times: 2}
			all = append(all, newCell("twice", c))
		}
	}
	random := rand.New(rand.NewPCG(seed, seed))
	for i := range pairs {
		first, second := faults[random.IntN(len(faults))], faults[random.IntN(len(faults))]
		c := cell{
			checksFencingToken: i%2 == 0, step: steps[random.IntN(len(steps))], times: 1,
			faults: []fault{first, later(second, buckthorndyke.Millis(random.Int64N(int64(pairSpread))))},
		}
		n := newCell("pairs", c)
		n.name = fmt.Sprintf("%s/%d", n.name, i)
		all = append(all, n)
	}
	return all
}

// sampledFaults and sampledSteps are the faults and steps of the cells that run
// without -matrix.full.
var (
	sampledFaults = []string{
		"process killed", "log down", "log answer lost", "runner killed", "caller gone", "operators racing",
	}
	sampledSteps = []string{"received", "streaming"}
)

// sampled reports whether the cell runs without -matrix.full.
func (c namedCell) sampled() bool {
	return c.times == 1 && !c.checksFencingToken && slices.Contains(sampledFaults, c.fault) &&
		slices.Contains(sampledSteps, c.step.name)
}

// newCell returns a cell with the name of its subtest.
func newCell(section string, c cell) namedCell {
	var names []string
	skipReason := ""
	for _, f := range c.faults {
		names = append(names, f.name)
		if skipReason == "" {
			skipReason = f.skipReason(c.step)
		}
	}
	runner := "ignores-fence"
	if c.checksFencingToken {
		runner = "checks-fence"
	}
	fault := strings.Join(names, " + ")
	title := section
	if section == "once" {
		title += ", runners: " + runner
	}
	return namedCell{
		cell: c, fault: fault,
		name:    strings.ReplaceAll(strings.Join([]string{section, runner, c.step.name, fault}, "/"), " ", "-"),
		section: title, skipReason: skipReason,
	}
}

// later returns f injected at a delay of d after the step.
func later(f fault, d buckthorndyke.Millis) fault {
	start := f.start
	f.start = func(r *run, ev decodedEvent) tester.Fault {
		go func() {
			r.sleep(d)
			r.observer.update(r.ctx, func(*observerState) { start(r, ev) })
		}()
		return tester.Fault{}
	}
	return f
}

// assertHolds runs a cell, adds its result to the table and reports an error if a
// guarantee is violated, unless the cell is a known red one.
func assertHolds(t *testing.T, c namedCell, known []knownRed) {
	t.Helper()
	r := result{fault: c.fault, name: t.Name(), section: c.section, step: c.step.name, verdict: verdictHeld}
	defer func() {
		collector.update(context.Background(), func(all *table) { all.results = append(all.results, r) })
	}()
	if c.skipReason != "" {
		r.verdict, r.detail = verdictNotApplicable, []string{c.skipReason}
		return
	}
	for _, v := range c.run(t) {
		r.verdict = verdictBroken
		r.detail = append(r.detail, v.String())
	}
	if r.verdict != verdictBroken {
		return
	}
	if isKnownRed(known, t.Name(), r.detail) {
		r.verdict = verdictKnownRed
		t.Logf("known red: %s", strings.Join(r.detail, "; "))
		return
	}
	t.Error(strings.Join(r.detail, "; "))
}
