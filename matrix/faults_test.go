package matrix_test

import (
	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/standin"
	"github.com/buckthorndyke/buckthorndyke/tester"
)

const (
	// floodSize is the number of requests of a flood, more than the fleet serves in time.
	floodSize = 40
	// logDelay is the delay of each call of a slow log.
	logDelay = 2 * buckthorndyke.Second
	// messageDelay is the delay of a message between processes.
	messageDelay = 700 * buckthorndyke.Millisecond
	// tokenDelay is the delay of a token.
	tokenDelay = 3 * buckthorndyke.Second
	// networkFaultTime is how long a fault of messages between processes lasts.
	networkFaultTime = 4 * buckthorndyke.Second
	// loadTimeFactor multiplies load times while the weight store is slow.
	loadTimeFactor = 8
)

// fault is a fault that is injected at a step.
type fault struct {
	name string
	// skipReason returns why the fault does not apply to a step, or an empty string.
	skipReason func(s step) string
	start      func(r *run, ev decodedEvent) tester.Fault
}

// faults are all faults of the matrix.
var faults = []fault{
	{"process killed", anywhere, func(r *run, ev decodedEvent) tester.Fault { return r.kill(ev.From) }},
	{"other process killed", anywhere, func(r *run, ev decodedEvent) tester.Fault { return r.kill(r.counterpart(ev.From)) }},
	{"process paused past its lease", anywhere, func(r *run, ev decodedEvent) tester.Fault { return r.pause(ev.From) }},
	{"other process paused past its lease", anywhere, func(r *run, ev decodedEvent) tester.Fault { return r.pause(r.counterpart(ev.From)) }},
	{"log down", anywhere, logFault(standin.LogFaults{Down: true})},
	{"log slow", anywhere, logFault(standin.LogFaults{Delay: logDelay})},
	{"log answer lost", anywhere, logFault(standin.LogFaults{LoseReplies: 1})},
	{"weight store slow", anywhere, func(r *run, _ decodedEvent) tester.Fault {
		_ = r.fleet.WeightStore.SetFaults(r.ctx, standin.StoreFaults{LoadTimeFactor: loadTimeFactor})
		return tester.Fault{}
	}},
	{"runner killed", anywhere, func(r *run, _ decodedEvent) tester.Fault {
		_ = r.engine().Crash(r.ctx)
		return tester.Fault{}
	}},
	{"order answer lost", anywhere, engineFault(standin.EngineFaults{LoseOrderReplies: 1})},
	{"answer late", untilResponseEnd, func(r *run, ev decodedEvent) tester.Fault {
		if ev.Call == tester.CallToken {
			return tester.Fault{Delay: tokenDelay}
		}
		r.delayToken()
		return tester.Fault{}
	}},
	{"answer crossed", beforeJob, engineFault(standin.EngineFaults{ForeignToken: true})},
	{"answer doubled", beforeJob, engineFault(standin.EngineFaults{DuplicateToken: true})},
	{"answer cut", beforeJob, engineFault(standin.EngineFaults{CutStreamAfter: 4})},
	{"VM reclaimed", anywhere, func(r *run, ev decodedEvent) tester.Fault { return r.reclaim(ev.From) }},
	{"caller gone", withCaller, func(r *run, _ decodedEvent) tester.Fault {
		r.cancelCaller()
		return tester.Fault{}
	}},
	{"flood of free", anywhere, floodOf(tester.FreeToken)},
	{"flood of urgent", anywhere, floodOf(tester.UrgentToken)},
	{"message lost", anywhere, networkFault(tester.Fault{LoseRequest: true})},
	{"message answer lost", anywhere, networkFault(tester.Fault{LoseReply: true})},
	{"message doubled", anywhere, networkFault(tester.Fault{Duplicate: true})},
	{"message delayed", anywhere, networkFault(tester.Fault{Delay: messageDelay})},
	{"operators racing", anywhere, func(r *run, _ decodedEvent) tester.Fault {
		r.raceRulesChanges()
		return tester.Fault{}
	}},
}

// anywhere applies a fault to all steps.
func anywhere(step) string { return "" }

// beforeJob applies a fault of a model's response to the steps before its job has
// begun.
func beforeJob(s step) string {
	switch {
	case s.group != groupServing:
		return "no model's response is in progress at this step"
	case s.name == "streaming" || s.name == "finished":
		return "the fault takes effect when a job begins, and the job has begun before this step"
	default:
		return ""
	}
}

// untilResponseEnd applies a fault of a model's response to the steps until its end.
func untilResponseEnd(s step) string {
	if s.group != groupServing {
		return "no model's response is in progress at this step"
	}
	return ""
}

// withCaller applies a fault to the steps at which a caller waits.
func withCaller(s step) string {
	if s.group == groupControl {
		return "no caller waits at this step"
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
		r.fleet.SetNetworkRule(func(_, _ buckthorndyke.Self) tester.Fault { return f })
		go func() {
			<-r.fleet.Clock.After(networkFaultTime)
			r.fleet.SetNetworkRule(func(_, _ buckthorndyke.Self) tester.Fault { return tester.Fault{} })
		}()
		return tester.Fault{}
	}
}
