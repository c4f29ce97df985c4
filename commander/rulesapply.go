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

// defaultWaitMS is the default of the flag --wait-ms.
const defaultWaitMS = 6000

// applyOutput is the JSON output of rules apply.
type applyOutput struct {
	operator.ApplyResponse
	// InForceOn lists the live VMs on which the rules are in force.
	InForceOn []buckthorndyke.VMID `json:"in-force-on"`
	// Lacking lists the live VMs that have not reported that the rules are in force.
	Lacking []operator.VMItem `json:"lacking"`
}

// applyRun is one run of rules apply.
type applyRun struct {
	client *client
	clock  buckthorndyke.Clock
	json   bool
	out    printer
	wait   buckthorndyke.Millis
}

func (c *Commander) rulesApplyCommand() *command {
	cmd := newCommand("apply", "Replace the rules unless another operator changes them at the same time, and wait until they are in force on all live VMs.",
		"rules apply lakeshore.rules --as \"M. Okafor\" --operator 10.0.0.7:9090 --token-file token")
	var by, path string
	var asJSON bool
	var endpoint operatorEndpoint
	waitMS := defaultWaitMS
	cmd.flags.AddPositionalValue(&path, "FILE", 1, true, "The rules file.")
	cmd.flags.String(&by, "a", "as", "The operator's name for the audit trail.")
	cmd.flags.Bool(&asJSON, "j", "json", "Print JSON.")
	cmd.flags.Int(&waitMS, "w", "wait-ms", "How long to wait for the rules to be in force on all live VMs, in milliseconds.")
	endpoint.addFlags(cmd.flags)
	cmd.run = func(ctx context.Context, out printer) error {
		if by == "" {
			return usageError{cause: "--as NAME is missing"}
		}
		if waitMS < 0 {
			return usageError{cause: "--wait-ms is negative; expected 0 or more"}
		}
		client, err := endpoint.client()
		if err != nil {
			return err
		}
		a := applyRun{client: client, clock: c.clock, json: asJSON, out: out, wait: buckthorndyke.Millis(waitMS)}
		return a.run(ctx, path, by)
	}
	return cmd
}

// run applies the rules in the file at path.
func (a applyRun) run(ctx context.Context, path, by string) error {
	data, err := readFile(path)
	if err != nil {
		return err
	}
	if _, err := parser.NewRules().Parse(string(data)); err != nil {
		return a.out.reportFaults(path, err)
	}
	var current operator.RulesResponse
	if err := a.client.get(ctx, operator.PathRules, &current); err != nil {
		return err
	}
	var response operator.ApplyResponse
	message := operator.ApplyMessage{Base: current.Version, By: by, Text: string(data)}
	if err := a.client.post(ctx, operator.PathRules, message, &response); err != nil {
		return a.out.reportFaults(path, unknownIfMayHaveRun(err, "apply the same file again to find out"))
	}
	if !response.Accepted {
		return a.rejected(response)
	}
	return a.accepted(ctx, response)
}

// accepted waits until the rules are in force on all live VMs and prints where they are.
func (a applyRun) accepted(ctx context.Context, response operator.ApplyResponse) error {
	start := a.clock.Now()
	r, err := a.awaitRollout(ctx, response.Version)
	if a.json {
		applied := applyOutput{ApplyResponse: response, InForceOn: r.inForceOn, Lacking: r.lacking}
		if failed := a.out.json(applied); failed != nil {
			return failed
		}
	} else {
		a.print(response, r, a.clock.Now()-start)
	}
	switch {
	case err != nil:
		return errors.Wrapf(err, "version %s is accepted, but it is not known where it is in force; apply the same file again to check",
			response.Version)
	case !r.complete():
		return errors.Newf("version %s is accepted, but not in force on all live VMs after %d ms; apply the same file again to keep waiting",
			response.Version, a.wait)
	default:
		return nil
	}
}

// print writes on which live VMs the rules are in force, as text.
func (a applyRun) print(response operator.ApplyResponse, r rollout, elapsed buckthorndyke.Millis) {
	state := "accepted"
	if response.AlreadyInForce {
		state = "already accepted; nothing was changed"
	}
	a.out.printf("version %s: %s\n", response.Version, state)
	a.out.printf("in force on %d of %d live VMs after %d ms\n", len(r.inForceOn), len(r.inForceOn)+len(r.lacking), elapsed)
	for _, v := range r.lacking {
		reason := v.Error
		if reason == "" {
			reason = "has version " + v.RulesVersion.String()
		}
		a.out.printf("lacking: %s: %s\n", v.VM, reason)
	}
}

// rejected returns the error of a rejected change. It names the operator who made the
// current version.
func (a applyRun) rejected(response operator.ApplyResponse) error {
	if a.json {
		if err := a.out.json(response); err != nil {
			return err
		}
	}
	winner := ""
	if w := response.Winner; w != nil {
		winner = fmt.Sprintf(", made by %s at %s", w.By, formatTime(w.At))
	}
	return errors.Newf("the rules were rejected: %s; the current version is %s%s; print it with rules show, merge it into your file and apply the file again",
		response.Reason, response.Version, winner)
}

// formatTime returns the wall-clock time at of the log service in RFC 3339 format.
func formatTime(at buckthorndyke.Millis) string {
	return time.UnixMilli(int64(at)).UTC().Format(time.RFC3339)
}
