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
	cmd := newCommand("status", "Print members, runners with their owners, placements and the rules in force on each live VM.",
		"status --operator 10.0.0.7:9090 --token-file token")
	var asJSON bool
	var from target
	cmd.flags.Bool(&asJSON, "j", "json", "Print JSON.")
	from.addTo(cmd.flags)
	cmd.run = func(ctx context.Context, out printer) error {
		client, err := from.client()
		if err != nil {
			return err
		}
		var answer operator.StatusResponse
		if err := client.get(ctx, operator.PathStatus, &answer); err != nil {
			return err
		}
		if asJSON {
			return out.json(answer)
		}
		printStatus(out, answer)
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
	out.printf("log %s, at tail %t, offset %s, rules version %s, unknown records %d\n\n",
		log, s.CaughtUp, s.Offset, s.RulesVersion, s.UnknownRecords)
	out.table(memberRows(s))
	out.printf("\n")
	rows := [][]string{{"RUNNER", "DOMAIN", "OWNER", "EPOCH", "CHECKS FENCE"}}
	for _, r := range s.Runners {
		rows = append(rows, []string{
			string(r.Runner), string(r.Domain), string(r.Owner), r.Epoch.String(), strconv.FormatBool(r.ChecksFencingToken),
		})
	}
	out.table(rows)
	out.printf("\n")
	rows = [][]string{{"MODEL", "PERMITTED ON", "WITHDRAWN FROM"}}
	for _, p := range s.Placements {
		rows = append(rows, []string{string(p.Model), join(p.Runners), join(p.Withdrawn)})
	}
	out.table(rows)
}

// memberRows returns the members with the rules in force on them.
func memberRows(s operator.StatusResponse) [][]string {
	rules := make(map[buckthorndyke.VMID]string)
	for _, v := range s.VMs {
		rules[v.VM] = "version " + v.RulesVersion.String()
		if v.Error != "" {
			rules[v.VM] = "not known: " + v.Error
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

// join returns the names of runners with commas between, or a dash.
func join(runners []buckthorndyke.RunnerID) string {
	if len(runners) == 0 {
		return "-"
	}
	return strings.Trim(strings.ReplaceAll(fmt.Sprint(runners), " ", ", "), "[]")
}
