package commander

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke/configurer"
)

func (c *Commander) standInCommand() *command {
	cmd := newCommand("stand-in", "Serve stand-ins for the platform, the runners and the services, for tests and demonstrations.",
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
			return out.reportFaults(settings, err)
		}
		return runUntilStopped(ctx, c.standIn, parsed)
	}
	return cmd
}
