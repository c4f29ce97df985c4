package operator

import (
	"context"
	"fmt"
	"strings"
	"unicode"

	"github.com/buckthorndyke/buckthorndyke"
)

// Limits of the operations.
const (
	// fleetTimeout bounds the time to ask all live VMs.
	fleetTimeout = 2 * buckthorndyke.Second
	// maxByBytes bounds the name of an operator.
	maxByBytes = 128
	// stateTimeout bounds the time to wait for the first state after the start.
	stateTimeout = 2 * buckthorndyke.Second
)

// Operations are what operators can ask of an entry VM, whatever the front end
// that decoded their requests. They hold no state of their own.
type Operations struct {
	drain    func()
	fleet    buckthorndyke.FleetReporter
	follower buckthorndyke.Follower
	metrics  buckthorndyke.MetricsReporter
	parser   buckthorndyke.RulesParser
	proposer buckthorndyke.Proposer
}

// ApplyRequest asks for other rules.
type ApplyRequest struct {
	// Base is the version that the new rules were made from.
	Base buckthorndyke.Offset
	// By names the operator.
	By   string
	Text string
}

// ApplyResult is the ruling on an ApplyRequest.
type ApplyResult struct {
	Accepted bool
	// InForce is set if the text was already in force and nothing was changed.
	AlreadyInForce bool
	// Reason says why the rules were rejected.
	Reason string
	// Version is the current version of the rules: the new one if accepted.
	Version buckthorndyke.Offset
	// Winner is the change that made the current version, if the rules were
	// rejected and the audit trail still holds it.
	Winner *buckthorndyke.AuditEntry
}

// RulesText is the text of the rules with its version.
type RulesText struct {
	Text    string
	Version buckthorndyke.Offset
}

// Status is what an entry VM knows of the fleet.
type Status struct {
	Update buckthorndyke.StateUpdate
	// VMs holds the rules in force on each live VM.
	VMs buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.VMRulesVersion]
}

// Apply proposes other rules and waits for the ruling. Rules with faults are
// refused with a *buckthorndyke.FaultsError. An error with the verdict MayHaveRun
// leaves the outcome open: to apply the same text again settles it.
func (o Operations) Apply(ctx context.Context, r ApplyRequest) (ApplyResult, error) {
	if err := checkBy(r.By); err != nil {
		return ApplyResult{}, err
	}
	if o.parser != nil {
		if _, err := o.parser.Parse(r.Text); err != nil {
			return ApplyResult{}, err
		}
	}
	p, err := o.progress(ctx)
	if err != nil {
		return ApplyResult{}, err
	}
	if inForce(p, r) {
		return ApplyResult{Accepted: true, AlreadyInForce: true, Version: p.State.RulesVersion}, nil
	}
	ruling, err := o.proposer.Propose(ctx, buckthorndyke.RulesChange{Base: r.Base, Operator: r.By, Text: r.Text})
	if err != nil {
		return ApplyResult{}, buckthorndyke.RefusalOf(err)
	}
	if ruling.Accepted {
		return ApplyResult{Accepted: true, Version: ruling.Offset}, nil
	}
	return o.rejected(ctx, r, ruling)
}

// Audit returns the newest attempts to change the rules, at most limit, from the
// oldest to the newest.
func (o Operations) Audit(ctx context.Context, limit int) ([]buckthorndyke.AuditEntry, error) {
	p, err := o.progress(ctx)
	if err != nil {
		return nil, err
	}
	entries := make([]buckthorndyke.AuditEntry, 0, p.State.Audit.Len())
	for _, e := range p.State.Audit.All() {
		entries = append(entries, e)
	}
	return entries[max(0, len(entries)-limit):], nil
}

// Drain makes the process hand over its runners, finish its requests and stop.
// It does not wait for that.
func (o Operations) Drain() error {
	if o.drain == nil {
		return buckthorndyke.NewRefusal(buckthorndyke.CodeNotReady, buckthorndyke.NotRun, "this process cannot drain")
	}
	o.drain()
	return nil
}

// Metrics returns the metrics, with those of the state brought up to date, or
// nil if there are none.
func (o Operations) Metrics(ctx context.Context) (buckthorndyke.MetricsReporter, error) {
	if o.metrics == nil {
		return nil, buckthorndyke.NewRefusal(buckthorndyke.CodeNotReady, buckthorndyke.NotRun, "this process keeps no metrics")
	}
	p, err := o.progress(ctx)
	if err != nil {
		return o.metrics, nil //nolint:nilerr // without a state the other metrics still count
	}
	down := int64(0)
	if p.LogDown {
		down = 1
	}
	o.metrics.Set(buckthorndyke.MetricControlOffset, int64(p.State.Offset))
	o.metrics.Set(buckthorndyke.MetricLogDown, down)
	o.metrics.Set(buckthorndyke.MetricMembers, int64(p.State.Members.Len()))
	o.metrics.Set(buckthorndyke.MetricRulesVersion, int64(p.State.RulesVersion))
	o.metrics.Set(buckthorndyke.MetricUnknownRecords, int64(p.State.UnknownRecords))
	return o.metrics, nil
}

// Rules returns the rules in force on this VM.
func (o Operations) Rules(ctx context.Context) (RulesText, error) {
	p, err := o.progress(ctx)
	if err != nil {
		return RulesText{}, err
	}
	return RulesText{Text: p.State.RulesText, Version: p.State.RulesVersion}, nil
}

// Status returns what this VM knows of the fleet.
func (o Operations) Status(ctx context.Context) (Status, error) {
	p, err := o.progress(ctx)
	if err != nil {
		return Status{}, err
	}
	return Status{Update: p, VMs: o.Versions(ctx)}, nil
}

// Versions returns the rules in force on each live VM.
func (o Operations) Versions(ctx context.Context) buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.VMRulesVersion] {
	if o.fleet == nil {
		return buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.VMRulesVersion]{}
	}
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout.Duration())
	defer cancel()
	return o.fleet.RulesVersions(ctx)
}

// progress returns the newest state.
func (o Operations) progress(ctx context.Context) (buckthorndyke.StateUpdate, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout.Duration())
	defer cancel()
	select {
	case p := <-o.follower.Subscribe(ctx):
		return p, nil
	case <-ctx.Done():
		return buckthorndyke.StateUpdate{}, buckthorndyke.NewRefusal(buckthorndyke.CodeNotReady, buckthorndyke.NotRun,
			"the process has no state yet; ask another entry VM or wait")
	}
}

// rejected returns the result of a request that the fold has rejected. If
// another attempt has put the same text in force, the request is fulfilled.
func (o Operations) rejected(ctx context.Context, r ApplyRequest, ruling buckthorndyke.ProposalResult) (ApplyResult, error) {
	p, err := o.progress(ctx)
	if err != nil {
		return ApplyResult{}, err
	}
	result := ApplyResult{Reason: ruling.Reason, Version: p.State.RulesVersion}
	if p.State.Offset >= ruling.Offset && sameRules(p.State, r) {
		return ApplyResult{Accepted: true, AlreadyInForce: true, Version: p.State.RulesVersion}, nil
	}
	if winner, ok := p.State.Audit.Get(p.State.RulesVersion); ok {
		result.Winner = &winner
	}
	return result, nil
}

// checkBy refuses a name that cannot stand in the audit trail.
func checkBy(by string) error {
	cause := ""
	switch {
	case strings.TrimSpace(by) == "":
		cause = "the operator's name is missing"
	case len(by) > maxByBytes:
		cause = fmt.Sprintf("the operator's name has more than %d bytes", maxByBytes)
	case strings.ContainsFunc(by, func(r rune) bool { return !unicode.IsPrint(r) }):
		cause = "the operator's name holds a character that cannot be printed"
	default:
		return nil
	}
	return buckthorndyke.NewRefusal(buckthorndyke.CodeBadRequest, buckthorndyke.NotRun, cause)
}

// inForce reports whether the text is known to be in force already. While the
// log is down a newer version may have replaced it.
func inForce(p buckthorndyke.StateUpdate, r ApplyRequest) bool {
	return p.CaughtUp && !p.LogDown && sameRules(p.State, r)
}

// sameRules reports whether s holds the rules that r asks for.
func sameRules(s buckthorndyke.State, r ApplyRequest) bool {
	return s.RulesVersion != buckthorndyke.NoOffset && s.RulesText == r.Text
}
