// Command bencher measures what an entry VM adds to the latency of a warm model,
// beside the stand-in runner called directly, in one run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/buckthorndyke/buckthorndyke"
)

// benchTimeout bounds the whole measurement.
const benchTimeout = 3 * buckthorndyke.Minute

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: bencher BINARY")
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	ctx, cancel := context.WithTimeout(ctx, benchTimeout.Duration())
	err := newBench(os.Args[1], os.Stdout).run(ctx)
	cancel()
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "bencher:", err)
		os.Exit(1)
	}
}
