// Command demonstrator shows a small site at work: the stand-ins and three entry
// VMs as processes on loopback, a streamed request to a cold model through one
// entry VM and a booking through another. It ends by itself and leaves no
// process behind.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/launcher"
)

// demoTimeout bounds the whole demonstration.
const demoTimeout = 2 * buckthorndyke.Minute

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: demonstrator BINARY RULES")
		os.Exit(2)
	}
	os.Exit(launcher.Main("demonstrator", demoTimeout.Duration(), func(ctx context.Context) error {
		return newDemonstration(os.Args[1], os.Args[2], os.Stdout).run(ctx)
	}))
}
