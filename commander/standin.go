package commander

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke/configurer"
)

func (c *Commander) standInCommand() *command {
	cmd := newCommand("stand-in", "Serve stand-ins of the platform, runners and services, for tests and the demo.",
		"stand-in --settings stand-in.jsonc")
	var settings string
	cmd.flags.String(&settings, "s", "settings", "The settings file.")
	cmd.run = func(ctx context.Context, out printer) error {
		data, err := readSettings(settings)
		if err != nil {
			return err
		}
		parsed, err := configurer.ParseStandIn(data)
		if err != nil {
			return out.faulty(settings, err)
		}
		return runUntilStopped(ctx, c.standIn, parsed)
	}
	return cmd
}
