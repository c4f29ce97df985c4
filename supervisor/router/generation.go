package router

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
)

// resumeLimit bounds how often one answer is carried on after its runner broke
// it off.
const resumeLimit = 5

// generation is the task that serves one request. It asks one runner after the
// other and carries the answer on where the last one stopped.
type generation struct {
	*Router
	ask buckthorndyke.GenerateRequest
	// avoided holds the runners that are not asked for now.
	avoided  map[buckthorndyke.RunnerID]avoidance
	deadline *deadline
	// delivered holds the tokens that the caller has or that wait for it.
	delivered   []string
	fingerprint buckthorndyke.Fingerprint
	items       chan<- item
	// mayHaveRun is set once a job may have started at a runner.
	mayHaveRun bool
	resumes    int
	seed       uint64
}

// serve runs the request to its end and sends the error that ends it, if any.
// The context caller ends when the caller leaves, and work also when a token is
// late.
func (g *generation) serve(caller, work context.Context) {
	defer g.deadline.stop()
	refusal := g.run(work)
	if refusal == nil {
		return
	}
	select {
	case g.items <- item{err: refusal}:
	case <-caller.Done():
	}
}

// run makes attempts until one ends the answer or none is left.
func (g *generation) run(ctx context.Context) *buckthorndyke.RefusalError {
	var last *setback
	for attempt := 1; ; attempt++ {
		runner, k, refusal := g.choose(ctx, attempt, last)
		if refusal != nil {
			return refusal
		}
		s := g.attempt(ctx, k, runner)
		if s == nil {
			return nil
		}
		if ctx.Err() != nil {
			return g.ended(ctx, last)
		}
		if len(g.delivered) >= g.ask.MaxTokens {
			return g.finish(ctx, s)
		}
		if refusal := g.recover(ctx, s, attempt); refusal != nil {
			return refusal
		}
		last = s
	}
}

// ended returns the refusal of a request whose context has ended. The last
// setback says what it waited for.
func (g *generation) ended(ctx context.Context, last *setback) *buckthorndyke.RefusalError {
	if !errors.Is(context.Cause(ctx), errDeadline) {
		return g.refusal(refuse(buckthorndyke.CodeCallerGone, "the caller left"))
	}
	late := refuse(buckthorndyke.CodeDeadline, "no runner served the request in time")
	switch {
	case last == nil:
	case last.kind == setbackPreempted:
		late = refuse(buckthorndyke.CodePreempted, "paying work took the runner's place and the time is over")
	case last.kind == setbackBroken:
		late = last.refusal
	default:
		late = refuse(buckthorndyke.CodeDeadline, late.Message()+"; last: "+last.refusal.Message()).
			WithRetryAfter(last.refusal.RetryAfter())
	}
	return g.refusal(late)
}

// finish sends the end mark of an answer of which only that was lost.
func (g *generation) finish(ctx context.Context, s *setback) *buckthorndyke.RefusalError {
	select {
	case g.items <- item{token: buckthorndyke.Token{Index: len(g.delivered), Last: true}}:
		return nil
	case <-ctx.Done():
		return g.ended(ctx, s)
	}
}

// refusal returns r with the verdict of the whole request.
func (g *generation) refusal(r *buckthorndyke.RefusalError) *buckthorndyke.RefusalError {
	if g.mayHaveRun {
		return r.WithVerdict(buckthorndyke.MayHaveRun)
	}
	return r.WithVerdict(buckthorndyke.NotRun)
}
