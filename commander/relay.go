package commander

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke/configurer"
)

func (c *Commander) relayCommand() *command {
	cmd := newCommand("relay", "Relay requests as an entry VM of a platform with a metadata store until SIGTERM, then drain.",
		"relay --settings relay.jsonc")
	var settings string
	cmd.flags.String(&settings, "s", "settings", "The settings file.")
	cmd.run = func(ctx context.Context, out printer) error {
		data, err := readSettings(settings)
		if err != nil {
			return err
		}
		parsed, err := configurer.ParseRelay(data)
		if err != nil {
			return out.reportFaults(settings, err)
		}
		var run func(ctx context.Context, s configurer.Relay) error
		if c.relay != nil {
			run = func(ctx context.Context, s configurer.Relay) error {
				return c.relay(ctx, s, func() ([]byte, error) { return readFile(settings) })
			}
		}
		return runUntilStopped(ctx, run, parsed)
	}
	return cmd
}
