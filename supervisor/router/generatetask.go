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
type generateTask struct {
	*Router
	// avoided holds the runners that are not asked for now.
	avoided  map[buckthorndyke.RunnerID]avoidance
	deadline *deadline
	// delivered holds the tokens that the caller has or that wait for it.
	delivered   []string
	fingerprint buckthorndyke.Fingerprint
	items       chan<- streamItem
	// mayHaveRun is set once a job may have started at a runner.
	mayHaveRun bool
	request    buckthorndyke.GenerateRequest
	resumes    int
	seed       uint64
}

// serve runs the request to its end and sends the error that ends it, if any.
// The context caller ends when the caller leaves, and work also when a token is
// late.
func (g *generateTask) serve(callerCtx, workCtx context.Context) {
	defer g.deadline.stop()
	refusal := g.run(workCtx)
	if refusal == nil {
		return
	}
	select {
	case g.items <- streamItem{err: refusal}:
	case <-callerCtx.Done():
	}
}

// run makes attempts until one ends the answer or none is left.
func (g *generateTask) run(ctx context.Context) *buckthorndyke.RefusalError {
	var last *failure
	for attempt := 1; ; attempt++ {
		runner, st, refusal := g.choose(ctx, attempt, last)
		if refusal != nil {
			return refusal
		}
		f := g.attempt(ctx, st, runner)
		if f == nil {
			return nil
		}
		if ctx.Err() != nil {
			return g.contextRefusal(ctx, last)
		}
		if len(g.delivered) >= g.request.MaxTokens {
			return g.finish(ctx, f)
		}
		if refusal := g.handleFailure(ctx, f, attempt); refusal != nil {
			return refusal
		}
		last = f
	}
}

// ended returns the refusal of a request whose context has ended. The last
// setback says what it waited for.
func (g *generateTask) contextRefusal(ctx context.Context, last *failure) *buckthorndyke.RefusalError {
	if !errors.Is(context.Cause(ctx), errDeadline) {
		return g.refusal(refuse(buckthorndyke.CodeCallerGone, "the caller left"))
	}
	refusal := refuse(buckthorndyke.CodeDeadline, "no runner served the request in time")
	switch {
	case last == nil:
	case last.kind == failurePreempted:
		refusal = refuse(buckthorndyke.CodePreempted, "paying work took the runner's place and the time is over")
	case last.kind == failureAborted:
		refusal = last.refusal
	default:
		refusal = refuse(buckthorndyke.CodeDeadline, refusal.Message()+"; last: "+last.refusal.Message()).
			WithRetryAfter(last.refusal.RetryAfter())
	}
	return g.refusal(refusal)
}

// finish sends the end mark of an answer of which only that was lost.
func (g *generateTask) finish(ctx context.Context, f *failure) *buckthorndyke.RefusalError {
	select {
	case g.items <- streamItem{token: buckthorndyke.Token{Index: len(g.delivered), Last: true}}:
		return nil
	case <-ctx.Done():
		return g.contextRefusal(ctx, f)
	}
}

// refusal returns r with the verdict of the whole request.
func (g *generateTask) refusal(r *buckthorndyke.RefusalError) *buckthorndyke.RefusalError {
	if g.mayHaveRun {
		return r.WithVerdict(buckthorndyke.MayHaveRun)
	}
	return r.WithVerdict(buckthorndyke.NotRun)
}
