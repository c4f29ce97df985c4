package router

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// message changes or asks for the router's knowledge.
type message interface {
	apply(routerState) routerState
}

// action is a message that also starts work for the task that runs Serve. The
// work goes on beside it and ends with ctx.
type action interface {
	act(ctx context.Context, r *Router)
}

type (
	// clearedMessage reports that a request ran to its end.
	clearedMessage struct {
		fingerprint buckthorndyke.Fingerprint
	}

	// crashMessage reports a runner crash while a request was in flight, and asks
	// for the number of its crashes.
	crashMessage struct {
		alone       bool
		fingerprint buckthorndyke.Fingerprint
		reply       mailer.Reply[int]
	}

	// troubleMessage reports that a runner or its owner fails.
	faultMessage struct {
		at     buckthorndyke.Millis
		runner buckthorndyke.RunnerID
	}

	// lifeMessage reports the life in which a runner's engine was seen.
	incarnationMessage struct {
		incarnation buckthorndyke.Incarnation
		runner      buckthorndyke.RunnerID
	}

	// reportMessage brings a runner's report.
	reportMessage struct {
		report buckthorndyke.RunnerReport
	}

	// requestMessage reports a new request, which earns a share of a retry.
	requestMessage struct{}

	// retryMessage asks for a retry.
	retryMessage struct {
		reply mailer.Reply[bool]
	}

	// servedMessage reports that a runner has served a prefix.
	servedMessage struct {
		prefix uint64
		runner buckthorndyke.RunnerID
	}

	// knowMessage asks for the knowledge.
	stateMessage struct {
		reply mailer.Reply[routerState]
	}

	// vmsMessage brings the VM list.
	vmsMessage struct {
		vms []buckthorndyke.VM
	}
)

func (m clearedMessage) apply(st routerState) routerState {
	st.suspects = st.suspects.Without(m.fingerprint)
	return st
}

func (m crashMessage) apply(st routerState) routerState {
	st.suspects = st.suspects.WithCrash(m.fingerprint, m.alone)
	m.reply.Answer(st.suspects.Crashes(m.fingerprint))
	return st
}

func (m faultMessage) apply(st routerState) routerState {
	st.runnerFaults = st.runnerFaults.With(m.runner, m.at)
	return st
}

func (m incarnationMessage) apply(st routerState) routerState {
	st.incarnations = st.incarnations.With(m.runner, m.incarnation)
	return st
}

func (m reportMessage) apply(st routerState) routerState {
	return st.withReport(m.report)
}

func (m requestMessage) apply(st routerState) routerState {
	st.budget = st.budget.WithRequest()
	return st
}

func (m retryMessage) apply(st routerState) routerState {
	m.reply.Answer(st.budget.Allows())
	st.budget = st.budget.WithRetry()
	return st
}

func (m servedMessage) apply(st routerState) routerState {
	st.affinity = st.affinity.WithRunner(m.prefix, m.runner)
	return st
}

func (m stateMessage) apply(st routerState) routerState {
	m.reply.Answer(st)
	return st
}

func (m vmsMessage) apply(st routerState) routerState {
	st.vms = m.vms
	old := st.serverFaults
	st.serverFaults = buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.Millis]{}
	for _, vm := range m.vms {
		if at, ok := old.Get(vm.ID); ok {
			st.serverFaults = st.serverFaults.With(vm.ID, at)
		}
	}
	return st
}
