// Command demonstrator runs a small site on loopback: the stand-ins and three entry
// VMs as processes. It sends streamed requests to a cold and then warm model
// through one entry VM and a booking through another, then stops all
// processes.
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
