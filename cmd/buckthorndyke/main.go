// Command buckthorndyke serves many rarely used models and prioritizes requests by
// rank.
package main

import (
	"context"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke/assembler"
	"github.com/buckthorndyke/buckthorndyke/commander"
	"github.com/buckthorndyke/buckthorndyke/configurer"
	"github.com/buckthorndyke/buckthorndyke/standin"
)

func main() {
	c := commander.New(
		commander.WithRelay(assembler.New(os.Stdout).Relay),
		commander.WithServe(assembler.New(os.Stderr).Serve),
		commander.WithStandIn(serveStandIns),
	)
	os.Exit(c.Run(os.Args[1:], os.Stdout, os.Stderr))
}

// serveStandIns runs the stand-ins until ctx ends.
func serveStandIns(ctx context.Context, s configurer.StandIn) error {
	err := standin.NewSite(standin.SiteConfigOf(s)).Serve(ctx)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
