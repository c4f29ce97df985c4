package commander

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke/supervisor/operator"
)

func (c *Commander) drainCommand() *command {
	cmd := newCommand("drain", "Make an entry VM hand over its runners, finish its requests and stop.",
		"drain --operator 10.0.0.7:9090 --token-file token")
	var asJSON bool
	var endpoint operatorEndpoint
	cmd.flags.Bool(&asJSON, "j", "json", "Print JSON.")
	endpoint.addFlags(cmd.flags)
	cmd.run = func(ctx context.Context, out printer) error {
		client, err := endpoint.client()
		if err != nil {
			return err
		}
		var response operator.DrainResponse
		if err := client.post(ctx, operator.PathDrain, struct{}{}, &response); err != nil {
			return unknownIfMayHaveRun(err, "run status to see whether the VM is leaving")
		}
		if asJSON {
			return out.json(response)
		}
		out.printf("the entry VM at %s is draining and will stop\n", endpoint.address)
		return nil
	}
	return cmd
}
