// Command bencher measures what an entry VM adds to the latency of a warm model,
// beside the stand-in runner called directly, in one run.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/launcher"
)

// benchTimeout bounds the whole measurement.
const benchTimeout = 3 * buckthorndyke.Minute

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: bencher BINARY")
		os.Exit(2)
	}
	os.Exit(launcher.Main("bencher", benchTimeout.Duration(), func(ctx context.Context) error {
		return launcher.WithFolder("bench", func(folder string) error {
			return newBench(os.Args[1], folder, os.Stdout).run(ctx)
		})
	}))
}
