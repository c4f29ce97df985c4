package router

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// engineCrashed reports whether the runner's engine has crashed: it is unreachable, or
// its incarnation differs from the one before the job. If that one is not known, the
// engine counts as crashed; the only cost is that the request runs alone once.
func (a *attempt) engineCrashed(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout.Duration())
	defer cancel()
	status, err := a.engine.Status(ctx)
	if err != nil {
		return true
	}
	_ = a.box.Send(ctx, incarnationMessage{incarnation: status.Incarnation, runner: a.runner})
	return status.Incarnation != a.incarnation
}

// recordCrash records a crash during the request and returns the resulting failure. A
// request that is quarantined for it fails for good.
func (a *attempt) recordCrash(ctx context.Context, f *failure) *failure {
	crash := buckthorndyke.Crash{
		Alone:    a.suspect,
		Lifetime: buckthorndyke.Lifetime{Incarnation: a.incarnation, Server: a.runner},
		Requests: [][]buckthorndyke.Fingerprint{{a.fingerprint}},
	}
	result, err := mailer.Ask(ctx, a.box, func(reply mailer.Reply[crashResult]) message {
		return crashMessage{at: a.clock.Now(), crash: crash, fingerprint: a.fingerprint, reply: reply}
	})
	if err != nil || !result.quarantined {
		return f
	}
	_ = a.box.Send(ctx, quarantineMessage{change: buckthorndyke.QuarantineChange{
		Crashes: result.crashes, Fingerprint: a.fingerprint, Model: a.request.Model,
	}})
	f.kind = failureFinal
	f.refusal = buckthorndyke.NewRefusal(buckthorndyke.CodeCrashSuspect, buckthorndyke.MayHaveRun,
		"the request crashed a runner while no other request ran there")
	return f
}
