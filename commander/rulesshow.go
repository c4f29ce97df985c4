package commander

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke/supervisor/operator"
)

func (c *Commander) rulesShowCommand() *command {
	cmd := newCommand("show", "Print the rules in force.", "rules show --operator 10.0.0.7:9090 --token-file token > current.rules")
	var asJSON bool
	var from target
	cmd.flags.Bool(&asJSON, "j", "json", "Print JSON, with the version.")
	from.addTo(cmd.flags)
	cmd.run = func(ctx context.Context, out printer) error {
		client, err := from.client()
		if err != nil {
			return err
		}
		var answer operator.RulesResponse
		if err := client.get(ctx, operator.PathRules, &answer); err != nil {
			return err
		}
		if asJSON {
			return out.json(answer)
		}
		out.printf("%s", answer.Text)
		return nil
	}
	return cmd
}
