package commander

import (
	"context"
	"fmt"

	"github.com/buckthorndyke/buckthorndyke/supervisor/operator"
)

// defaultAuditLimit is the number of attempts that audit prints.
const defaultAuditLimit = 50

func (c *Commander) auditCommand() *command {
	cmd := newCommand("audit", "Print who changed the rules, when, based on what, and how; rejected attempts included.",
		"audit --limit 10 --operator 10.0.0.7:9090 --token-file token")
	var asJSON bool
	var from target
	limit := defaultAuditLimit
	cmd.flags.Bool(&asJSON, "j", "json", "Print JSON.")
	cmd.flags.Int(&limit, "l", "limit", "The number of newest attempts to print.")
	from.addTo(cmd.flags)
	cmd.run = func(ctx context.Context, out printer) error {
		if limit < 1 {
			return usageError{cause: "--limit is below 1"}
		}
		client, err := from.client()
		if err != nil {
			return err
		}
		var answer operator.AuditResponse
		path := fmt.Sprintf("%s?%s=%d", operator.PathAudit, operator.ParameterLimit, limit)
		if err := client.get(ctx, path, &answer); err != nil {
			return err
		}
		if asJSON {
			return out.json(answer)
		}
		for _, e := range answer.Entries {
			printAudit(out, e)
		}
		return nil
	}
	return cmd
}

// printAudit writes one attempt to change the rules.
func printAudit(out printer, e operator.AuditItem) {
	ruling := "accepted"
	if !e.Accepted {
		ruling = "rejected: " + e.Reason
	}
	out.printf("%s  version %s, from %s, by %s: %s\n", stamp(e.At), e.Offset, e.Base, e.By, ruling)
	for _, line := range e.Diff {
		out.printf("    %s\n", line)
	}
}
