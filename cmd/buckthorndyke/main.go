// Command buckthorndyke serves many rarely used models by rank.
package main

import (
	"os"

	"github.com/buckthorndyke/buckthorndyke/assembler"
	"github.com/buckthorndyke/buckthorndyke/commander"
)

func main() {
	c := commander.New(commander.WithServe(assembler.New(os.Stderr).Serve))
	os.Exit(c.Run(os.Args[1:], os.Stdout, os.Stderr))
}
