package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke/launcher"
)

// Size of the rules and times of the measurement.
const (
	// footprintWindow is the time over which CPU time is measured.
	footprintWindow = 10 * time.Second
	// settleTime is the time between applying the rules and the measurement.
	settleTime = 5 * time.Second
	modelCount = 330
)

// footprint prints the memory and CPU use of an idle entry VM's process, for
// several numbers of adapters and entry VMs.
func (b *bench) footprint(ctx context.Context) error {
	_, _ = fmt.Fprintln(b.out, "| entry VMs | models | adapters | resident MB | greatest resident MB | ms of a core a second |")
	_, _ = fmt.Fprintln(b.out, "| --- | --- | --- | --- | --- | --- |")
	for _, size := range []struct{ entries, adapters int }{{1, 75}, {1, 7750}, {1, 31000}, {4, 75}, {8, 75}} {
		if err := b.footprintOf(ctx, size.entries, size.adapters); err != nil {
			return err
		}
	}
	return nil
}

// footprintOf starts a site and prints the table row of its first entry VM.
func (b *bench) footprintOf(ctx context.Context, entries, adapters int) error {
	site, err := launcher.NewSite(ctx, entries, entries, benchService)
	if err != nil {
		return err
	}
	l := launcher.New(b.binary, b.folder)
	processes, err := l.StartSite(ctx, site)
	defer func() {
		for _, p := range processes {
			p.Kill()
		}
	}()
	if err != nil {
		return err
	}
	rules := filepath.Join(b.folder, "footprint.rules")
	if err := os.WriteFile(rules, []byte(footprintRules(adapters)), 0o600); err != nil {
		return errors.Wrap(err, "write the rules")
	}
	if _, err := l.ApplyRules(ctx, site, rules, "bench"); err != nil {
		return err
	}
	time.Sleep(settleTime)
	before, err := processes[1].Usage()
	if err != nil {
		return err
	}
	time.Sleep(footprintWindow)
	after, err := processes[1].Usage()
	if err != nil {
		return err
	}
	cpu := (after.CPU - before.CPU).Seconds() / footprintWindow.Seconds() * 1000
	_, _ = fmt.Fprintf(b.out, "| %d | %d | %d | %d | %d | %.1f |\n",
		entries, modelCount, adapters, after.ResidentKB>>10, after.PeakKB>>10, cpu)
	return nil
}

// footprintRules returns rules with modelCount models and the given number of
// adapters.
func footprintRules(adapters int) string {
	var text strings.Builder
	for i := range modelCount {
		fmt.Fprintf(&text, "model model-%d memory-mb=14000 replicas=2 # asked for by the bench\n", i)
	}
	for i := range adapters {
		fmt.Fprintf(&text, "adapter adapter-%d base=model-%d memory-mb=60 # asked for by the bench\n", i, i%modelCount)
	}
	return text.String()
}
