package commander

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke/configurer"
)

func (c *Commander) settingsCheckCommand() *command {
	cmd := newCommand("check", "Check a settings file and report all its faults. Files that contain secrets are not read.",
		"settings check entry.jsonc")
	var path string
	var asJSON, relay, standIn bool
	cmd.flags.AddPositionalValue(&path, "FILE", 1, true, "The settings file.")
	cmd.flags.Bool(&asJSON, "j", "json", "Print JSON.")
	cmd.flags.Bool(&relay, "", "relay", "The file contains the settings of a relaying entry VM.")
	cmd.flags.Bool(&standIn, "", "stand-in", "The file contains the settings of the stand-ins.")
	cmd.run = func(_ context.Context, out printer) error {
		data, err := readFile(path)
		if err != nil {
			return err
		}
		switch {
		case relay:
			_, err = configurer.ParseRelay(data)
		case standIn:
			_, err = configurer.ParseStandIn(data)
		default:
			_, err = configurer.ParseServe(data)
		}
		return out.reportCheck(path, err, asJSON)
	}
	return cmd
}
