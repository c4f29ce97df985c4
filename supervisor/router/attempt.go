package router

import (
	"context"
	"strconv"

	"github.com/google/uuid"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/chooser"
)

const (
	// cancelTimeout bounds the cancellation of a job that is no longer wanted.
	cancelTimeout = 5 * buckthorndyke.Second
	// silenceTimeout bounds the time until the owner's first sign.
	firstEventTimeout = 600 * buckthorndyke.Millisecond
	// watchInterval is how often a waiting request looks for a new owner.
	ownerCheckInterval = 200 * buckthorndyke.Millisecond
	// statusTimeout bounds the question in which life a runner's engine is.
	statusTimeout = 500 * buckthorndyke.Millisecond
)

// attempt is one job of a request on one runner.
type attempt struct {
	*generateTask
	engine buckthorndyke.Engine
	// epoch is that of the owner that was asked.
	epoch  buckthorndyke.Offset
	events <-chan result[buckthorndyke.TicketEvent]
	// life is the engine's life before the job, or 0 if it is not known.
	incarnation buckthorndyke.Incarnation
	job         buckthorndyke.JobID
	// begun is the number of tokens that the caller had before the job.
	resumeIndex int
	runner      buckthorndyke.RunnerID
	suspect     bool
	ticket      buckthorndyke.Ticket
}

// attempt asks the owner of runner for a ticket and runs the job under it. It
// returns nil once the answer is whole.
func (g *generateTask) attempt(ctx context.Context, st routerState, runner buckthorndyke.RunnerID) *failure {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ownership, member, _ := st.owner(runner)
	suspect := st.suspects.Suspected(g.fingerprint)
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

// broken returns the setback of a job that the runner broke off.
func (a *attempt) aborted(message string) *failure {
	return &failure{
		kind: failureAborted,
		refusal: buckthorndyke.NewRefusal(
			buckthorndyke.CodeEngineFailed, buckthorndyke.MayHaveRun, message),
		runner: a.runner,
	}
}

// cancelJob stops the job at the engine, also if the request has ended. It does
// not wait for the engine.
func (a *attempt) cancelJob(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout.Duration())
	go func() {
		defer cancel()
		// A job that cannot be cancelled ends with its connection.
		_ = a.engine.Cancel(ctx, a.job)
	}()
}

// again checks a token that the caller has. A runner that does not carry the
// caller's answer on is left; one that says two things for one place may have
// given the caller a part of another answer, so that this one cannot be whole.
func (a *attempt) checkDuplicate(token buckthorndyke.Token) *failure {
	if token.Text == a.delivered[token.Index] {
		return nil
	}
	f := a.aborted("the runner has mixed two answers")
	if token.Index >= a.resumeIndex {
		f.kind = failureFinal
	}
	return f
}

// report passes a runner's report on to the router.
func (a *attempt) forwardReport(ctx context.Context, report buckthorndyke.RunnerReport) {
	// A lost report is only a lost hint.
	_ = a.box.Send(ctx, reportMessage{report: report})
}

// forward hands a token to the caller. It returns whether the answer is whole,
// and the setback of a token that does not belong at this place.
func (a *attempt) forwardToken(ctx context.Context, token buckthorndyke.Token) (bool, *failure) {
	switch {
	case token.Index < len(a.delivered) && !token.Last:
		return false, a.checkDuplicate(token)
	case token.Index != len(a.delivered):
		return false, a.aborted("the runner left a gap before token " + strconv.Itoa(token.Index))
	}
	a.deadline.stop()
	select {
	case a.items <- streamItem{token: token}:
	case <-ctx.Done():
		return false, a.aborted("the caller left")
	}
	if !token.Last {
		a.delivered = append(a.delivered, token.Text)
	}
	return token.Last, nil
}

// moved returns the setback of a ticket whose owner is out of reach.
func (a *attempt) ownerLost(message string) *failure {
	return &failure{
		kind:    failureOwnerLost,
		refusal: refuse(buckthorndyke.CodeRunnerUnavailable, message),
		runner:  a.runner,
	}
}

// preempted returns the setback of a ticket that was taken back.
func (a *attempt) preempted() *failure {
	return &failure{
		kind:    failurePreempted,
		refusal: refuse(buckthorndyke.CodePreempted, "paying work took the runner's place"),
		runner:  a.runner,
	}
}

// receive hands tokens to the caller until the end mark, a failure or the
// ticket's revocation.
func (a *attempt) receive(ctx context.Context, stream buckthorndyke.TokenStream) *failure {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tokens := toChannel(ctx, stream.Next)
	events := a.events
	for {
		select {
		case <-ctx.Done():
			return a.aborted("the request ended")
		case <-a.clock.After(a.options.stallTimeout):
			return a.aborted("the runner went silent")
		case e := <-events:
			if e.err != nil {
				if buckthorndyke.RefusalOf(e.err).Code() == buckthorndyke.CodeEngineFailed {
					return a.aborted(e.err.Error())
				}
				// The owner is gone. The job goes on: a new owner finds it in the
				// engine's status.
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

// served tells the router that the runner has answered the whole request.
func (a *attempt) recordServed(ctx context.Context) {
	if prefix, ok := chooser.PrefixOf(a.request.Model, a.request.Prompt); ok {
		_ = a.box.Send(ctx, servedMessage{prefix: prefix, runner: a.runner})
	}
	if a.suspect {
		_ = a.box.Send(ctx, clearedMessage{fingerprint: a.fingerprint})
	}
}

// start starts the job. The job of a suspect starts only once the engine's life
// is known, so that a crash of the engine can be told from a broken connection.
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

// stream starts the job and hands its tokens to the caller.
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
	// The answer is whole or the job is being cancelled.
	_ = stream.Close()
	return f
}
