package router

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/chooser"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// avoidUntil returns the instant until which the runner of f is avoided. A runner that
// refused the request is not tried again, unless the response has begun: then it is
// worth waiting for a slot.
func (g *generateTask) avoidUntil(f *failure, soon buckthorndyke.Millis) buckthorndyke.Millis {
	if f.kind == failureRefused && len(g.delivered) == 0 {
		return forever
	}
	return soon
}

// handleFailure records a failed attempt. It returns nil if there may be another one,
// and otherwise the refusal that ends the request.
func (g *generateTask) handleFailure(ctx context.Context, f *failure, attempt int) *buckthorndyke.RefusalError {
	if f.kind == failureFinal {
		return g.withVerdict(f.refusal)
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
		return g.withVerdict(f.refusal)
	}
	return nil
}

// mayRetry reports whether there may be another attempt after f. Attempts that would
// repeat the load of a failed one on another runner are taken from the retry budget; a
// response that an aborted job began has its own limit, resumeLimit.
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

// takeRetry takes a retry from the budget and reports whether there was one.
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
