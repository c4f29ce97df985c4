package commander

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke/supervisor/operator"
)

func (c *Commander) drainCommand() *command {
	cmd := newCommand("drain", "Make an entry VM hand over its runners, finish its requests and stop.",
		"drain --operator 10.0.0.7:9090 --token-file token")
	var asJSON bool
	var to target
	cmd.flags.Bool(&asJSON, "j", "json", "Print JSON.")
	to.addTo(cmd.flags)
	cmd.run = func(ctx context.Context, out printer) error {
		client, err := to.client()
		if err != nil {
			return err
		}
		var answer operator.DrainResponse
		if err := client.post(ctx, operator.PathDrain, struct{}{}, &answer); err != nil {
			return outcome(err, "see with status whether the VM is leaving")
		}
		if asJSON {
			return out.json(answer)
		}
		out.printf("the entry VM at %s drains and will stop\n", to.address)
		return nil
	}
	return cmd
}
