package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/launcher"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

// Parameters of the demonstration. The caller, the model and the service are in the
// Lakeshore example rules; the caller's token is its name.
const (
	demoCaller  = "demo-town-clerk"
	demoModel   = "hall-reverb"
	demoRunners = 4
	demoService = "bookings"
	entryCount  = 3
	stopTimeout = 60 * buckthorndyke.Second
)

// demonstration starts a site, sends requests to it and stops it.
type demonstration struct {
	binary    string
	clock     buckthorndyke.Clock
	out       io.Writer
	processes []*launcher.Process
	rules     string
}

func newDemonstration(binary, rules string, out io.Writer) *demonstration {
	return &demonstration{binary: binary, clock: timekeeper.NewRealClock(), out: out, rules: rules}
}

// apply applies the rules on all entry VMs and prints the output of the command.
func (d *demonstration) apply(ctx context.Context, l *launcher.Launcher, site launcher.Site) error {
	out, err := l.ApplyRules(ctx, site, d.rules, "demo-operator")
	d.printf("%s", out)
	return err
}

func (d *demonstration) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, format, args...)
}

// run runs the demonstration. If a step fails, it prints the end of the logs and
// kills the remaining processes.
func (d *demonstration) run(ctx context.Context) error {
	return launcher.WithTempDir("demo", func(folder string) error {
		defer d.kill()
		logs, err := os.Create(filepath.Join(folder, "site.log"))
		if err != nil {
			return errors.Wrap(err, "create the log file")
		}
		defer func() { _ = logs.Close() }()
		if err := d.runSteps(ctx, folder, logs); err != nil {
			return errors.CombineErrors(err, d.printTail(logs.Name()))
		}
		return nil
	})
}

// runSteps runs the steps of the demonstration.
func (d *demonstration) runSteps(ctx context.Context, folder string, logs io.Writer) error {
	site, err := launcher.NewSite(ctx, entryCount, demoRunners, demoService)
	if err != nil {
		return err
	}
	l := launcher.New(d.binary, folder, launcher.WithOutput(logs))
	if err := d.start(ctx, l, site); err != nil {
		return err
	}
	if err := d.apply(ctx, l, site); err != nil {
		return err
	}
	if err := d.stream(ctx, site.EntryVMs[0]); err != nil {
		return err
	}
	if err := d.book(ctx, site.EntryVMs[1]); err != nil {
		return err
	}
	return d.stop(ctx)
}

// kill kills the processes that still run after a failure.
func (d *demonstration) kill() {
	for _, p := range d.processes {
		p.Kill()
	}
}

// start starts the stand-ins and the entry VMs.
func (d *demonstration) start(ctx context.Context, l *launcher.Launcher, site launcher.Site) error {
	var err error
	if d.processes, err = l.StartSite(ctx, site); err != nil {
		return err
	}
	for _, e := range site.EntryVMs {
		d.printf("%s serves callers on %s\n", e.Name, e.Callers)
	}
	return nil
}

// stop stops all processes, the stand-ins last, and checks that each exits with 0.
func (d *demonstration) stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout.Duration())
	defer cancel()
	for len(d.processes) > 0 {
		last := len(d.processes) - 1
		p := d.processes[last]
		code, err := p.Stop(ctx)
		if err != nil {
			return err
		}
		d.printf("%s stopped with exit code %d\n", p.Name, code)
		if code != 0 {
			return errors.Newf("%s stopped with exit code %d", p.Name, code)
		}
		d.processes = d.processes[:last]
	}
	return nil
}
