package matrix_test

import (
	"fmt"
	"strings"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/tester"
)

// Bounds of the promises.
const (
	// answerLimit bounds a whole answer, which may move between runners.
	responseLimit = 90 * buckthorndyke.Second
	// callLimit bounds a call of a plain service.
	callLimit = 45 * buckthorndyke.Second
	// firstTokenLimit is the first-token time of the rules.
	firstTokenLimit = 30 * buckthorndyke.Second
	// leavingLimit is the time after which a leaving backend server gets no work.
	leavingLimit = 8 * buckthorndyke.Second
	// rulesLimit is the time until accepted rules are in force.
	rulesLimit = 6 * buckthorndyke.Second
	// slack is the time that a refusal may be late.
	refusalTolerance = 1 * buckthorndyke.Second
)

// Promises.
const (
	guaranteeReplicas guarantee = "replicas"
	guaranteeMemory   guarantee = "memory"
	guaranteeInTime   guarantee = "in time"
	guaranteeComplete    guarantee = "whole answer"
	guaranteeNotRun   guarantee = "not run"
	guaranteeOnce     guarantee = "at most once"
	guaranteeLeaving  guarantee = "leaving"
	guaranteeStop     guarantee = "planned stop"
	guaranteeRules    guarantee = "rules"
	// promiseReached is that of the matrix itself: the fault has struck.
	guaranteeReached guarantee = "step reached"
)

// promise is something that must always hold.
type guarantee string

// breach is a promise that was not held.
type violation struct {
	detail  string
	guarantee guarantee
}

// String returns the promise and the detail.
func (b violation) String() string { return string(b.guarantee) + ": " + b.detail }

// breaches collects what was not held.
type violations []violation

// add notes a breach.
func (b *violations) add(p guarantee, format string, args ...any) {
	*b = append(*b, violation{detail: fmt.Sprintf(format, args...), guarantee: p})
}

// require notes a breach unless ok.
func (b *violations) require(ok bool, p guarantee, format string, args ...any) {
	if !ok {
		b.add(p, format, args...)
	}
}

// checkRunners checks what the runners have done.
func (r *run) checkRunners(b *violations) {
	for runner, journal := range r.fleet.Journals() {
		b.require(!journal.Overcommitted, guaranteeMemory, "%s held %d MB", runner, journal.HighestMemoryMB)
	}
}

// checkRequests checks the answers of all requests.
func (r *run) checkRequests(b *violations) {
	l := get(r.ctx, r.history, func(l *history) history { return *l })
	paused := get(r.ctx, r.observer, func(s *observerState) map[buckthorndyke.VMID]bool { return s.paused })
	jobs := map[buckthorndyke.RequestID]int{}
	for _, journal := range r.fleet.Journals() {
		for id, n := range journal.Jobs {
			jobs[id] += n
		}
	}
	for _, q := range l.requests {
		if !q.ended {
			b.add(guaranteeInTime, "a request to %s through %s has no answer", q.model, q.vm)
			continue
		}
		checkComplete(b, q)
		b.require(q.requiredBy == "" || q.outcome.Err == nil, q.requiredBy, "%s refuses %s: %v", q.vm, q.model, q.outcome.Err)
		if q.outcome.Killed {
			continue
		}
		if !paused[q.vm] {
			checkInTime(b, q)
		}
		if q.outcome.Err != nil && buckthorndyke.VerdictOf(q.outcome.Err) == buckthorndyke.NotRun {
			b.require(jobs[q.outcome.Request] == 0, guaranteeNotRun, "a request to %s through %s ran %d times: %v",
				q.model, q.vm, jobs[q.outcome.Request], q.outcome.Err)
		}
	}
}

// checkInTime checks that a request was served or refused in time.
func checkInTime(b *violations, q request) {
	took := q.outcome.Ended - q.outcome.Begun
	b.require(took <= responseLimit, guaranteeInTime, "a request to %s through %s took %d ms", q.model, q.vm, took)
	b.require(q.outcome.FirstToken <= firstTokenLimit+refusalTolerance, guaranteeInTime,
		"the first token of %s through %s took %d ms", q.model, q.vm, q.outcome.FirstToken)
	b.require(q.outcome.Text != "" || took <= firstTokenLimit+refusalTolerance, guaranteeInTime,
		"the refusal of %s through %s took %d ms: %v", q.model, q.vm, took, q.outcome.Err)
}

// checkWhole checks that an answer is whole, or the begin of the own answer.
func checkComplete(b *violations, q request) {
	want := tester.AnswerTo(q.model, q.prompt)
	if q.outcome.Err == nil {
		b.require(q.outcome.Text == want, guaranteeComplete, "%s through %s answered %q, not %q", q.model, q.vm, q.outcome.Text, want)
		return
	}
	b.require(strings.HasPrefix(want, q.outcome.Text), guaranteeComplete,
		"%s through %s began with %q, not %q", q.model, q.vm, q.outcome.Text, want)
}

// checkBookings checks the calls that must not run twice.
func (r *run) checkServiceCalls(b *violations) {
	l := get(r.ctx, r.history, func(l *history) history { return *l })
	paused := get(r.ctx, r.observer, func(s *observerState) map[buckthorndyke.VMID]bool { return s.paused })
	journal, _ := r.fleet.Service.Journal(r.ctx)
	for key, n := range journal.Keys {
		b.require(n <= 1, guaranteeOnce, "the key %s ran %d times", key, n)
	}
	for id, n := range journal.Requests {
		b.require(n <= 1, guaranteeOnce, "the call %s ran %d times", id, n)
	}
	for _, c := range l.serviceCalls {
		if !c.ended {
			b.add(guaranteeInTime, "a booking through %s has no answer", c.vm)
			continue
		}
		b.require(c.requiredBy == "" || c.err == nil, c.requiredBy, "%s refuses a booking: %v", c.vm, c.err)
		if c.killed {
			continue
		}
		b.require(paused[c.vm] || c.took <= callLimit, guaranteeInTime, "a booking through %s took %d ms", c.vm, c.took)
		switch {
		case c.err == nil && c.key != "":
			b.require(journal.Keys[c.key] == 1, guaranteeOnce, "an answered key ran %d times", journal.Keys[c.key])
		case c.err != nil && buckthorndyke.VerdictOf(c.err) == buckthorndyke.NotRun:
			b.require(journal.Requests[c.id] == 0, guaranteeNotRun, "a booking through %s ran: %v", c.vm, c.err)
		}
	}
}

// checkApplies checks that of operators who raced at most one was accepted.
func (r *run) checkRulesRaces(b *violations) {
	accepted := map[buckthorndyke.Offset]int{}
	for _, a := range get(r.ctx, r.history, func(l *history) history { return *l }).rulesChanges {
		if a.err == nil && a.result.Accepted {
			accepted[a.base]++
		}
	}
	for base, n := range accepted {
		b.require(n == 1, guaranteeRules, "%d changes of version %s were accepted", n, base)
	}
}
