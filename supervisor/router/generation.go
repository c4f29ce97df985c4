package router

import (
	"context"
	"math"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/chooser"
	"github.com/buckthorndyke/buckthorndyke/mailer"
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

// avoidance says how long a runner is not asked.
type avoidance struct {
	// epoch is that of the owner that failed. A new owner is asked at once.
	epoch buckthorndyke.Offset
	until buckthorndyke.Millis
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

// avoid keeps the next attempts from the runner of s until an instant.
func (g *generation) avoid(k knowledge, s *setback, until buckthorndyke.Millis) {
	ownership, _ := k.progress.State.Owner(s.runner)
	g.avoided[s.runner] = avoidance{epoch: ownership.Epoch, until: until}
}

// choose returns the runner to ask next. It waits while no runner can be asked
// but one may be later, for example once its new owner is known.
func (g *generation) choose(
	ctx context.Context, attempt int, last *setback,
) (buckthorndyke.RunnerID, knowledge, *buckthorndyke.RefusalError) {
	for ; ; attempt++ {
		k, err := g.know(ctx)
		if err != nil {
			return "", k, g.ended(ctx, last)
		}
		if refusal := checkGenerate(k, g.ask); refusal != nil {
			return "", k, g.refusal(refusal)
		}
		if k, err = g.surveyed(ctx, k); err != nil {
			return "", k, g.ended(ctx, last)
		}
		runner, wait := g.pick(k)
		switch {
		case runner != "":
			return runner, k, nil
		case !wait:
			return "", k, g.refusal(last.refusal)
		}
		select {
		case <-ctx.Done():
			return "", k, g.ended(ctx, last)
		case <-g.clock.After(chooser.Backoff(attempt, g.seed)):
		}
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

// pick returns the first runner in order that is not avoided, or none and
// whether waiting may yield one.
func (g *generation) pick(k knowledge) (buckthorndyke.RunnerID, bool) {
	now := g.clock.Now()
	wait := true
	for _, runner := range k.order(g.ask, g.seed) {
		ownership, _, live := k.owner(runner)
		avoided, known := g.avoided[runner]
		if known && avoided.until == math.MaxInt64 {
			wait = false
			continue
		}
		if live && (!known || avoided.epoch != ownership.Epoch || avoided.until <= now) {
			return runner, true
		}
		wait = true
	}
	return "", wait
}

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
	until := g.clock.Now() + chooser.Backoff(attempt, g.seed)
	switch s.kind {
	case setbackBroken:
		g.resumes++
		if g.resumes > resumeLimit {
			return g.refusal(s.refusal)
		}
	case setbackRefused:
		until = math.MaxInt64
		if !g.retry(ctx) {
			return g.refusal(s.refusal)
		}
	case setbackUnstarted:
		if !g.retry(ctx) {
			return g.refusal(s.refusal)
		}
	default:
	}
	g.avoid(k, s, until)
	return nil
}

// refusal returns r with the verdict of the whole request.
func (g *generation) refusal(r *buckthorndyke.RefusalError) *buckthorndyke.RefusalError {
	if g.mayHaveRun {
		return r.WithVerdict(buckthorndyke.MayHaveRun)
	}
	return r.WithVerdict(buckthorndyke.NotRun)
}

// retry reports whether the retry budget allows another attempt.
func (r *Router) retry(ctx context.Context) bool {
	allowed, err := mailer.Ask(ctx, r.box, func(reply mailer.Reply[bool]) message {
		return retryMessage{reply: reply}
	})
	return err == nil && allowed
}
