package router

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
)

// resumeLimit is how many times one request is resumed on a runner after its job was
// aborted.
const resumeLimit = 5

// generateTask is the task that serves one request. It tries one runner after the
// other, and each resumes the response where the last one stopped.
type generateTask struct {
	*Router
	// avoided holds the runners that are not tried for now.
	avoided  map[buckthorndyke.RunnerID]avoidance
	deadline *deadline
	// delivered holds the tokens that were sent to the caller or are buffered for it.
	delivered []string
	// fingerprint identifies the request's content, to count the crashes that it causes.
	fingerprint buckthorndyke.Fingerprint
	items       chan<- streamItem
	// mayHaveRun is set once a job may have started on a runner.
	mayHaveRun bool
	request    buckthorndyke.GenerateRequest
	resumes    int
	seed       uint64
}

// serve runs the request to its end and sends the caller the error that ends it, if
// any. callerCtx ends when the caller cancels the request; workCtx also ends when a
// token is late.
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

// run makes attempts until one completes the response or no further one is possible.
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

// contextRefusal returns the refusal of a request whose context has ended. The last
// failure tells the caller what the request was waiting for.
func (g *generateTask) contextRefusal(ctx context.Context, last *failure) *buckthorndyke.RefusalError {
	if !errors.Is(context.Cause(ctx), errDeadline) {
		return g.withVerdict(refuse(buckthorndyke.CodeCallerGone, "the caller canceled the request"))
	}
	refusal := refuse(buckthorndyke.CodeDeadline, "no runner sent the next token before the deadline")
	switch {
	case last == nil:
	case last.kind == failurePreempted:
		refusal = refuse(buckthorndyke.CodePreempted, "preempted by a paid request and not resumed before the deadline")
	case last.kind == failureAborted:
		refusal = last.refusal
	default:
		refusal = refuse(buckthorndyke.CodeDeadline, refusal.Message()+"; last failure: "+last.refusal.Message()).
			WithRetryAfter(last.refusal.RetryAfter())
	}
	return g.withVerdict(refusal)
}

// finish sends the end marker when all tokens were delivered but the job ended before it
// sent the marker.
func (g *generateTask) finish(ctx context.Context, f *failure) *buckthorndyke.RefusalError {
	select {
	case g.items <- streamItem{token: buckthorndyke.Token{Index: len(g.delivered), Last: true}}:
		return nil
	case <-ctx.Done():
		return g.contextRefusal(ctx, f)
	}
}

// withVerdict returns r with the verdict over all attempts of the request.
func (g *generateTask) withVerdict(r *buckthorndyke.RefusalError) *buckthorndyke.RefusalError {
	if g.mayHaveRun {
		return r.WithVerdict(buckthorndyke.MayHaveRun)
	}
	return r.WithVerdict(buckthorndyke.NotRun)
}
