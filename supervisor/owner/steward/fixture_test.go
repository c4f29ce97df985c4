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
	modelMB = 10000
)

// site is a runner with a steward in a bubble.
type fixture struct {
	cancel   context.CancelFunc
	clock    buckthorndyke.Clock
	ctx      context.Context
	engine   *standin.MemoryEngine
	gate     *loadGate
	proposer *acceptingProposer
	// start0 is the instant at which the steward started.
	startedAt buckthorndyke.Millis
	steward   *steward.Steward
	t         *testing.T
	view      steward.View
}

// inSite runs test with a steward that has read its runner's status.
func withFixture(t *testing.T, cfg standin.EngineConfig, test func(f *fixture), opts ...steward.Option) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, cfg)
		defer f.cancel()
		f.start(f.view, opts...)
		f.wait(3 * buckthorndyke.Second)
		test(f)
	})
}

// newSite returns a site without a steward.
func newFixture(t *testing.T, cfg standin.EngineConfig) *fixture {
	ctx, cancel := context.WithCancel(t.Context())
	clock := timekeeper.NewRealClock()
	store := standin.NewMemoryWeightStore(clock)
	f := &fixture{
		cancel: cancel, clock: clock, ctx: ctx, engine: standin.NewMemoryEngine(clock, store, cfg),
		gate: &loadGate{requests: make(chan buckthorndyke.LoadRequest, 64)}, proposer: &acceptingProposer{changes: make(chan buckthorndyke.Change, 16)}, t: t,
	}
	standin.Start(ctx, store, f.engine)
	var rules buckthorndyke.Rules
	state := buckthorndyke.State{}
	for _, m := range []buckthorndyke.ModelID{choir, gym, hall} {
		rules = rules.WithModel(buckthorndyke.ModelRule{ID: m, MemoryMB: modelMB, Replicas: 1})
		p := buckthorndyke.Placement{Model: m}.WithSlot(buckthorndyke.ReplicaSlot{Runner: runner})
		state = state.WithPlacement(p)
	}
	rules = rules.WithModel(buckthorndyke.ModelRule{Base: hall, ID: organ, MemoryMB: 100})
	f.view = steward.View{
		LeaseEnd: clock.Now() + buckthorndyke.Hour,
		Ownership: buckthorndyke.Ownership{
			Address: "engine", ChecksFencingToken: cfg.ChecksFence, Epoch: 7, Owner: "vm", Runner: runner,
		},
		State: state.WithRules(rules, "", 1),
	}
	return f
}

func (f *fixture) assertEvent(ticket buckthorndyke.Ticket, want buckthorndyke.TicketEventKind) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.ctx, buckthorndyke.Minute.Duration())
	defer cancel()
	for {
		event, err := ticket.Next(ctx)
		if err != nil {
			f.t.Fatalf("got error %v, want event %d", err, want)
		}
		if event.Kind == want {
			return
		}
		if event.Kind != buckthorndyke.TicketQueued {
			f.t.Fatalf("got event %d, want %d", event.Kind, want)
		}
	}
}

// assertNone reports an error if the ticket has an event besides that it waits.
func (f *fixture) assertNoEvent(ticket buckthorndyke.Ticket) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.ctx, 1)
	defer cancel()
	for {
		event, err := ticket.Next(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil || event.Kind != buckthorndyke.TicketQueued {
			f.t.Errorf("got event %d and error %v, want none", event.Kind, err)
			return
		}
	}
}

func (f *fixture) assertRefused(ticket buckthorndyke.Ticket, code buckthorndyke.Code, verdict buckthorndyke.Verdict) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.ctx, buckthorndyke.Hour.Duration())
	defer cancel()
	for {
		if _, err := ticket.Next(ctx); err != nil {
			asserter.Refused(f.t, err, code, verdict)
			return
		}
	}
}

// assertSafe checks what must hold on the runner whatever happened.
func (f *fixture) assertSafe() standin.EngineJournal {
	f.t.Helper()
	j, err := f.engine.Journal(f.ctx)
	asserter.NoError(f.t, err)
	asserter.True(f.t, !j.Overcommitted, "memory was overcommitted")
	asserter.Equal(f.t, j.UnloadedUnderJobs, 0)
	return j
}

// generate runs a job under no ticket of the steward, as one of a previous
// owner's.
func (f *fixture) generate(model buckthorndyke.ModelID) buckthorndyke.TokenStream {
	f.t.Helper()
	stream, err := f.engine.Generate(f.ctx, buckthorndyke.Job{ID: "old", MaxTokens: 2000, Model: model, Request: "old"})
	asserter.NoError(f.t, err)
	return stream
}

// grant asks for a ticket and waits until it is granted.
func (f *fixture) grant(model buckthorndyke.ModelID, rank buckthorndyke.Rank) buckthorndyke.Ticket {
	f.t.Helper()
	ticket := f.requestTicket(model, rank)
	f.assertEvent(ticket, buckthorndyke.TicketGranted)
	return ticket
}

// order gives the engine an order as another owner does.
func (f *fixture) order(o buckthorndyke.Order) {
	f.t.Helper()
	_, err := f.engine.Order(f.ctx, o)
	asserter.NoError(f.t, err)
}

// ask asks for a ticket and fails the test if it is refused at once.
func (f *fixture) requestTicket(model buckthorndyke.ModelID, rank buckthorndyke.Rank) buckthorndyke.Ticket {
	f.t.Helper()
	ticket, err := f.tryTicket(f.ctx, model, rank, buckthorndyke.Minute)
	asserter.NoError(f.t, err)
	return ticket
}

// residents returns what the engine holds.
func (f *fixture) residents() []buckthorndyke.ModelID {
	status, err := f.engine.Status(f.ctx)
	asserter.NoError(f.t, err)
	var models []buckthorndyke.ModelID
	for _, r := range status.Residents {
		models = append(models, r.Model)
	}
	return models
}

// start starts a steward with view.
func (f *fixture) start(view steward.View, opts ...steward.Option) {
	f.steward = steward.New(view, f.engine, f.gate, f.proposer, f.clock, opts...)
	standin.Start(f.ctx, f.steward)
}

func (f *fixture) tryTicket(ctx context.Context, model buckthorndyke.ModelID, rank buckthorndyke.Rank, deadline buckthorndyke.Millis) (buckthorndyke.Ticket, error) {
	return f.steward.Ticket(ctx, buckthorndyke.TicketRequest{
		Caller: "clerk", Deadline: deadline, Model: model, Rank: rank, Runner: runner,
	})
}

// update gives the steward another view.
func (f *fixture) update(change func(v *steward.View)) {
	change(&f.view)
	f.steward.Update(f.view)
	synctest.Wait()
}

func (f *fixture) wait(d buckthorndyke.Millis) {
	<-f.clock.After(d)
	synctest.Wait()
}

// openGate permits all loads at once and remembers what was asked for. While
// shut it permits none.
type loadGate struct {
	closed   chan struct{}
	requests chan buckthorndyke.LoadRequest
}

func (g *loadGate) AcquireLoad(ctx context.Context, r buckthorndyke.LoadRequest) (buckthorndyke.LoadPermit, error) {
	g.requests <- r
	if g.closed == nil {
		return openPermit{}, nil
	}
	select {
	case <-g.closed:
		return openPermit{}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type openPermit struct{}

func (openPermit) Close() {}

// recorder accepts and keeps all proposals.
type acceptingProposer struct {
	changes chan buckthorndyke.Change
}

func (r *acceptingProposer) Propose(ctx context.Context, c buckthorndyke.Change) (buckthorndyke.ProposalResult, error) {
	select {
	case r.changes <- c:
		return buckthorndyke.ProposalResult{Accepted: true}, nil
	case <-ctx.Done():
		return buckthorndyke.ProposalResult{}, ctx.Err()
	}
}

// delayedStatus is an engine whose next report, once on is closed, is held back
// until the channel that it sends to asked is closed.
type delayedStatusEngine struct {
	*standin.MemoryEngine
	enabled chan struct{}
	held    chan chan struct{}
}

// Status implements buckthorndyke.Engine.
func (e *delayedStatusEngine) Status(ctx context.Context) (buckthorndyke.EngineStatus, error) {
	status, err := e.MemoryEngine.Status(ctx)
	select {
	case <-e.enabled:
	default:
		return status, err
	}
	release := make(chan struct{})
	select {
	case e.held <- release:
		<-release
	default:
	}
	return status, err
}
