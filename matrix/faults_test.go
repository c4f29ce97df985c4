package matrix_test

import (
	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/standin"
	"github.com/buckthorndyke/buckthorndyke/tester"
)

const (
	// floodSize is the number of requests of a flood.
	floodSize = 40
	// logDelay is the delay of a slow log.
	logDelay = 2 * buckthorndyke.Second
	// messageDelay is the delay of a late message between processes.
	messageDelay = 700 * buckthorndyke.Millisecond
	// answerDelay is the delay of a late token.
	tokenDelay = 3 * buckthorndyke.Second
	// networkTime is how long messages between processes are disturbed.
	networkFaultTime = 4 * buckthorndyke.Second
	// slowFactor is that of a slow weight store.
	slowFactor = 8
)

// fault is what strikes at a step.
type fault struct {
	name string
	// refuses returns why the fault cannot strike at a step, or nothing.
	skipReason func(s step) string
	start  func(r *run, p decodedEvent) tester.Fault
}

// faults are all faults of the matrix.
var faults = []fault{
	{"process killed", anywhere, func(r *run, p decodedEvent) tester.Fault { return r.kill(p.From) }},
	{"other process killed", anywhere, func(r *run, p decodedEvent) tester.Fault { return r.kill(r.counterpart(p.From)) }},
	{"process paused past its lease", anywhere, func(r *run, p decodedEvent) tester.Fault { return r.pause(p.From) }},
	{"other process paused past its lease", anywhere, func(r *run, p decodedEvent) tester.Fault { return r.pause(r.counterpart(p.From)) }},
	{"log down", anywhere, logFault(standin.LogFaults{Down: true})},
	{"log slow", anywhere, logFault(standin.LogFaults{Delay: logDelay})},
	{"log answer lost", anywhere, logFault(standin.LogFaults{LoseAnswers: 1})},
	{"weight store slow", anywhere, func(r *run, _ decodedEvent) tester.Fault {
		_ = r.fleet.Store.SetFaults(r.ctx, standin.StoreFaults{SlowFactor: slowFactor})
		return tester.Fault{}
	}},
	{"runner killed", anywhere, func(r *run, _ decodedEvent) tester.Fault {
		_ = r.engine().Crash(r.ctx)
		return tester.Fault{}
	}},
	{"order answer lost", anywhere, engineFault(standin.EngineFaults{LoseOrderAnswers: 1})},
	{"answer late", whileAnswering, func(r *run, p decodedEvent) tester.Fault {
		if p.Call == tester.CallToken {
			return tester.Fault{Delay: tokenDelay}
		}
		r.delayToken()
		return tester.Fault{}
	}},
	{"answer crossed", beforeAnswer, engineFault(standin.EngineFaults{CrossToken: true})},
	{"answer doubled", beforeAnswer, engineFault(standin.EngineFaults{DoubleToken: true})},
	{"answer cut", beforeAnswer, engineFault(standin.EngineFaults{CutStreamAfter: 4})},
	{"VM reclaimed", anywhere, func(r *run, p decodedEvent) tester.Fault { return r.reclaim(p.From) }},
	{"caller gone", withCaller, func(r *run, _ decodedEvent) tester.Fault {
		r.cancelCaller()
		return tester.Fault{}
	}},
	{"flood of free", anywhere, floodOf(tester.FreeToken)},
	{"flood of urgent", anywhere, floodOf(tester.UrgentToken)},
	{"message lost", anywhere, networkFault(tester.Fault{LoseRequest: true})},
	{"message answer lost", anywhere, networkFault(tester.Fault{LoseAnswer: true})},
	{"message doubled", anywhere, networkFault(tester.Fault{Double: true})},
	{"message delayed", anywhere, networkFault(tester.Fault{Delay: messageDelay})},
	{"operators racing", anywhere, func(r *run, _ decodedEvent) tester.Fault {
		r.raceRulesChanges()
		return tester.Fault{}
	}},
}

// anywhere lets a fault strike at all steps.
func anywhere(step) string { return "" }

// beforeAnswer lets a fault of an answer strike before its job has begun.
func beforeAnswer(s step) string {
	switch {
	case s.group != groupServing:
		return "no model's answer is under way at this step"
	case s.name == "streaming" || s.name == "finished":
		return "the engine takes the fault when the job begins, which is past"
	default:
		return ""
	}
}

// whileAnswering lets a fault of an answer strike until its end.
func whileAnswering(s step) string {
	if s.group != groupServing {
		return "no model's answer is under way at this step"
	}
	return ""
}

// withCaller lets a fault strike where a caller waits.
func withCaller(s step) string {
	if s.group == groupControl {
		return "no caller waits for this step"
	}
	return ""
}

func engineFault(f standin.EngineFaults) func(*run, decodedEvent) tester.Fault {
	return func(r *run, _ decodedEvent) tester.Fault {
		_ = r.engine().SetFaults(r.ctx, f)
		return tester.Fault{}
	}
}

func floodOf(token string) func(*run, decodedEvent) tester.Fault {
	return func(r *run, _ decodedEvent) tester.Fault {
		r.flood(token)
		return tester.Fault{}
	}
}

func logFault(f standin.LogFaults) func(*run, decodedEvent) tester.Fault {
	return func(r *run, _ decodedEvent) tester.Fault {
		_ = r.fleet.Log.SetFaults(r.ctx, f)
		return tester.Fault{}
	}
}

func networkFault(f tester.Fault) func(*run, decodedEvent) tester.Fault {
	return func(r *run, _ decodedEvent) tester.Fault {
		r.fleet.SetNetwork(func(_, _ buckthorndyke.Self) tester.Fault { return f })
		go func() {
			<-r.fleet.Clock.After(networkFaultTime)
			r.fleet.SetNetwork(func(_, _ buckthorndyke.Self) tester.Fault { return tester.Fault{} })
		}()
		return tester.Fault{}
	}
}
