package matrix_test

import (
	"fmt"
	"strings"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/tester"
)

// Time limits of the guarantees.
const (
	// responseLimit bounds a complete response of a model. The request may move to other
	// runners meanwhile.
	responseLimit = 90 * buckthorndyke.Second
	// callLimit bounds a call of a plain service.
	callLimit = 45 * buckthorndyke.Second
	// firstTokenLimit is the first-token-ms of the ranks in tester.Rules.
	firstTokenLimit = 30 * buckthorndyke.Second
	// leavingLimit is the time after which a leaving backend server receives no work.
	leavingLimit = 8 * buckthorndyke.Second
	// rulesLimit bounds the time until accepted rules are in force.
	rulesLimit = 6 * buckthorndyke.Second
	// refusalTolerance is how late after firstTokenLimit a first token or a refusal may
	// be.
	refusalTolerance = 1 * buckthorndyke.Second
)

// Guarantees.
const (
	guaranteeReplicas guarantee = "replicas"
	guaranteeMemory   guarantee = "memory"
	guaranteeInTime   guarantee = "in time"
	guaranteeComplete guarantee = "whole answer"
	guaranteeNotRun   guarantee = "not run"
	guaranteeOnce     guarantee = "at most once"
	guaranteeLeaving  guarantee = "leaving"
	guaranteeStop     guarantee = "planned stop"
	guaranteeRules    guarantee = "rules"
	// guaranteeReached concerns the matrix itself: the step was reached and its fault
	// injected.
	guaranteeReached guarantee = "step reached"
)

// guarantee is a property of the system that must hold in each cell.
type guarantee string

// violation is a guarantee that did not hold.
type violation struct {
	detail    string
	guarantee guarantee
}

// String returns the guarantee and the detail.
func (v violation) String() string { return string(v.guarantee) + ": " + v.detail }

// violations collects the violations of one cell.
type violations []violation

// add adds a violation.
func (v *violations) add(g guarantee, format string, args ...any) {
	*v = append(*v, violation{detail: fmt.Sprintf(format, args...), guarantee: g})
}

// require adds a violation unless ok is set.
func (v *violations) require(ok bool, g guarantee, format string, args ...any) {
	if !ok {
		v.add(g, format, args...)
	}
}

// checkRunners checks that no runner's memory was overcommitted.
func (r *run) checkRunners(v *violations) {
	for runner, journal := range r.fleet.Journals() {
		v.require(!journal.Overcommitted, guaranteeMemory, "%s was overcommitted: models used up to %d MB", runner, journal.HighestMemoryMB)
	}
}

// checkRequests checks the outcomes of all requests to models.
func (r *run) checkRequests(v *violations) {
	h := get(r.ctx, r.history, func(h *history) history { return *h })
	paused := get(r.ctx, r.observer, func(s *observerState) map[buckthorndyke.VMID]bool { return s.paused })
	jobs := map[buckthorndyke.RequestID]int{}
	for _, journal := range r.fleet.Journals() {
		for id, n := range journal.Jobs {
			jobs[id] += n
		}
	}
	for _, q := range h.requests {
		if !q.ended {
			v.add(guaranteeInTime, "a request for %s through %s got no response", q.model, q.vm)
			continue
		}
		checkComplete(v, q)
		v.require(q.requiredBy == "" || q.outcome.Err == nil, q.requiredBy, "%s refuses a request for %s: %v", q.vm, q.model, q.outcome.Err)
		if q.outcome.Killed {
			continue
		}
		if !paused[q.vm] {
			checkInTime(v, q)
		}
		if q.outcome.Err != nil && buckthorndyke.VerdictOf(q.outcome.Err) == buckthorndyke.NotRun {
			v.require(jobs[q.outcome.Request] == 0, guaranteeNotRun, "a request for %s through %s was reported as not run but ran %d times: %v",
				q.model, q.vm, jobs[q.outcome.Request], q.outcome.Err)
		}
	}
}

// checkInTime checks that a request was served or refused within the limits.
func checkInTime(v *violations, q request) {
	took := q.outcome.Ended - q.outcome.Begun
	v.require(took <= responseLimit, guaranteeInTime, "a request for %s through %s took %d ms", q.model, q.vm, took)
	v.require(q.outcome.FirstToken <= firstTokenLimit+refusalTolerance, guaranteeInTime,
		"the first token of %s through %s took %d ms", q.model, q.vm, q.outcome.FirstToken)
	v.require(q.outcome.Text != "" || took <= firstTokenLimit+refusalTolerance, guaranteeInTime,
		"the refusal of %s through %s took %d ms: %v", q.model, q.vm, took, q.outcome.Err)
}

// checkComplete checks that a served request got its complete response, and a failed
// one no more than the beginning of it.
func checkComplete(v *violations, q request) {
	want := tester.ExpectedText(q.model, q.prompt)
	if q.outcome.Err == nil {
		v.require(q.outcome.Text == want, guaranteeComplete, "%s through %s responded %q, not %q", q.model, q.vm, q.outcome.Text, want)
		return
	}
	v.require(strings.HasPrefix(want, q.outcome.Text), guaranteeComplete,
		"the response of %s through %s begins with %q, not %q", q.model, q.vm, q.outcome.Text, want)
}

// checkServiceCalls checks the outcomes of all service calls, and that none ran twice.
func (r *run) checkServiceCalls(v *violations) {
	h := get(r.ctx, r.history, func(h *history) history { return *h })
	paused := get(r.ctx, r.observer, func(s *observerState) map[buckthorndyke.VMID]bool { return s.paused })
	journal, _ := r.fleet.Service.Journal(r.ctx)
	for key, n := range journal.Keys {
		v.require(n <= 1, guaranteeOnce, "idempotency key %s ran %d times", key, n)
	}
	for id, n := range journal.Requests {
		v.require(n <= 1, guaranteeOnce, "the call %s ran %d times", id, n)
	}
	for _, c := range h.serviceCalls {
		if !c.ended {
			v.add(guaranteeInTime, "a service call through %s got no response", c.vm)
			continue
		}
		v.require(c.requiredBy == "" || c.err == nil, c.requiredBy, "%s refuses a service call: %v", c.vm, c.err)
		if c.killed {
			continue
		}
		v.require(paused[c.vm] || c.took <= callLimit, guaranteeInTime, "a service call through %s took %d ms", c.vm, c.took)
		switch {
		case c.err == nil && c.key != "":
			v.require(journal.Keys[c.key] == 1, guaranteeOnce, "an idempotency key with a response ran %d times", journal.Keys[c.key])
		case c.err != nil && buckthorndyke.VerdictOf(c.err) == buckthorndyke.NotRun:
			v.require(journal.Requests[c.id] == 0, guaranteeNotRun, "a service call through %s was reported as not run but ran: %v", c.vm, c.err)
		}
	}
}

// checkRulesRaces checks that of concurrent changes of one rules version at most one
// was accepted.
func (r *run) checkRulesRaces(v *violations) {
	accepted := map[buckthorndyke.Offset]int{}
	for _, a := range get(r.ctx, r.history, func(h *history) history { return *h }).rulesChanges {
		if a.err == nil && a.result.Accepted {
			accepted[a.base]++
		}
	}
	for base, n := range accepted {
		v.require(n == 1, guaranteeRules, "%d changes with base version %s were accepted", n, base)
	}
}
