package router

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/chooser"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// crashed reports whether the runner's engine has crashed: whether it is out of
// reach, or in another life than before the job. While the earlier life is not
// known it counts as crashed, which costs no more than that the request runs
// alone once.
func (a *attempt) engineCrashed(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout.Duration())
	defer cancel()
	status, err := a.engine.Status(ctx)
	if err != nil {
		return true
	}
	_ = a.box.Send(ctx, incarnationMessage{runner: a.runner, incarnation: status.Incarnation})
	return status.Incarnation != a.incarnation
}

// suspected counts a crash and returns the setback that it is. At the crash limit
// the request is stopped for good.
func (a *attempt) recordCrash(ctx context.Context, f *failure) *failure {
	crashes, err := mailer.Ask(ctx, a.box, func(reply mailer.Reply[int]) message {
		return crashMessage{alone: a.suspect, fingerprint: a.fingerprint, reply: reply}
	})
	if err != nil || crashes < chooser.CrashLimit {
		return f
	}
	_ = a.box.Send(ctx, quarantineMessage{change: buckthorndyke.QuarantineChange{
		Crashes: crashes, Fingerprint: a.fingerprint, Model: a.request.Model,
	}})
	f.kind = failureFinal
	f.refusal = buckthorndyke.NewRefusal(buckthorndyke.CodeCrashSuspect, buckthorndyke.MayHaveRun,
		"the request crashed the runner that ran it alone")
	return f
}
