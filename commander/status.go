package commander

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/supervisor/operator"
)

func (c *Commander) statusCommand() *command {
	cmd := newCommand("status", "Print the members with the rules version in force on each, the runners with their owners, the placements, and the callers.",
		"status --operator 10.0.0.7:9090 --token-file token")
	var asJSON bool
	var endpoint operatorEndpoint
	cmd.flags.Bool(&asJSON, "j", "json", "Print JSON.")
	endpoint.addFlags(cmd.flags)
	cmd.run = func(ctx context.Context, out printer) error {
		client, err := endpoint.client()
		if err != nil {
			return err
		}
		var response operator.StatusResponse
		if err := client.get(ctx, operator.PathStatus, &response); err != nil {
			return err
		}
		if asJSON {
			return out.json(response)
		}
		printStatus(out, response)
		return nil
	}
	return cmd
}

// printStatus writes the fleet's status as tables.
func printStatus(out printer, s operator.StatusResponse) {
	log := "up"
	if s.LogDown {
		log = "down"
	}
	out.printf("log %s, caught up %t, offset %s, rules version %s, unknown records %d\n\n",
		log, s.CaughtUp, s.Offset, s.RulesVersion, s.UnknownRecords)
	out.table(memberRows(s))
	out.printf("\n")
	rows := [][]string{{"RUNNER", "DOMAIN", "OWNER", "EPOCH", "CHECKS FENCING TOKEN"}}
	for _, r := range s.Runners {
		rows = append(rows, []string{
			string(r.Runner), string(r.Domain), string(r.Owner), r.Epoch.String(), strconv.FormatBool(r.ChecksFencingToken),
		})
	}
	out.table(rows)
	out.printf("\n")
	rows = [][]string{{"MODEL", "PERMITTED ON", "WITHDRAWN FROM"}}
	for _, p := range s.Placements {
		rows = append(rows, []string{string(p.Model), joinRunners(p.Runners), joinRunners(p.Withdrawn)})
	}
	out.table(rows)
	out.printf("\n")
	rows = [][]string{{"CALLER", "RANK"}}
	for _, c := range s.Callers {
		rows = append(rows, []string{string(c.Caller), c.Rank})
	}
	out.table(rows)
}

// memberRows returns a table of the members with the rules version in force on each.
func memberRows(s operator.StatusResponse) [][]string {
	rules := make(map[buckthorndyke.VMID]string)
	for _, v := range s.VMs {
		rules[v.VM] = "version " + v.RulesVersion.String()
		if v.Error != "" {
			rules[v.VM] = "unknown: " + v.Error
		}
	}
	rows := [][]string{{"MEMBER", "DOMAIN", "PEER ADDRESS", "LEAVING", "RULES IN FORCE"}}
	for _, m := range s.Members {
		rows = append(rows, []string{
			string(m.VM), string(m.Domain), m.PeerAddress, strconv.FormatBool(m.Leaving), rules[m.VM],
		})
	}
	return rows
}

// joinRunners returns the names of runners separated by commas, or a dash if there are
// none.
func joinRunners(runners []buckthorndyke.RunnerID) string {
	if len(runners) == 0 {
		return "-"
	}
	return strings.Trim(strings.ReplaceAll(fmt.Sprint(runners), " ", ", "), "[]")
}
