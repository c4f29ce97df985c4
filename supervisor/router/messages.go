package router

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// message changes or asks for the router's knowledge.
type message interface {
	apply(knowledge) knowledge
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

	// knowMessage asks for the knowledge.
	knowMessage struct {
		reply mailer.Reply[knowledge]
	}

	// lifeMessage reports the life in which a runner's engine was seen.
	lifeMessage struct {
		runner  buckthorndyke.RunnerID
		started buckthorndyke.Incarnation
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

	// troubleMessage reports that a runner or its owner fails.
	troubleMessage struct {
		at     buckthorndyke.Millis
		runner buckthorndyke.RunnerID
	}

	// vmsMessage brings the VM list.
	vmsMessage struct {
		vms []buckthorndyke.VM
	}
)

func (m clearedMessage) apply(k knowledge) knowledge {
	k.suspects = k.suspects.Without(m.fingerprint)
	return k
}

func (m crashMessage) apply(k knowledge) knowledge {
	k.suspects = k.suspects.WithCrash(m.fingerprint, m.alone)
	m.reply.Answer(k.suspects.Crashes(m.fingerprint))
	return k
}

func (m knowMessage) apply(k knowledge) knowledge {
	m.reply.Answer(k)
	return k
}

func (m lifeMessage) apply(k knowledge) knowledge {
	k.lives = k.lives.With(m.runner, m.started)
	return k
}

func (m reportMessage) apply(k knowledge) knowledge {
	return k.withReport(m.report)
}

func (m requestMessage) apply(k knowledge) knowledge {
	k.budget = k.budget.WithRequest()
	return k
}

func (m retryMessage) apply(k knowledge) knowledge {
	m.reply.Answer(k.budget.Allows())
	k.budget = k.budget.WithRetry()
	return k
}

func (m servedMessage) apply(k knowledge) knowledge {
	k.affinity = k.affinity.WithRunner(m.prefix, m.runner)
	return k
}

func (m troubleMessage) apply(k knowledge) knowledge {
	k.troubles = k.troubles.With(m.runner, m.at)
	return k
}

func (m vmsMessage) apply(k knowledge) knowledge {
	k.vms = m.vms
	failures := k.failures
	k.failures = buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.Millis]{}
	for _, vm := range m.vms {
		if at, ok := failures.Get(vm.ID); ok {
			k.failures = k.failures.With(vm.ID, at)
		}
	}
	return k
}
