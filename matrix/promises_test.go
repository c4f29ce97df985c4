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
	answerLimit = 90 * buckthorndyke.Second
	// callLimit bounds a call of a plain service.
	callLimit = 45 * buckthorndyke.Second
	// firstTokenLimit is the first-token time of the rules.
	firstTokenLimit = 30 * buckthorndyke.Second
	// leavingLimit is the time after which a leaving backend server gets no work.
	leavingLimit = 8 * buckthorndyke.Second
	// rulesLimit is the time until accepted rules are in force.
	rulesLimit = 6 * buckthorndyke.Second
	// slack is the time that a refusal may be late.
	slack = 1 * buckthorndyke.Second
)

// Promises.
const (
	promiseReplicas promise = "replicas"
	promiseMemory   promise = "memory"
	promiseInTime   promise = "in time"
	promiseWhole    promise = "whole answer"
	promiseNotRun   promise = "not run"
	promiseOnce     promise = "at most once"
	promiseLeaving  promise = "leaving"
	promiseStop     promise = "planned stop"
	promiseRules    promise = "rules"
	// promiseReached is that of the matrix itself: the fault has struck.
	promiseReached promise = "step reached"
)

// promise is something that must always hold.
type promise string

// breach is a promise that was not held.
type breach struct {
	detail  string
	promise promise
}

// String returns the promise and the detail.
func (b breach) String() string { return string(b.promise) + ": " + b.detail }

// breaches collects what was not held.
type breaches []breach

// add notes a breach.
func (b *breaches) add(p promise, format string, args ...any) {
	*b = append(*b, breach{detail: fmt.Sprintf(format, args...), promise: p})
}

// require notes a breach unless ok.
func (b *breaches) require(ok bool, p promise, format string, args ...any) {
	if !ok {
		b.add(p, format, args...)
	}
}

// checkRunners checks what the runners have done.
func (r *run) checkRunners(b *breaches) {
	for runner, journal := range r.f.Journals() {
		b.require(!journal.Overcommitted, promiseMemory, "%s held %d MB", runner, journal.HighestMemoryMB)
	}
}

// checkRequests checks the answers of all requests.
func (r *run) checkRequests(b *breaches) {
	l := get(r.ctx, r.ledger, func(l *ledger) ledger { return *l })
	paused := get(r.ctx, r.watch, func(s *watch) map[buckthorndyke.VMID]bool { return s.paused })
	jobs := map[buckthorndyke.RequestID]int{}
	for _, journal := range r.f.Journals() {
		for id, n := range journal.Jobs {
			jobs[id] += n
		}
	}
	for _, q := range l.requests {
		if !q.ended {
			b.add(promiseInTime, "a request to %s through %s has no answer", q.model, q.vm)
			continue
		}
		checkWhole(b, q)
		b.require(q.must == "" || q.answer.Err == nil, q.must, "%s refuses %s: %v", q.vm, q.model, q.answer.Err)
		if q.answer.Killed {
			continue
		}
		if !paused[q.vm] {
			checkInTime(b, q)
		}
		if q.answer.Err != nil && buckthorndyke.VerdictOf(q.answer.Err) == buckthorndyke.NotRun {
			b.require(jobs[q.answer.Request] == 0, promiseNotRun, "a request to %s through %s ran %d times: %v",
				q.model, q.vm, jobs[q.answer.Request], q.answer.Err)
		}
	}
}

// checkInTime checks that a request was served or refused in time.
func checkInTime(b *breaches, q request) {
	took := q.answer.Ended - q.answer.Begun
	b.require(took <= answerLimit, promiseInTime, "a request to %s through %s took %d ms", q.model, q.vm, took)
	b.require(q.answer.FirstToken <= firstTokenLimit+slack, promiseInTime,
		"the first token of %s through %s took %d ms", q.model, q.vm, q.answer.FirstToken)
	b.require(q.answer.Text != "" || took <= firstTokenLimit+slack, promiseInTime,
		"the refusal of %s through %s took %d ms: %v", q.model, q.vm, took, q.answer.Err)
}

// checkWhole checks that an answer is whole, or the begin of the own answer.
func checkWhole(b *breaches, q request) {
	want := tester.ExpectedText(q.model, q.prompt)
	if q.answer.Err == nil {
		b.require(q.answer.Text == want, promiseWhole, "%s through %s answered %q, not %q", q.model, q.vm, q.answer.Text, want)
		return
	}
	b.require(strings.HasPrefix(want, q.answer.Text), promiseWhole,
		"%s through %s began with %q, not %q", q.model, q.vm, q.answer.Text, want)
}

// checkBookings checks the calls that must not run twice.
func (r *run) checkBookings(b *breaches) {
	l := get(r.ctx, r.ledger, func(l *ledger) ledger { return *l })
	paused := get(r.ctx, r.watch, func(s *watch) map[buckthorndyke.VMID]bool { return s.paused })
	journal, _ := r.f.Service.Journal(r.ctx)
	for key, n := range journal.Keys {
		b.require(n <= 1, promiseOnce, "the key %s ran %d times", key, n)
	}
	for id, n := range journal.Requests {
		b.require(n <= 1, promiseOnce, "the call %s ran %d times", id, n)
	}
	for _, c := range l.bookings {
		if !c.ended {
			b.add(promiseInTime, "a booking through %s has no answer", c.vm)
			continue
		}
		b.require(c.must == "" || c.err == nil, c.must, "%s refuses a booking: %v", c.vm, c.err)
		if c.killed {
			continue
		}
		b.require(paused[c.vm] || c.took <= callLimit, promiseInTime, "a booking through %s took %d ms", c.vm, c.took)
		switch {
		case c.err == nil && c.key != "":
			b.require(journal.Keys[c.key] == 1, promiseOnce, "an answered key ran %d times", journal.Keys[c.key])
		case c.err != nil && buckthorndyke.VerdictOf(c.err) == buckthorndyke.NotRun:
			b.require(journal.Requests[c.id] == 0, promiseNotRun, "a booking through %s ran: %v", c.vm, c.err)
		}
	}
}

// checkApplies checks that of operators who raced at most one was accepted.
func (r *run) checkApplies(b *breaches) {
	accepted := map[buckthorndyke.Offset]int{}
	for _, a := range get(r.ctx, r.ledger, func(l *ledger) ledger { return *l }).applies {
		if a.err == nil && a.ruling.Accepted {
			accepted[a.base]++
		}
	}
	for base, n := range accepted {
		b.require(n == 1, promiseRules, "%d changes of version %s were accepted", n, base)
	}
}
