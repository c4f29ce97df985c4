package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/connector"
	"github.com/buckthorndyke/buckthorndyke/launcher"
)

// Models, callers and requests of the benchmark.
const (
	benchModel   = "bench"
	benchRules   = "model bench memory-mb=100 replicas=1 # asked for by the bench\n" + benchCallerRule
	benchService = "bookings"
	benchToken   = "bench-caller-token"
	// benchCallerRule holds the SHA-256 of benchToken.
	benchCallerRule = "caller bench rank=urgent token-sha256=%s # asked for by the bench\n"
	// benchTokens is the number of tokens of a response.
	benchTokens = 8
	// benchRequests is the number of requests of a series with runnerSlots callers.
	benchRequests = 1920
	// keepWarm exceeds benchTimeout, so that the model stays loaded.
	keepWarm    = buckthorndyke.Hour
	runnerSlots = 64
)

// bench starts sites of binary on loopback and measures them.
type bench struct {
	binary string
	folder string
	out    io.Writer
}

func newBench(binary, folder string, out io.Writer) *bench {
	return &bench{binary: binary, folder: folder, out: out}
}

// latency starts a site and measures requests through its entry VM and requests
// sent directly to its runner.
func (b *bench) latency(ctx context.Context) error {
	site, err := launcher.NewSite(ctx, 1, 1, benchService)
	if err != nil {
		return err
	}
	site.RunnerSlots = runnerSlots
	// The owner does not see the jobs that the benchmark sends directly to the
	// runner. Without this override it would evict the model as idle.
	site.Overrides = map[string]any{"keep-warm": map[string]any{"policy": "fixed", "fixed-ms": keepWarm}}
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
	if err := b.apply(ctx, l, site); err != nil {
		return err
	}
	return b.measure(ctx, site)
}

// apply applies the benchmark's rules.
func (b *bench) apply(ctx context.Context, l *launcher.Launcher, site launcher.Site) error {
	rules := filepath.Join(b.folder, "bench.rules")
	text := fmt.Sprintf(benchRules, launcher.TokenSHA256(benchToken))
	if err := os.WriteFile(rules, []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "write the rules")
	}
	_, err := l.ApplyRules(ctx, site, rules, "bench")
	return err
}

// measure prints the latencies of direct requests and of requests through the
// entry VM, with one caller and with as many as the runner has slots.
func (b *bench) measure(ctx context.Context, site launcher.Site) error {
	direct := &directTarget{engine: connector.NewHTTPEngine(site.Runners[0])}
	through := &entryTarget{url: "http://" + site.EntryVMs[0].Callers + "/v1/completions"}
	if err := through.send(ctx); err != nil { // load the model before the measurement
		return err
	}
	_, _ = fmt.Fprintln(b.out, "| callers | way | p50 ms | p95 ms | p99 ms | requests a second |")
	_, _ = fmt.Fprintln(b.out, "| --- | --- | --- | --- | --- | --- |")
	for _, callers := range []int{1, runnerSlots} {
		requests := benchRequests
		if callers == 1 {
			requests /= 8
		}
		d, err := b.series(ctx, direct, callers, requests)
		if err != nil {
			return err
		}
		e, err := b.series(ctx, through, callers, requests)
		if err != nil {
			return err
		}
		b.print(callers, "direct", d)
		b.print(callers, "entry VM", e)
		_, _ = fmt.Fprintf(b.out, "| %d | added | %.2f | %.2f | %.2f | |\n", callers,
			e.quantile(50)-d.quantile(50), e.quantile(95)-d.quantile(95), e.quantile(99)-d.quantile(99))
	}
	return nil
}

// print prints the table row of one series.
func (b *bench) print(callers int, path string, s series) {
	_, _ = fmt.Fprintf(b.out, "| %d | %s | %.2f | %.2f | %.2f | %.0f |\n",
		callers, path, s.quantile(50), s.quantile(95), s.quantile(99), s.perSecond())
}
