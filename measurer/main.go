// Command measurer measures the policies for admission, placement, choice of
// runner, keep-warm and eviction. It simulates both example deployments with
// seeded random arrivals on a virtual clock, and prints the results as Markdown
// tables.
package main

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// Weights of cold starts against idle time. For Lakeshore cold starts matter
// more, for Klotsiring idle accelerator hours.
const (
	klotsiringWeight = 0.2
	lakeshoreWeight  = 0.65
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: measurer EXAMPLES-FOLDER")
		os.Exit(2)
	}
	if err := run(os.Args[1], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "measurer:", err)
		os.Exit(1)
	}
}

// run measures both deployments, whose rules are in folder, and writes the
// tables to out.
func run(folder string, out io.Writer) error {
	lakeshore, err := loadDeployment(folder, "lakeshore", lakeshoreWeight)
	if err != nil {
		return err
	}
	klotsiring, err := loadDeployment(folder, "klotsiring", klotsiringWeight)
	if err != nil {
		return err
	}
	deployments := []deployment{lakeshore, klotsiring}
	var warm []warmStudy
	var floods []floodStudy
	for _, d := range deployments {
		warm = append(warm, newWarmStudy(d))
		floods = append(floods, newFloodStudy(d))
	}
	var w strings.Builder
	fmt.Fprintf(&w, "Seeds %v. Times in seconds; in parentheses the least and the greatest value of one seed.\n\n", seeds)
	fmt.Fprintf(&w, "Cold starts and idle time, %d days a seed:\n\n", warmDays)
	header(&w, "deployment", "keep-warm", "requests", "cold starts", "cold p50", "cold p95", "cold p99",
		"of models", "their p99", "paid first token p99",
		"idle accelerator hours a seed", "evictions", "loads", "not served")
	for _, s := range warm {
		s.print(&w)
	}
	fmt.Fprintf(&w, "\nService in time by rank, in hundredths, in floods of %d times the capacity:\n\n", floodFactor)
	header(&w, "deployment", "admission", "scenario", "urgent in time", "ordinary in time", "free in time",
		"urgent keeps of its share", "ordinary keeps of its share", "paid first token p99", "evictions", "loads", "lost")
	for _, s := range floods {
		s.print(&w)
	}
	fmt.Fprint(&w, "\nTargets:\n\n")
	header(&w, "deployment", "target", "seen", "verdict")
	for i, d := range deployments {
		for _, t := range targetsOf(d, warm[i], floods[i]) {
			t.print(&w)
		}
	}
	_, err = io.WriteString(out, w.String())
	return errors.Wrap(err, "write the tables")
}
