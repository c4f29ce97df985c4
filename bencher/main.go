// Command bencher measures processes on loopback. "latency" compares requests to a
// warm model through an entry VM with requests sent directly to the stand-in
// runner, in the same run. "footprint" measures the memory and CPU use of an idle
// entry VM at several sizes.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/launcher"
)

// benchTimeout bounds the whole measurement.
const benchTimeout = 4 * buckthorndyke.Minute

func main() {
	if len(os.Args) != 3 || (os.Args[1] != "latency" && os.Args[1] != "footprint") {
		fmt.Fprintln(os.Stderr, "usage: bencher latency|footprint BINARY")
		os.Exit(2)
	}
	os.Exit(launcher.Main("bencher", benchTimeout.Duration(), func(ctx context.Context) error {
		return launcher.WithTempDir("bench", func(folder string) error {
			b := newBench(os.Args[2], folder, os.Stdout)
			if os.Args[1] == "footprint" {
				return b.footprint(ctx)
			}
			return b.latency(ctx)
		})
	}))
}
