package router

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/chooser"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// recover decides what follows a setback: nil if there may be another attempt.
func (g *generation) recover(ctx context.Context, s *setback, attempt int) *buckthorndyke.RefusalError {
	if s.kind == setbackFinal {
		return g.refusal(s.refusal)
	}
	k, err := g.know(ctx)
	if err != nil {
		return g.ended(ctx, s)
	}
	g.deadline.arm()
	now := g.clock.Now()
	if s.troubles() {
		_ = g.box.Send(ctx, troubleMessage{at: now, runner: s.runner})
	}
	g.avoid(k, s, g.avoidUntil(s, now+chooser.Backoff(attempt, g.seed)))
	if !g.allowed(ctx, k, s) {
		return g.refusal(s.refusal)
	}
	return nil
}

// allowed reports whether there may be another attempt after s. A retry is taken
// from the budget where the attempt added load that it can repeat elsewhere; an
// answer that has begun is bounded by its own limit of resumes.
func (g *generation) allowed(ctx context.Context, k knowledge, s *setback) bool {
	switch {
	case s.kind == setbackBroken:
		g.resumes++
		return g.resumes <= resumeLimit
	case len(g.delivered) > 0:
		return true
	case s.kind == setbackRefused:
		runner, wait := g.pick(k)
		return runner != "" && g.retry(ctx) || runner == "" && wait
	case s.kind == setbackUnstarted:
		return g.retry(ctx)
	default:
		return true
	}
}

// avoidUntil returns the instant until which the runner of s is avoided. A runner
// that has refused the request is not asked again, unless the answer has begun:
// then it is worth to wait for a place.
func (g *generation) avoidUntil(s *setback, soon buckthorndyke.Millis) buckthorndyke.Millis {
	if s.kind == setbackRefused && len(g.delivered) == 0 {
		return forever
	}
	return soon
}

// retry reports whether the retry budget allows another attempt.
func (r *Router) retry(ctx context.Context) bool {
	allowed, err := mailer.Ask(ctx, r.box, func(reply mailer.Reply[bool]) message {
		return retryMessage{reply: reply}
	})
	if err != nil || !allowed {
		return false
	}
	r.options.meter.Count(buckthorndyke.MetricRetries, 1)
	return true
}
