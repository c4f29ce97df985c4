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
	silenceTimeout = 600 * buckthorndyke.Millisecond
	// statusTimeout bounds the question in which life a runner's engine is.
	statusTimeout = 500 * buckthorndyke.Millisecond
	// watchInterval is how often a waiting request looks for a new owner.
	watchInterval = 200 * buckthorndyke.Millisecond
)

// attempt is one job of a request on one runner.
type attempt struct {
	*generation
	// begun is the number of tokens that the caller had before the job.
	begun  int
	engine buckthorndyke.Engine
	// epoch is that of the owner that was asked.
	epoch  buckthorndyke.Offset
	events <-chan result[buckthorndyke.TicketEvent]
	job    buckthorndyke.JobID
	// life is the engine's life before the job, or 0 if it is not known.
	life    buckthorndyke.Incarnation
	runner  buckthorndyke.RunnerID
	suspect bool
	ticket  buckthorndyke.Ticket
}

// attempt asks the owner of runner for a ticket and runs the job under it. It
// returns nil once the answer is whole.
func (g *generation) attempt(ctx context.Context, k knowledge, runner buckthorndyke.RunnerID) *setback {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ownership, member, _ := k.owner(runner)
	suspect := k.suspects.Suspected(g.fingerprint)
	ticket, err := g.peer(member).Ticket(ctx, buckthorndyke.TicketRequest{
		Caller:      g.ask.Caller.ID,
		Deadline:    g.deadline.left(),
		Fingerprint: g.fingerprint,
		MaxTokens:   g.ask.MaxTokens,
		Model:       g.ask.Model,
		Rank:        g.ask.Caller.Rank,
		Request:     g.ask.ID,
		Resumed:     len(g.delivered) > 0,
		Runner:      runner,
		Suspect:     suspect,
	})
	if err != nil {
		return setbackOfTicket(runner, err)
	}
	a := &attempt{
		begun:      len(g.delivered),
		epoch:      ownership.Epoch,
		generation: g,
		job:        buckthorndyke.JobIDOf(g.ask.ID, uuid.NewString()),
		runner:     runner,
		suspect:    suspect,
		ticket:     ticket,
	}
	a.life, _ = k.lives.Get(runner)
	outcome := buckthorndyke.TicketDone
	defer func() { ticket.Close(outcome) }()
	if s := a.wait(ctx); s != nil {
		return s
	}
	s := a.stream(ctx)
	switch {
	case s == nil:
		a.served(ctx)
	case s.kind == setbackBroken && ctx.Err() == nil && a.crashed(ctx):
		outcome = buckthorndyke.TicketCrashed
		return a.suspected(ctx, s)
	}
	return s
}

// again checks a token that the caller has. A runner that does not carry the
// caller's answer on is left; one that says two things for one place may have
// given the caller a part of another answer, so that this one cannot be whole.
func (a *attempt) again(token buckthorndyke.Token) *setback {
	if token.Text == a.delivered[token.Index] {
		return nil
	}
	s := a.broken("the runner has mixed two answers")
	if token.Index >= a.begun {
		s.kind = setbackFinal
	}
	return s
}

// broken returns the setback of a job that the runner broke off.
func (a *attempt) broken(message string) *setback {
	return &setback{
		kind: setbackBroken,
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

// forward hands a token to the caller. It returns whether the answer is whole,
// and the setback of a token that does not belong at this place.
func (a *attempt) forward(ctx context.Context, token buckthorndyke.Token) (bool, *setback) {
	switch {
	case token.Index < len(a.delivered) && !token.Last:
		return false, a.again(token)
	case token.Index != len(a.delivered):
		return false, a.broken("the runner left a gap before token " + strconv.Itoa(token.Index))
	}
	a.deadline.stop()
	select {
	case a.items <- item{token: token}:
	case <-ctx.Done():
		return false, a.broken("the caller left")
	}
	if !token.Last {
		a.delivered = append(a.delivered, token.Text)
	}
	return token.Last, nil
}

// stream starts the job and hands its tokens to the caller.
func (a *attempt) stream(ctx context.Context) *setback {
	stream, err := a.start(ctx)
	if err != nil {
		if buckthorndyke.VerdictOf(err) == buckthorndyke.NotRun {
			return &setback{kind: setbackUnstarted, refusal: buckthorndyke.RefusalOf(err), runner: a.runner}
		}
		a.mayHaveRun = true
		a.cancelJob(ctx)
		return a.broken(err.Error())
	}
	a.mayHaveRun = true
	if a.begun > 0 {
		a.options.meter.Count(buckthorndyke.MetricStreamsResumed, 1)
	}
	s := a.receive(ctx, stream)
	if s != nil {
		a.cancelJob(ctx)
	}
	// The answer is whole or the job is being cancelled.
	_ = stream.Close()
	return s
}

// receive hands tokens to the caller until the end mark, a failure or the
// ticket's revocation.
func (a *attempt) receive(ctx context.Context, stream buckthorndyke.TokenStream) *setback {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tokens := pump(ctx, stream.Next)
	events := a.events
	for {
		select {
		case <-ctx.Done():
			return a.broken("the request ended")
		case <-a.clock.After(a.options.stallTimeout):
			return a.broken("the runner went silent")
		case e := <-events:
			if e.err != nil {
				if buckthorndyke.RefusalOf(e.err).Code() == buckthorndyke.CodeEngineFailed {
					return a.broken(e.err.Error())
				}
				// The owner is gone. The job goes on: a new owner finds it in the
				// engine's status.
				events = nil
				continue
			}
			a.report(ctx, e.value.Report)
			if e.value.Kind == buckthorndyke.TicketRevoked {
				return a.preempted()
			}
		case t := <-tokens:
			if t.err != nil {
				return a.broken(t.err.Error())
			}
			if whole, s := a.forward(ctx, t.value); whole || s != nil {
				return s
			}
		}
	}
}

// moved returns the setback of a ticket whose owner is out of reach.
func (a *attempt) moved(message string) *setback {
	return &setback{
		kind:    setbackMoved,
		refusal: refuse(buckthorndyke.CodeRunnerUnavailable, message),
		runner:  a.runner,
	}
}

// preempted returns the setback of a ticket that was taken back.
func (a *attempt) preempted() *setback {
	return &setback{
		kind:    setbackPreempted,
		refusal: refuse(buckthorndyke.CodePreempted, "paying work took the runner's place"),
		runner:  a.runner,
	}
}

// report passes a runner's report on to the router.
func (a *attempt) report(ctx context.Context, report buckthorndyke.RunnerReport) {
	// A lost report is only a lost hint.
	_ = a.box.Send(ctx, reportMessage{report: report})
}

// served tells the router that the runner has answered the whole request.
func (a *attempt) served(ctx context.Context) {
	if prefix, ok := chooser.PrefixOf(a.ask.Model, a.ask.Prompt); ok {
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
		a.life = status.Incarnation
	}
	return a.engine.Generate(ctx, buckthorndyke.Job{
		ID:        a.job,
		MaxTokens: a.ask.MaxTokens - len(a.delivered),
		Model:     a.ask.Model,
		Prompt:    a.ask.Prompt,
		Rank:      a.ask.Caller.Rank,
		Request:   a.ask.ID,
		Resume:    a.delivered,
	})
}
