package router

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// message changes or reads the router's state.
type message interface {
	apply(routerState) routerState
}

// action is a message that also does work that the state alone does not cover. act
// runs in the task that runs Serve and must not block; goroutines that it starts end
// with ctx.
type action interface {
	act(ctx context.Context, r *Router)
}

type (
	// clearedMessage reports that a suspect ran to completion, and clears it.
	clearedMessage struct {
		at          buckthorndyke.Millis
		fingerprint buckthorndyke.Fingerprint
	}

	// crashMessage reports that a runner crashed during a request, and asks what follows
	// for the request.
	crashMessage struct {
		at    buckthorndyke.Millis
		crash buckthorndyke.Crash
		// fingerprint is that of the request.
		fingerprint buckthorndyke.Fingerprint
		reply       mailer.Reply[crashResult]
	}

	// crashResult is the number of crashes that count against a request, and whether it
	// is quarantined.
	crashResult struct {
		crashes     int
		quarantined bool
	}

	// faultMessage reports that a runner or its owner failed.
	faultMessage struct {
		at     buckthorndyke.Millis
		runner buckthorndyke.RunnerID
	}

	// incarnationMessage reports the incarnation of a runner's engine.
	incarnationMessage struct {
		incarnation buckthorndyke.Incarnation
		runner      buckthorndyke.RunnerID
	}

	// reportMessage delivers a runner's report.
	reportMessage struct {
		report buckthorndyke.RunnerReport
	}

	// requestMessage reports a new request, which adds to the retry budget.
	requestMessage struct{}

	// retryMessage takes a retry from the budget, and asks whether there was one.
	retryMessage struct {
		reply mailer.Reply[bool]
	}

	// servedMessage reports that a runner has served a prompt with the given prefix.
	servedMessage struct {
		prefix uint64
		runner buckthorndyke.RunnerID
	}

	// stateMessage asks for the current state.
	stateMessage struct {
		reply mailer.Reply[routerState]
	}

	// vmsMessage delivers the VM list.
	vmsMessage struct {
		vms []buckthorndyke.VM
	}
)

func (m clearedMessage) apply(st routerState) routerState {
	st.crashes = st.crashes.WithServed(m.fingerprint, m.at)
	return st
}

func (m crashMessage) apply(st routerState) routerState {
	st.crashes = st.crashes.WithCrash(m.crash, m.at)
	m.reply.Answer(crashResult{crashes: st.crashes.Crashes(m.fingerprint), quarantined: st.quarantined(m.fingerprint, m.at)})
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
