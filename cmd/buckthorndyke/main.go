// Command buckthorndyke serves many rarely used models by rank.
package main

import (
	"os"

	"github.com/buckthorndyke/buckthorndyke/commander"
)

func main() {
	os.Exit(commander.New().Run(os.Args[1:], os.Stdout, os.Stderr))
}
