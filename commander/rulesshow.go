package commander

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke/supervisor/operator"
)

func (c *Commander) rulesShowCommand() *command {
	cmd := newCommand("show", "Print the rules in force.", "rules show --operator 10.0.0.7:9090 --token-file token > current.rules")
	var asJSON bool
	var endpoint operatorEndpoint
	cmd.flags.Bool(&asJSON, "j", "json", "Print JSON that includes the version.")
	endpoint.addFlags(cmd.flags)
	cmd.run = func(ctx context.Context, out printer) error {
		client, err := endpoint.client()
		if err != nil {
			return err
		}
		var response operator.RulesResponse
		if err := client.get(ctx, operator.PathRules, &response); err != nil {
			return err
		}
		if asJSON {
			return out.json(response)
		}
		out.printf("%s", response.Text)
		return nil
	}
	return cmd
}
