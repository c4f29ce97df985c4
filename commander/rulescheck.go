package commander

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke/parser"
)

func (c *Commander) rulesCheckCommand() *command {
	cmd := newCommand("check", "Check a rules file and report all its faults.", "rules check lakeshore.rules")
	var path string
	var asJSON bool
	cmd.flags.AddPositionalValue(&path, "FILE", 1, true, "The rules file.")
	cmd.flags.Bool(&asJSON, "j", "json", "Print JSON.")
	cmd.run = func(_ context.Context, out printer) error {
		data, err := readFile(path)
		if err != nil {
			return err
		}
		_, err = parser.NewRules().Parse(string(data))
		return out.reportCheck(path, err, asJSON)
	}
	return cmd
}
