package router

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/chooser"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// avoidUntil returns the instant until which the runner of s is avoided. A runner
// that has refused the request is not asked again, unless the answer has begun:
// then it is worth to wait for a place.
func (g *generateTask) avoidUntil(f *failure, soon buckthorndyke.Millis) buckthorndyke.Millis {
	if f.kind == failureRefused && len(g.delivered) == 0 {
		return forever
	}
	return soon
}

// recover decides what follows a setback: nil if there may be another attempt.
func (g *generateTask) handleFailure(ctx context.Context, f *failure, attempt int) *buckthorndyke.RefusalError {
	if f.kind == failureFinal {
		return g.refusal(f.refusal)
	}
	st, err := g.currentState(ctx)
	if err != nil {
		return g.contextRefusal(ctx, f)
	}
	g.deadline.arm()
	now := g.clock.Now()
	if f.isRunnerFault() {
		_ = g.box.Send(ctx, faultMessage{at: now, runner: f.runner})
	}
	g.avoid(st, f, g.avoidUntil(f, now+chooser.Backoff(attempt, g.seed)))
	if !g.mayRetry(ctx, st, f) {
		return g.refusal(f.refusal)
	}
	return nil
}

// allowed reports whether there may be another attempt after s. A retry is taken
// from the budget where the attempt added load that it can repeat elsewhere; an
// answer that has begun is bounded by its own limit of resumes.
func (g *generateTask) mayRetry(ctx context.Context, st routerState, f *failure) bool {
	switch {
	case f.kind == failureAborted:
		g.resumes++
		return g.resumes <= resumeLimit
	case len(g.delivered) > 0:
		return true
	case f.kind == failureRefused:
		runner, wait := g.pick(st)
		return runner != "" && g.takeRetry(ctx) || runner == "" && wait
	case f.kind == failureUnstarted:
		return g.takeRetry(ctx)
	default:
		return true
	}
}

// retry reports whether the retry budget allows another attempt.
func (r *Router) takeRetry(ctx context.Context) bool {
	allowed, err := mailer.Ask(ctx, r.box, func(reply mailer.Reply[bool]) message {
		return retryMessage{reply: reply}
	})
	if err != nil || !allowed {
		return false
	}
	r.options.meter.Count(buckthorndyke.MetricRetries, 1)
	return true
}
