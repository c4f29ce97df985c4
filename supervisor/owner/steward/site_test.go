package steward_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/standin"
	"github.com/buckthorndyke/buckthorndyke/supervisor/owner/steward"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

const (
	runner = buckthorndyke.RunnerID("r")
	choir  = buckthorndyke.ModelID("choir")
	gym    = buckthorndyke.ModelID("gym")
	hall   = buckthorndyke.ModelID("hall")
	// organ is an adapter of hall.
	organ = buckthorndyke.ModelID("organ")
	// fit is the memory of a model of which two fit into the runner.
	fit = 10000
)

// site is a runner with a steward in a bubble.
type site struct {
	cancel   context.CancelFunc
	clock    buckthorndyke.Clock
	ctx      context.Context
	engine   *standin.MemoryEngine
	gate     *openGate
	proposer *recorder
	steward  *steward.Steward
	// start0 is the instant at which the steward started.
	start0 buckthorndyke.Millis
	t      *testing.T
	view   steward.View
}

// inSite runs test with a steward that has read its runner's status.
func inSite(t *testing.T, cfg standin.EngineConfig, test func(s *site), opts ...steward.Option) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, cfg)
		defer s.cancel()
		s.start(s.view, opts...)
		s.wait(3 * buckthorndyke.Second)
		test(s)
	})
}

// newSite returns a site without a steward.
func newSite(t *testing.T, cfg standin.EngineConfig) *site {
	ctx, cancel := context.WithCancel(t.Context())
	clock := timekeeper.NewRealClock()
	store := standin.NewMemoryWeightStore(clock)
	s := &site{
		cancel: cancel, clock: clock, ctx: ctx, engine: standin.NewMemoryEngine(clock, store, cfg),
		gate: &openGate{asked: make(chan buckthorndyke.LoadRequest, 64)}, proposer: &recorder{changes: make(chan buckthorndyke.Change, 16)}, t: t,
	}
	standin.Start(ctx, store, s.engine)
	var rules buckthorndyke.Rules
	state := buckthorndyke.State{}
	for _, m := range []buckthorndyke.ModelID{choir, gym, hall} {
		rules = rules.WithModel(buckthorndyke.ModelRule{ID: m, MemoryMB: fit, Replicas: 1})
		p := buckthorndyke.Placement{Model: m}.WithSlot(buckthorndyke.ReplicaSlot{Runner: runner})
		state = state.WithPlacement(p)
	}
	rules = rules.WithModel(buckthorndyke.ModelRule{Base: hall, ID: organ, MemoryMB: 100})
	s.view = steward.View{
		Lease: clock.Now() + buckthorndyke.Hour,
		Ownership: buckthorndyke.Ownership{
			Address: "engine", ChecksFencingToken: cfg.ChecksFencingToken, Epoch: 7, Owner: "vm", Runner: runner,
		},
		State: state.WithRules(rules, "", 1),
	}
	return s
}

// ask asks for a ticket and fails the test if it is refused at once.
func (s *site) ask(model buckthorndyke.ModelID, rank buckthorndyke.Rank) buckthorndyke.Ticket {
	s.t.Helper()
	ticket, err := s.tryAsk(s.ctx, model, rank, buckthorndyke.Minute)
	asserter.NoError(s.t, err)
	return ticket
}

// grant asks for a ticket and waits until it is granted.
func (s *site) grant(model buckthorndyke.ModelID, rank buckthorndyke.Rank) buckthorndyke.Ticket {
	s.t.Helper()
	ticket := s.ask(model, rank)
	s.assertEvent(ticket, buckthorndyke.TicketGranted)
	return ticket
}

func (s *site) assertEvent(ticket buckthorndyke.Ticket, want buckthorndyke.TicketEventKind) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.ctx, buckthorndyke.Minute.Duration())
	defer cancel()
	for {
		event, err := ticket.Next(ctx)
		if err != nil {
			s.t.Fatalf("got error %v, want event %d", err, want)
		}
		if event.Kind == want {
			return
		}
		if event.Kind != buckthorndyke.TicketQueued {
			s.t.Fatalf("got event %d, want %d", event.Kind, want)
		}
	}
}

// assertNone reports an error if the ticket has an event besides that it waits.
func (s *site) assertNone(ticket buckthorndyke.Ticket) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.ctx, 1)
	defer cancel()
	for {
		event, err := ticket.Next(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil || event.Kind != buckthorndyke.TicketQueued {
			s.t.Errorf("got event %d and error %v, want none", event.Kind, err)
			return
		}
	}
}

func (s *site) assertRefused(ticket buckthorndyke.Ticket, code buckthorndyke.Code, verdict buckthorndyke.Verdict) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.ctx, buckthorndyke.Hour.Duration())
	defer cancel()
	for {
		if _, err := ticket.Next(ctx); err != nil {
			asserter.Refused(s.t, err, code, verdict)
			return
		}
	}
}

// assertSafe checks what must hold on the runner whatever happened.
func (s *site) assertSafe() standin.EngineJournal {
	s.t.Helper()
	j, err := s.engine.Journal(s.ctx)
	asserter.NoError(s.t, err)
	asserter.True(s.t, !j.Overcommitted, "memory was overcommitted")
	asserter.Equal(s.t, j.JobsAbortedByUnload, 0)
	return j
}

// generate runs a job under no ticket of the steward, as one of a previous
// owner's.
func (s *site) generate(model buckthorndyke.ModelID) buckthorndyke.TokenStream {
	s.t.Helper()
	stream, err := s.engine.Generate(s.ctx, buckthorndyke.Job{ID: "old", MaxTokens: 2000, Model: model, Request: "old"})
	asserter.NoError(s.t, err)
	return stream
}

// order gives the engine an order as another owner does.
func (s *site) order(o buckthorndyke.Order) {
	s.t.Helper()
	_, err := s.engine.Order(s.ctx, o)
	asserter.NoError(s.t, err)
}

// residents returns what the engine holds.
func (s *site) residents() []buckthorndyke.ModelID {
	status, err := s.engine.Status(s.ctx)
	asserter.NoError(s.t, err)
	var models []buckthorndyke.ModelID
	for _, r := range status.Residents {
		models = append(models, r.Model)
	}
	return models
}

// start starts a steward with view.
func (s *site) start(view steward.View, opts ...steward.Option) {
	s.steward = steward.New(view, s.engine, s.gate, s.proposer, s.clock, opts...)
	standin.Start(s.ctx, s.steward)
}

func (s *site) tryAsk(ctx context.Context, model buckthorndyke.ModelID, rank buckthorndyke.Rank, deadline buckthorndyke.Millis) (buckthorndyke.Ticket, error) {
	return s.steward.Ticket(ctx, buckthorndyke.TicketRequest{
		Caller: "clerk", Deadline: deadline, Model: model, Rank: rank, Runner: runner,
	})
}

// update gives the steward another view.
func (s *site) update(change func(v *steward.View)) {
	change(&s.view)
	s.steward.Update(s.view)
	synctest.Wait()
}

func (s *site) wait(d buckthorndyke.Millis) {
	<-s.clock.After(d)
	synctest.Wait()
}

// openGate permits all loads at once and remembers what was asked for. While
// shut it permits none.
type openGate struct {
	asked chan buckthorndyke.LoadRequest
	shut  chan struct{}
}

func (g *openGate) AcquireLoad(ctx context.Context, r buckthorndyke.LoadRequest) (buckthorndyke.LoadPermit, error) {
	g.asked <- r
	if g.shut == nil {
		return openPermit{}, nil
	}
	select {
	case <-g.shut:
		return openPermit{}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type openPermit struct{}

func (openPermit) Close() {}

// recorder accepts and keeps all proposals.
type recorder struct {
	changes chan buckthorndyke.Change
}

func (r *recorder) Propose(ctx context.Context, c buckthorndyke.Change) (buckthorndyke.ProposalResult, error) {
	select {
	case r.changes <- c:
		return buckthorndyke.ProposalResult{Accepted: true}, nil
	case <-ctx.Done():
		return buckthorndyke.ProposalResult{}, ctx.Err()
	}
}

// delayedStatus is an engine whose next report, once on is closed, is held back
// until the channel that it sends to asked is closed.
type delayedStatus struct {
	*standin.MemoryEngine
	asked chan chan struct{}
	on    chan struct{}
}

// Status implements buckthorndyke.Engine.
func (e *delayedStatus) Status(ctx context.Context) (buckthorndyke.EngineStatus, error) {
	status, err := e.MemoryEngine.Status(ctx)
	select {
	case <-e.on:
	default:
		return status, err
	}
	release := make(chan struct{})
	select {
	case e.asked <- release:
		<-release
	default:
	}
	return status, err
}
