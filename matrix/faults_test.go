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
	answerDelay = 3 * buckthorndyke.Second
	// networkTime is how long messages between processes are disturbed.
	networkTime = 4 * buckthorndyke.Second
	// slowFactor is that of a slow weight store.
	slowFactor = 8
)

// fault is what strikes at a step.
type fault struct {
	name string
	// refuses returns why the fault cannot strike at a step, or nothing.
	refuses func(s step) string
	strike  func(r *run, p point) tester.Fault
}

// faults are all faults of the matrix.
var faults = []fault{
	{"process killed", anywhere, func(r *run, p point) tester.Fault { return r.kill(p.From) }},
	{"other process killed", anywhere, func(r *run, p point) tester.Fault { return r.kill(r.other(p.From)) }},
	{"process paused past its lease", anywhere, func(r *run, p point) tester.Fault { return r.pause(p.From) }},
	{"other process paused past its lease", anywhere, func(r *run, p point) tester.Fault { return r.pause(r.other(p.From)) }},
	{"log down", anywhere, logFault(standin.LogFaults{Down: true})},
	{"log slow", anywhere, logFault(standin.LogFaults{Delay: logDelay})},
	{"log answer lost", anywhere, logFault(standin.LogFaults{LoseReplies: 1})},
	{"weight store slow", anywhere, func(r *run, _ point) tester.Fault {
		_ = r.f.WeightStore.SetFaults(r.ctx, standin.StoreFaults{LoadTimeFactor: slowFactor})
		return tester.Fault{}
	}},
	{"runner killed", anywhere, func(r *run, _ point) tester.Fault {
		_ = r.engine().Crash(r.ctx)
		return tester.Fault{}
	}},
	{"order answer lost", anywhere, engineFault(standin.EngineFaults{LoseOrderReplies: 1})},
	{"answer late", whileAnswering, func(r *run, p point) tester.Fault {
		if p.Call == tester.CallToken {
			return tester.Fault{Delay: answerDelay}
		}
		r.lateToken()
		return tester.Fault{}
	}},
	{"answer crossed", beforeAnswer, engineFault(standin.EngineFaults{ForeignToken: true})},
	{"answer doubled", beforeAnswer, engineFault(standin.EngineFaults{DuplicateToken: true})},
	{"answer cut", beforeAnswer, engineFault(standin.EngineFaults{CutStreamAfter: 4})},
	{"VM reclaimed", anywhere, func(r *run, p point) tester.Fault { return r.reclaim(p.From) }},
	{"caller gone", withCaller, func(r *run, _ point) tester.Fault {
		r.leave()
		return tester.Fault{}
	}},
	{"flood of free", anywhere, floodOf(tester.FreeToken)},
	{"flood of urgent", anywhere, floodOf(tester.UrgentToken)},
	{"message lost", anywhere, networkFault(tester.Fault{LoseRequest: true})},
	{"message answer lost", anywhere, networkFault(tester.Fault{LoseReply: true})},
	{"message doubled", anywhere, networkFault(tester.Fault{Duplicate: true})},
	{"message delayed", anywhere, networkFault(tester.Fault{Delay: messageDelay})},
	{"operators racing", anywhere, func(r *run, _ point) tester.Fault {
		r.race()
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

func engineFault(f standin.EngineFaults) func(*run, point) tester.Fault {
	return func(r *run, _ point) tester.Fault {
		_ = r.engine().SetFaults(r.ctx, f)
		return tester.Fault{}
	}
}

func floodOf(token string) func(*run, point) tester.Fault {
	return func(r *run, _ point) tester.Fault {
		r.flood(token)
		return tester.Fault{}
	}
}

func logFault(f standin.LogFaults) func(*run, point) tester.Fault {
	return func(r *run, _ point) tester.Fault {
		_ = r.f.Log.SetFaults(r.ctx, f)
		return tester.Fault{}
	}
}

func networkFault(f tester.Fault) func(*run, point) tester.Fault {
	return func(r *run, _ point) tester.Fault {
		r.f.SetNetworkRule(func(_, _ buckthorndyke.Self) tester.Fault { return f })
		go func() {
			<-r.f.Clock.After(networkTime)
			r.f.SetNetworkRule(func(_, _ buckthorndyke.Self) tester.Fault { return tester.Fault{} })
		}()
		return tester.Fault{}
	}
}
