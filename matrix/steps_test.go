package matrix_test

import (
	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/tester"
)

// Groups of steps.
const (
	groupServing       group = "serving"
	groupNonIdempotent group = "non-idempotent"
	groupControl       group = "control"
)

// group is a kind of work that a step belongs to.
type group string

// step is a point of the processing at which faults are injected.
type step struct {
	group group
	match func(decodedEvent) bool
	name  string
	// trigger starts work that reaches the step. It does not wait.
	trigger func(r *run)
}

// steps are all steps of the matrix.
var steps = []step{
	{groupServing, isCall(tester.CallReceive, tester.PhaseSending), "received", (*run).request},
	{groupServing, isCall(tester.CallTicket, tester.PhaseSending), "ticket asked", (*run).request},
	{groupServing, isEvent(buckthorndyke.TicketQueued), "queued", (*run).request},
	{groupServing, isCall(tester.CallAcquireLoad, tester.PhaseReplied), "load permitted", (*run).request},
	{groupServing, isLoad(tester.PhaseSending), "order sent", (*run).request},
	{groupServing, isLoad(tester.PhaseReplied), "order answered", (*run).request},
	{groupServing, isEvent(buckthorndyke.TicketGranted), "loaded", (*run).request},
	{groupServing, isCall(tester.CallGenerate, tester.PhaseSending), "dispatched", (*run).request},
	{groupServing, isToken(false), "streaming", (*run).request},
	{groupServing, isToken(true), "finished", (*run).request},

	{groupNonIdempotent, isClaim(tester.CallAppend, false), "claim appended", (*run).callServiceRepeatedly},
	{groupNonIdempotent, isClaim(tester.CallRead, false), "claim read back", (*run).callServiceRepeatedly},
	{groupNonIdempotent, isCall(tester.CallService, tester.PhaseSending), "sent", (*run).callServiceRepeatedly},
	{groupNonIdempotent, isCall(tester.CallService, tester.PhaseReplied), "answered", (*run).callServiceRepeatedly},
	{groupNonIdempotent, isClaim(tester.CallAppend, true), "outcome appended", (*run).callServiceRepeatedly},

	{groupControl, isAppended(isRules), "apply appended", (*run).proposeEquivalentRules},
	{groupControl, isRead(isRules), "folded", (*run).proposeEquivalentRules},
	{groupControl, isProposed(isTakeover), "takeover proposed", (*run).killOwner},
	{groupControl, isRead(isTakeover), "takeover accepted", (*run).killOwner},
	{groupControl, isAppended(isWithdraw), "permission withdrawn", (*run).reduceReplicas},
	{groupControl, isAppended(isCheckpoint), "checkpoint appended", (*run).proposeEquivalentRules},
	{groupControl, isAppended(isLeave(true)), "drain begun", (*run).drainOwner},
	{groupControl, isAppended(isLeave(false)), "drain ended", (*run).drainOwner},
}

func isCall(kind tester.CallKind, phase tester.Phase) func(decodedEvent) bool {
	return func(ev decodedEvent) bool { return ev.Call == kind && ev.Phase == phase }
}

func isEvent(kind buckthorndyke.TicketEventKind) func(decodedEvent) bool {
	return func(ev decodedEvent) bool {
		e, ok := ev.Reply.(buckthorndyke.TicketEvent)
		return ok && ev.Err == nil && e.Kind == kind
	}
}

func isLoad(phase tester.Phase) func(decodedEvent) bool {
	return func(ev decodedEvent) bool {
		o, ok := ev.Request.(buckthorndyke.Order)
		return ok && ev.Phase == phase && o.Kind == buckthorndyke.OrderLoad
	}
}

// isToken matches the last token of a response if last is set, else the third token.
func isToken(last bool) func(decodedEvent) bool {
	return func(ev decodedEvent) bool {
		t, ok := ev.Reply.(buckthorndyke.Token)
		return ok && ev.Err == nil && t.Last == last && (last || t.Index == 2)
	}
}

func isClaim(kind tester.CallKind, outcome bool) func(decodedEvent) bool {
	return func(ev decodedEvent) bool {
		if ev.Call != kind || ev.Phase != tester.PhaseReplied {
			return false
		}
		for _, c := range ev.claims {
			if (c.Outcome != nil) == outcome {
				return true
			}
		}
		return false
	}
}

func isAppended(is func(buckthorndyke.Change) bool) func(decodedEvent) bool {
	return hasChange(tester.CallAppend, tester.PhaseReplied, is)
}

func isRead(is func(buckthorndyke.Change) bool) func(decodedEvent) bool {
	return hasChange(tester.CallRead, tester.PhaseReplied, is)
}

func isProposed(is func(buckthorndyke.Change) bool) func(decodedEvent) bool {
	return hasChange(tester.CallAppend, tester.PhaseSending, is)
}

func hasChange(kind tester.CallKind, phase tester.Phase, is func(buckthorndyke.Change) bool) func(decodedEvent) bool {
	return func(ev decodedEvent) bool {
		if ev.Call != kind || ev.Phase != phase {
			return false
		}
		for _, c := range ev.changes {
			if is(c) {
				return true
			}
		}
		return false
	}
}

func isCheckpoint(c buckthorndyke.Change) bool {
	_, ok := c.(buckthorndyke.CheckpointChange)
	return ok
}

func isLeave(draining bool) func(buckthorndyke.Change) bool {
	return func(c buckthorndyke.Change) bool {
		l, ok := c.(buckthorndyke.LeaveChange)
		return ok && l.Draining == draining
	}
}

func isRules(c buckthorndyke.Change) bool {
	_, ok := c.(buckthorndyke.RulesChange)
	return ok
}

func isTakeover(c buckthorndyke.Change) bool {
	_, ok := c.(buckthorndyke.TakeChange)
	return ok
}

func isWithdraw(c buckthorndyke.Change) bool {
	_, ok := c.(buckthorndyke.WithdrawChange)
	return ok
}
