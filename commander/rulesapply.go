package commander

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/parser"
	"github.com/buckthorndyke/buckthorndyke/supervisor/operator"
)

// defaultWaitMS is how long rules apply waits for all live VMs.
const defaultWaitMS = 6000

// appliedAnswer is what rules apply prints as JSON.
type appliedAnswer struct {
	operator.ApplyResponse
	// InForceOn lists the live VMs that have the rules in force.
	InForceOn []buckthorndyke.VMID `json:"in-force-on"`
	// Lacking lists the live VMs that have not reported the rules in force.
	Lacking []operator.VMItem `json:"lacking"`
}

// application is one run of rules apply.
type application struct {
	client *client
	clock  buckthorndyke.Clock
	json   bool
	out    printer
	wait   buckthorndyke.Millis
}

func (c *Commander) rulesApplyCommand() *command {
	cmd := newCommand("apply", "Replace the rules if nobody else has changed them, and wait until all live VMs have them in force.",
		"rules apply lakeshore.rules --as \"M. Okafor\" --operator 10.0.0.7:9090 --token-file token")
	var by, path string
	var asJSON bool
	var to target
	waitMS := defaultWaitMS
	cmd.flags.AddPositionalValue(&path, "FILE", 1, true, "The rules file.")
	cmd.flags.String(&by, "a", "as", "The operator's name, for the audit trail.")
	cmd.flags.Bool(&asJSON, "j", "json", "Print JSON.")
	cmd.flags.Int(&waitMS, "w", "wait-ms", "How long to wait for all live VMs, in milliseconds.")
	to.addTo(cmd.flags)
	cmd.run = func(ctx context.Context, out printer) error {
		if by == "" {
			return usageError{cause: "--as NAME is missing"}
		}
		if waitMS < 0 {
			return usageError{cause: "--wait-ms is negative"}
		}
		client, err := to.client()
		if err != nil {
			return err
		}
		a := application{client: client, clock: c.clock, json: asJSON, out: out, wait: buckthorndyke.Millis(waitMS)}
		return a.run(ctx, path, by)
	}
	return cmd
}

// run applies the rules in the file at path.
func (a application) run(ctx context.Context, path, by string) error {
	data, err := readFile(path)
	if err != nil {
		return err
	}
	if _, err := parser.NewRules().Parse(string(data)); err != nil {
		return a.out.faulty(path, err)
	}
	var current operator.RulesResponse
	if err := a.client.get(ctx, operator.PathRules, &current); err != nil {
		return err
	}
	var answer operator.ApplyResponse
	message := operator.ApplyMessage{Base: current.Version, By: by, Text: string(data)}
	if err := a.client.post(ctx, operator.PathRules, message, &answer); err != nil {
		return a.out.faulty(path, outcome(err, "apply the same file again to settle it"))
	}
	if !answer.Accepted {
		return a.rejected(answer)
	}
	return a.accepted(ctx, answer)
}

// accepted waits until the rules are in force and reports where they are.
func (a application) accepted(ctx context.Context, answer operator.ApplyResponse) error {
	start := a.clock.Now()
	f, err := a.awaitForce(ctx, answer.Version)
	if a.json {
		applied := appliedAnswer{ApplyResponse: answer, InForceOn: f.inForceOn, Lacking: f.lacking}
		if failed := a.out.json(applied); failed != nil {
			return failed
		}
	} else {
		a.print(answer, f, a.clock.Now()-start)
	}
	switch {
	case err != nil:
		return errors.Wrapf(err, "version %s is accepted, but it is not known where it is in force; apply the same file again to wait on",
			answer.Version)
	case !f.everywhere():
		return errors.Newf("version %s is accepted, but not in force on all live VMs after %d ms; apply the same file again to wait on",
			answer.Version, a.wait)
	default:
		return nil
	}
}

// print writes where the rules are in force.
func (a application) print(answer operator.ApplyResponse, f force, elapsed buckthorndyke.Millis) {
	state := "accepted"
	if answer.AlreadyInForce {
		state = "already accepted; nothing was changed"
	}
	a.out.printf("version %s: %s\n", answer.Version, state)
	a.out.printf("in force on %d of %d live VMs after %d ms\n", len(f.inForceOn), len(f.inForceOn)+len(f.lacking), elapsed)
	for _, v := range f.lacking {
		reason := v.Error
		if reason == "" {
			reason = "has version " + v.RulesVersion.String()
		}
		a.out.printf("lacking: %s: %s\n", v.VM, reason)
	}
}

// rejected reports that another change was faster, and whose.
func (a application) rejected(answer operator.ApplyResponse) error {
	if a.json {
		if err := a.out.json(answer); err != nil {
			return err
		}
	}
	winner := ""
	if w := answer.Winner; w != nil {
		winner = fmt.Sprintf(", made by %s at %s", w.By, stamp(w.At))
	}
	return errors.Newf("the rules were rejected: %s; the current version is %s%s; read it with rules show, take it into your file and apply again",
		answer.Reason, answer.Version, winner)
}

// stamp returns the log service's wall time at in the form of RFC 3339.
func stamp(at buckthorndyke.Millis) string {
	return time.UnixMilli(int64(at)).UTC().Format(time.RFC3339)
}
