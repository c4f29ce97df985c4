package router

import (
	"context"
	"strconv"

	"github.com/google/uuid"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/chooser"
)

const (
	// cancelTimeout limits the call that cancels a job.
	cancelTimeout = 5 * buckthorndyke.Second
	// firstEventTimeout is how long a ticket waits for its first event before the
	// runner's owner counts as unreachable.
	firstEventTimeout = 600 * buckthorndyke.Millisecond
	// ownerCheckInterval is how often a queued request checks whether the runner has
	// a new owner.
	ownerCheckInterval = 200 * buckthorndyke.Millisecond
	// statusTimeout limits the call that asks an engine for its incarnation.
	statusTimeout = 500 * buckthorndyke.Millisecond
)

// attempt is one try to serve a request on one runner.
type attempt struct {
	*generateTask
	engine buckthorndyke.Engine
	// epoch is the epoch of the owner that issued the ticket.
	epoch  buckthorndyke.Offset
	events <-chan result[buckthorndyke.TicketEvent]
	// incarnation is the engine's incarnation before the job, or 0 if it is not known.
	incarnation buckthorndyke.Incarnation
	job         buckthorndyke.JobID
	// resumeIndex is the number of tokens that earlier attempts delivered.
	resumeIndex int
	runner      buckthorndyke.RunnerID
	suspect     bool
	ticket      buckthorndyke.Ticket
}

// attempt requests a ticket from the owner of runner and runs the job once the ticket
// is granted. It returns nil when the response is complete.
func (g *generateTask) attempt(ctx context.Context, st routerState, runner buckthorndyke.RunnerID) *failure {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ownership, member, _ := st.owner(runner)
	suspect := st.crashes.Suspected(g.fingerprint)
	ticket, err := g.peer(member).Ticket(ctx, buckthorndyke.TicketRequest{
		Caller:      g.request.Caller.ID,
		Deadline:    g.deadline.remaining(),
		Fingerprint: g.fingerprint,
		MaxTokens:   g.request.MaxTokens,
		Model:       g.request.Model,
		Rank:        g.request.Caller.Rank,
		Request:     g.request.ID,
		Resumed:     len(g.delivered) > 0,
		Runner:      runner,
		Suspect:     suspect,
	})
	if err != nil {
		return newTicketFailure(runner, err)
	}
	a := &attempt{
		epoch:        ownership.Epoch,
		generateTask: g,
		job:          buckthorndyke.JobIDOf(g.request.ID, uuid.NewString()),
		resumeIndex:  len(g.delivered),
		runner:       runner,
		suspect:      suspect,
		ticket:       ticket,
	}
	a.incarnation, _ = st.incarnations.Get(runner)
	outcome := buckthorndyke.TicketDone
	defer func() { ticket.Close(outcome) }()
	if f := a.awaitGrant(ctx); f != nil {
		return f
	}
	f := a.stream(ctx)
	switch {
	case f == nil:
		a.recordServed(ctx)
	case f.kind == failureAborted && ctx.Err() == nil && a.engineCrashed(ctx):
		outcome = buckthorndyke.TicketCrashed
		return a.recordCrash(ctx, f)
	}
	return f
}

// aborted returns the failure of a job that did not run to its end.
func (a *attempt) aborted(message string) *failure {
	return &failure{
		kind: failureAborted,
		refusal: buckthorndyke.NewRefusal(
			buckthorndyke.CodeEngineFailed, buckthorndyke.MayHaveRun, message),
		runner: a.runner,
	}
}

// cancelJob cancels the job at the engine, even if the request has ended. It does not
// wait for the engine's reply.
func (a *attempt) cancelJob(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout.Duration())
	go func() {
		defer cancel()
		// If the call fails, the engine ends the job when the connection closes.
		_ = a.engine.Cancel(ctx, a.job)
	}()
}

// checkDuplicate compares a token that the runner sends again with the one that was
// delivered at that index. A mismatch with a token of an earlier attempt means that
// the runner does not continue that response, and the attempt fails. A mismatch with a
// token of this attempt means that the runner may have mixed in another response,
// part of which the caller may already have; the request then fails.
func (a *attempt) checkDuplicate(token buckthorndyke.Token) *failure {
	if token.Text == a.delivered[token.Index] {
		return nil
	}
	f := a.aborted("the runner sent two different tokens for the same index")
	if token.Index >= a.resumeIndex {
		f.kind = failureFinal
	}
	return f
}

// forwardReport passes a runner's report to the router's task.
func (a *attempt) forwardReport(ctx context.Context, report buckthorndyke.RunnerReport) {
	// Reports are only hints, so losing one does no harm.
	_ = a.box.Send(ctx, reportMessage{report: report})
}

// forwardToken sends a token to the caller. It returns whether the response is
// complete, and a failure if the token has the wrong index or content.
func (a *attempt) forwardToken(ctx context.Context, token buckthorndyke.Token) (bool, *failure) {
	switch {
	case token.Index < len(a.delivered) && !token.Last:
		return false, a.checkDuplicate(token)
	case token.Index != len(a.delivered):
		return false, a.aborted("the runner skipped the tokens before token " + strconv.Itoa(token.Index))
	}
	a.deadline.stop()
	select {
	case a.items <- streamItem{token: token}:
	case <-ctx.Done():
		return false, a.aborted("the caller canceled the request")
	}
	if !token.Last {
		a.delivered = append(a.delivered, token.Text)
	}
	return token.Last, nil
}

// ownerLost returns the failure of a ticket whose owner is unreachable or was
// replaced.
func (a *attempt) ownerLost(message string) *failure {
	return &failure{
		kind:    failureOwnerLost,
		refusal: refuse(buckthorndyke.CodeRunnerUnavailable, message),
		runner:  a.runner,
	}
}

// preempted returns the failure of a ticket that was revoked.
func (a *attempt) preempted() *failure {
	return &failure{
		kind:    failurePreempted,
		refusal: refuse(buckthorndyke.CodePreempted, "preempted by a paid request"),
		runner:  a.runner,
	}
}

// receive forwards tokens to the caller until the last token, a failure or the
// revocation of the ticket.
func (a *attempt) receive(ctx context.Context, stream buckthorndyke.TokenStream) *failure {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tokens := toChannel(ctx, stream.Next)
	events := a.events
	for {
		select {
		case <-ctx.Done():
			return a.aborted("the request has ended")
		case <-a.clock.After(a.options.stallTimeout):
			return a.aborted("the runner sent no token within the stall timeout")
		case e := <-events:
			if e.err != nil {
				if buckthorndyke.RefusalOf(e.err).Code() == buckthorndyke.CodeEngineFailed {
					return a.aborted(e.err.Error())
				}
				// The owner is unreachable. The job continues: a new owner learns of it
				// from the engine's status.
				events = nil
				continue
			}
			a.forwardReport(ctx, e.value.Report)
			if e.value.Kind == buckthorndyke.TicketRevoked {
				return a.preempted()
			}
		case t := <-tokens:
			if t.err != nil {
				return a.aborted(t.err.Error())
			}
			if complete, f := a.forwardToken(ctx, t.value); complete || f != nil {
				return f
			}
		}
	}
}

// recordServed tells the router's task that the runner completed the request.
func (a *attempt) recordServed(ctx context.Context) {
	if prefix, ok := chooser.PrefixOf(a.request.Model, a.request.Prompt); ok {
		_ = a.box.Send(ctx, servedMessage{prefix: prefix, runner: a.runner})
	}
	if a.suspect {
		_ = a.box.Send(ctx, clearedMessage{at: a.clock.Now(), fingerprint: a.fingerprint})
	}
}

// start starts the job. For a suspect it first reads the engine's incarnation, so that
// a crash of the engine can be told apart from a broken connection.
func (a *attempt) start(ctx context.Context) (buckthorndyke.TokenStream, error) {
	if a.suspect {
		ctx, cancel := context.WithTimeout(ctx, statusTimeout.Duration())
		defer cancel()
		status, err := a.engine.Status(ctx)
		if err != nil {
			return nil, refuse(buckthorndyke.CodeRunnerUnavailable, err.Error())
		}
		a.incarnation = status.Incarnation
	}
	return a.engine.Generate(ctx, buckthorndyke.Job{
		ID:        a.job,
		MaxTokens: a.request.MaxTokens - len(a.delivered),
		Model:     a.request.Model,
		Prompt:    a.request.Prompt,
		Rank:      a.request.Caller.Rank,
		Request:   a.request.ID,
		Resume:    a.delivered,
	})
}

// stream starts the job and forwards its tokens to the caller.
func (a *attempt) stream(ctx context.Context) *failure {
	stream, err := a.start(ctx)
	if err != nil {
		if buckthorndyke.VerdictOf(err) == buckthorndyke.NotRun {
			return &failure{kind: failureUnstarted, refusal: buckthorndyke.RefusalOf(err), runner: a.runner}
		}
		a.mayHaveRun = true
		a.cancelJob(ctx)
		return a.aborted(err.Error())
	}
	a.mayHaveRun = true
	if a.resumeIndex > 0 {
		a.options.meter.Count(buckthorndyke.MetricStreamsResumed, 1)
	}
	f := a.receive(ctx, stream)
	if f != nil {
		a.cancelJob(ctx)
	}
	// The response is complete or the job is being canceled.
	_ = stream.Close()
	return f
}
