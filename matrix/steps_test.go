package matrix_test

import (
	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/tester"
)

// Groups of steps.
const (
	groupServing group = "serving"
	groupBooking group = "non-idempotent"
	groupControl group = "control"
)

// group is a path through the system.
type group string

// step is a place on a path at which a fault strikes.
type step struct {
	group group
	match func(point) bool
	name  string
	// trigger starts what reaches the step. It does not wait.
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

	{groupBooking, isClaim(tester.CallAppend, false), "claim appended", (*run).book},
	{groupBooking, isClaim(tester.CallRead, false), "claim read back", (*run).book},
	{groupBooking, isCall(tester.CallService, tester.PhaseSending), "sent", (*run).book},
	{groupBooking, isCall(tester.CallService, tester.PhaseReplied), "answered", (*run).book},
	{groupBooking, isClaim(tester.CallAppend, true), "outcome appended", (*run).book},

	{groupControl, isAppended(isRules), "apply appended", (*run).apply},
	{groupControl, isFolded(isRules), "folded", (*run).apply},
	{groupControl, isProposed(isTake), "takeover proposed", (*run).killOwner},
	{groupControl, isFolded(isTake), "takeover accepted", (*run).killOwner},
	{groupControl, isAppended(isWithdraw), "permission withdrawn", (*run).reduce},
	{groupControl, isAppended(isCheckpoint), "checkpoint appended", (*run).apply},
	{groupControl, isAppended(isLeave(true)), "drain begun", (*run).drainOwner},
	{groupControl, isAppended(isLeave(false)), "drain ended", (*run).drainOwner},
}

func isCall(kind tester.CallKind, phase tester.Phase) func(point) bool {
	return func(p point) bool { return p.Call == kind && p.Phase == phase }
}

func isEvent(kind buckthorndyke.TicketEventKind) func(point) bool {
	return func(p point) bool {
		e, ok := p.Reply.(buckthorndyke.TicketEvent)
		return ok && p.Err == nil && e.Kind == kind
	}
}

func isLoad(phase tester.Phase) func(point) bool {
	return func(p point) bool {
		o, ok := p.Request.(buckthorndyke.Order)
		return ok && p.Phase == phase && o.Kind == buckthorndyke.OrderLoad
	}
}

// isToken matches the third token or the end mark of an answer.
func isToken(last bool) func(point) bool {
	return func(p point) bool {
		t, ok := p.Reply.(buckthorndyke.Token)
		return ok && p.Err == nil && t.Last == last && (last || t.Index == 2)
	}
}

func isClaim(kind tester.CallKind, outcome bool) func(point) bool {
	return func(p point) bool {
		if p.Call != kind || p.Phase != tester.PhaseReplied {
			return false
		}
		for _, c := range p.claims {
			if (c.Outcome != nil) == outcome {
				return true
			}
		}
		return false
	}
}

func isAppended(is func(buckthorndyke.Change) bool) func(point) bool {
	return hasChange(tester.CallAppend, tester.PhaseReplied, is)
}

func isFolded(is func(buckthorndyke.Change) bool) func(point) bool {
	return hasChange(tester.CallRead, tester.PhaseReplied, is)
}

func isProposed(is func(buckthorndyke.Change) bool) func(point) bool {
	return hasChange(tester.CallAppend, tester.PhaseSending, is)
}

func hasChange(kind tester.CallKind, phase tester.Phase, is func(buckthorndyke.Change) bool) func(point) bool {
	return func(p point) bool {
		if p.Call != kind || p.Phase != phase {
			return false
		}
		for _, c := range p.changes {
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

func isTake(c buckthorndyke.Change) bool {
	_, ok := c.(buckthorndyke.TakeChange)
	return ok
}

func isWithdraw(c buckthorndyke.Change) bool {
	_, ok := c.(buckthorndyke.WithdrawChange)
	return ok
}
