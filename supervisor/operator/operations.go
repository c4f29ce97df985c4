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
	// fleetTimeout is the maximum time to ask all live VMs.
	fleetTimeout = 2 * buckthorndyke.Second
	// maxByBytes bounds the name of an operator.
	maxOperatorNameBytes = 128
	// stateTimeout is the maximum time to wait for the first state after startup.
	stateTimeout = 2 * buckthorndyke.Second
)

// Operations carries out what operators can request from an entry VM. It is
// independent of the protocol that the requests were decoded from and has no state
// of its own.
type Operations struct {
	drain    func()
	fleet    buckthorndyke.FleetReporter
	follower buckthorndyke.Follower
	metrics  buckthorndyke.MetricsReporter
	parser   buckthorndyke.RulesParser
	proposer buckthorndyke.Proposer
}

// ApplyRequest requests that the rules be replaced.
type ApplyRequest struct {
	// Base is the version of the rules that the change is based on.
	Base buckthorndyke.Offset
	// By is the operator's name for the audit trail.
	By string
	// Text is the text of the new rules.
	Text string
}

// ApplyResult is the result of an ApplyRequest.
type ApplyResult struct {
	Accepted bool
	// AlreadyInForce is set if the text was already in force and nothing was changed.
	AlreadyInForce bool
	// Reason says why the rules were rejected.
	Reason string
	// Version is the current version of the rules, which is the new one if accepted.
	Version buckthorndyke.Offset
	// Winner is the change that resulted in the current version, if the request was
	// rejected and the audit trail still contains that change.
	Winner *buckthorndyke.AuditEntry
}

// RulesText is the text of the rules and its version.
type RulesText struct {
	Text    string
	Version buckthorndyke.Offset
}

// Status is what an entry VM knows about the fleet.
type Status struct {
	Update buckthorndyke.StateUpdate
	// VMs holds the version of the rules in force on each live VM.
	VMs buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.VMRulesVersion]
}

// Apply proposes new rules and waits for the proposal result. Rules with faults are
// refused with a *buckthorndyke.FaultsError. After an error with the verdict
// MayHaveRun the rules may have been accepted; applying the same text again shows
// the outcome.
func (o Operations) Apply(ctx context.Context, r ApplyRequest) (ApplyResult, error) {
	if err := checkOperatorName(r.By); err != nil {
		return ApplyResult{}, err
	}
	if o.parser != nil {
		if _, err := o.parser.Parse(r.Text); err != nil {
			return ApplyResult{}, err
		}
	}
	update, err := o.newestState(ctx)
	if err != nil {
		return ApplyResult{}, err
	}
	if alreadyInForce(update, r) {
		return ApplyResult{Accepted: true, AlreadyInForce: true, Version: update.State.RulesVersion}, nil
	}
	proposalResult, err := o.proposer.Propose(ctx, buckthorndyke.RulesChange{Base: r.Base, Operator: r.By, Text: r.Text})
	if err != nil {
		return ApplyResult{}, buckthorndyke.RefusalOf(err)
	}
	if proposalResult.Accepted {
		return ApplyResult{Accepted: true, Version: proposalResult.Offset}, nil
	}
	return o.rejected(ctx, r, proposalResult)
}

// Audit returns the newest attempts to change the rules, at most limit of them, in
// order from the oldest to the newest.
func (o Operations) Audit(ctx context.Context, limit int) ([]buckthorndyke.AuditEntry, error) {
	update, err := o.newestState(ctx)
	if err != nil {
		return nil, err
	}
	entries := make([]buckthorndyke.AuditEntry, 0, update.State.Audit.Len())
	for _, e := range update.State.Audit.All() {
		entries = append(entries, e)
	}
	return entries[max(0, len(entries)-limit):], nil
}

// Drain makes the process hand over its runners, finish the requests in progress
// and stop. It returns without waiting for that.
func (o Operations) Drain() error {
	if o.drain == nil {
		return buckthorndyke.NewRefusal(buckthorndyke.CodeNotReady, buckthorndyke.NotRun, "the process was started without a way to drain it")
	}
	o.drain()
	return nil
}

// Metrics returns the metrics after updating those of the state. It refuses the
// request if the process keeps no metrics.
func (o Operations) Metrics(ctx context.Context) (buckthorndyke.MetricsReporter, error) {
	if o.metrics == nil {
		return nil, buckthorndyke.NewRefusal(buckthorndyke.CodeNotReady, buckthorndyke.NotRun, "the process was started without metrics")
	}
	update, err := o.newestState(ctx)
	if err != nil {
		return o.metrics, nil //nolint:nilerr // without a state the other metrics are still valid
	}
	down := int64(0)
	if update.LogDown {
		down = 1
	}
	o.metrics.Set(buckthorndyke.MetricControlOffset, int64(update.State.Offset))
	o.metrics.Set(buckthorndyke.MetricLogDown, down)
	o.metrics.Set(buckthorndyke.MetricMembers, int64(update.State.Members.Len()))
	o.metrics.Set(buckthorndyke.MetricRulesVersion, int64(update.State.RulesVersion))
	o.metrics.Set(buckthorndyke.MetricUnknownRecords, int64(update.State.UnknownRecords))
	return o.metrics, nil
}

// Rules returns the rules in force on this VM.
func (o Operations) Rules(ctx context.Context) (RulesText, error) {
	update, err := o.newestState(ctx)
	if err != nil {
		return RulesText{}, err
	}
	return RulesText{Text: update.State.RulesText, Version: update.State.RulesVersion}, nil
}

// Status returns what this VM knows about the fleet.
func (o Operations) Status(ctx context.Context) (Status, error) {
	update, err := o.newestState(ctx)
	if err != nil {
		return Status{}, err
	}
	return Status{Update: update, VMs: o.Versions(ctx)}, nil
}

// Versions returns the version of the rules in force on each live VM.
func (o Operations) Versions(ctx context.Context) buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.VMRulesVersion] {
	if o.fleet == nil {
		return buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.VMRulesVersion]{}
	}
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout.Duration())
	defer cancel()
	return o.fleet.RulesVersions(ctx)
}

// newestState returns the newest state. It refuses the request if there is none
// within stateTimeout.
func (o Operations) newestState(ctx context.Context) (buckthorndyke.StateUpdate, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout.Duration())
	defer cancel()
	select {
	case update := <-o.follower.Subscribe(ctx):
		return update, nil
	case <-ctx.Done():
		return buckthorndyke.StateUpdate{}, buckthorndyke.NewRefusal(buckthorndyke.CodeNotReady, buckthorndyke.NotRun,
			"the process has no state yet; try again later or on another entry VM")
	}
}

// rejected returns the result of a request whose proposal was rejected. If another
// attempt has put the same text in force, the request counts as accepted.
func (o Operations) rejected(ctx context.Context, r ApplyRequest, proposalResult buckthorndyke.ProposalResult) (ApplyResult, error) {
	update, err := o.newestState(ctx)
	if err != nil {
		return ApplyResult{}, err
	}
	result := ApplyResult{Reason: proposalResult.Reason, Version: update.State.RulesVersion}
	if update.State.Offset >= proposalResult.Offset && sameRules(update.State, r) {
		return ApplyResult{Accepted: true, AlreadyInForce: true, Version: update.State.RulesVersion}, nil
	}
	if winner, ok := update.State.Audit.Get(update.State.RulesVersion); ok {
		result.Winner = &winner
	}
	return result, nil
}

// checkOperatorName refuses names that must not appear in the audit trail.
func checkOperatorName(by string) error {
	cause := ""
	switch {
	case strings.TrimSpace(by) == "":
		cause = "the operator's name is missing or blank"
	case len(by) > maxOperatorNameBytes:
		cause = fmt.Sprintf("the operator's name is longer than the limit of %d bytes", maxOperatorNameBytes)
	case strings.ContainsFunc(by, func(r rune) bool { return !unicode.IsPrint(r) }):
		cause = "the operator's name contains a non-printable character"
	default:
		return nil
	}
	return buckthorndyke.NewRefusal(buckthorndyke.CodeBadRequest, buckthorndyke.NotRun, cause)
}

// alreadyInForce reports whether the text is known to be in force. That is not
// known before the process has caught up and while the log is down, because a newer
// version may have replaced it.
func alreadyInForce(update buckthorndyke.StateUpdate, r ApplyRequest) bool {
	return update.CaughtUp && !update.LogDown && sameRules(update.State, r)
}

// sameRules reports whether the rules in s have the text that r requests.
func sameRules(s buckthorndyke.State, r ApplyRequest) bool {
	return s.RulesVersion != buckthorndyke.NoOffset && s.RulesText == r.Text
}
