package commander

import (
	"context"
	"fmt"

	"github.com/buckthorndyke/buckthorndyke/supervisor/operator"
)

// defaultAuditLimit is the default of the flag --limit.
const defaultAuditLimit = 50

func (c *Commander) auditCommand() *command {
	cmd := newCommand("audit", "Print the attempts to change the rules, accepted or rejected: when, by whom, based on which version, and the changed lines.",
		"audit --limit 10 --operator 10.0.0.7:9090 --token-file token")
	var asJSON bool
	var endpoint operatorEndpoint
	limit := defaultAuditLimit
	cmd.flags.Bool(&asJSON, "j", "json", "Print JSON.")
	cmd.flags.Int(&limit, "l", "limit", "The maximum number of attempts to print; the newest are printed.")
	endpoint.addFlags(cmd.flags)
	cmd.run = func(ctx context.Context, out printer) error {
		if limit < 1 {
			return usageError{cause: "--limit is below 1; expected a whole number from 1"}
		}
		client, err := endpoint.client()
		if err != nil {
			return err
		}
		var response operator.AuditResponse
		path := fmt.Sprintf("%s?%s=%d", operator.PathAudit, operator.ParameterLimit, limit)
		if err := client.get(ctx, path, &response); err != nil {
			return err
		}
		if asJSON {
			return out.json(response)
		}
		for _, e := range response.Entries {
			printAudit(out, e)
		}
		return nil
	}
	return cmd
}

// printAudit writes one attempt to change the rules.
func printAudit(out printer, e operator.AuditItem) {
	result := "accepted"
	if !e.Accepted {
		result = "rejected: " + e.Reason
	}
	out.printf("%s  version %s, from %s, by %s: %s\n", formatTime(e.At), e.Offset, e.Base, e.By, result)
	for _, line := range e.Diff {
		out.printf("    %s\n", line)
	}
}
