// Package capacity measures the cost of the control plane at several fleet sizes. The
// slopes between them give the cost at the target size.
package capacity_test

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/standin"
	"github.com/buckthorndyke/buckthorndyke/tester"
)

const (
	// measureWindow is the virtual time over which a cost is measured.
	measureWindow = 30 * buckthorndyke.Second
	// churnInterval is the time between two rules changes under churn.
	churnInterval = 3 * buckthorndyke.Second
	// fullEnvVar is the environment variable that selects all sizes. Without it only the
	// smallest is measured.
	fullEnvVar = "BUCKTHORNDYKE_CAPACITY"
)

// size is the size of a fleet.
type size struct {
	nodes, runners, models int
}

// cost is the cost of the control plane, averaged over one window.
type cost struct {
	appends, reads, bytes float64 // per second, of the whole fleet
	cpu                   float64 // milliseconds of one core per second, for each node
}

// TestControlCost prints the cost of the control plane, idle and with a rules change
// in each churnInterval.
func TestControlCost(t *testing.T) {
	sizes := []size{{nodes: 3, runners: 4, models: 16}}
	if os.Getenv(fullEnvVar) != "" {
		sizes = append(sizes,
			size{nodes: 6, runners: 4, models: 16},
			size{nodes: 12, runners: 4, models: 16},
			size{nodes: 24, runners: 4, models: 16},
			size{nodes: 6, runners: 12, models: 16},
			size{nodes: 6, runners: 36, models: 16},
			size{nodes: 6, runners: 12, models: 64},
			size{nodes: 6, runners: 12, models: 330},
		)
	}
	fmt.Println("| nodes | runners | models | load | appends/s | bytes appended/s | reads/s | CPU ms per second and node |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, s := range sizes {
		for _, churn := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				c := measure(t, s, churn)
				load := "idle"
				if churn {
					load = "churn"
				}
				fmt.Printf("| %d | %d | %d | %s | %.2f | %.0f | %.1f | %.2f |\n",
					s.nodes, s.runners, s.models, load, c.appends, c.bytes, c.reads, c.cpu)
				asserter.True(t, c.reads > 0, "the fleet has not read the log")
			})
		}
	}
}

// measure returns the control cost of a fleet of size s. With churn the rules change
// in each churnInterval.
func measure(t *testing.T, s size, churn bool) cost {
	t.Helper()
	f := tester.NewFleet(t, tester.Config{Nodes: s.nodes, Runners: s.runners})
	f.ApplyRules(rulesFor(s.models, 0))
	f.AwaitServing()
	<-f.Clock.After(measureWindow)
	before, cpu := logStats(t, f), cpuTime(t)
	for passed := buckthorndyke.Millis(0); passed < measureWindow; passed += churnInterval {
		if churn {
			f.ApplyRules(rulesFor(s.models, int(passed)))
		}
		<-f.Clock.After(churnInterval)
	}
	after := logStats(t, f)
	seconds := measureWindow.Duration().Seconds()
	return cost{
		appends: float64(after.Appends-before.Appends) / seconds,
		bytes:   float64(after.AppendedBytes-before.AppendedBytes) / seconds,
		cpu:     (cpuTime(t) - cpu) / seconds / float64(s.nodes),
		reads:   float64(after.Reads-before.Reads) / seconds,
	}
}

// cpuTime returns the CPU time that the process has used, in milliseconds.
func cpuTime(t *testing.T) float64 {
	t.Helper()
	var usage syscall.Rusage
	asserter.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	micros := (usage.Utime.Sec+usage.Stime.Sec)*1_000_000 + usage.Utime.Usec + usage.Stime.Usec
	return float64(micros) / 1000
}

// rulesFor returns tester.Rules with n additional models. Rules of different variants
// differ in one line.
func rulesFor(n, variant int) string {
	var text strings.Builder
	text.WriteString(tester.Rules)
	for i := range n {
		fmt.Fprintf(&text, "model model-%d memory-mb=4000 replicas=2 # asked for by T. Ester\n", i)
	}
	fmt.Fprintf(&text, "adapter variant-%d base=hall memory-mb=60 # asked for by T. Ester\n", variant)
	return text.String()
}

// logStats returns the statistics of the fleet's log.
func logStats(t *testing.T, f *tester.Fleet) standin.LogStats {
	t.Helper()
	s, err := f.Log.Stats(t.Context())
	asserter.NoError(t, err)
	return s
}
