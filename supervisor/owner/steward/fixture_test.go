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
	// modelMB is the memory of a model, of which two fit into the runner.
	modelMB = 10000
)

// fixture is a runner with a steward in a synctest bubble.
type fixture struct {
	cancel   context.CancelFunc
	clock    buckthorndyke.Clock
	ctx      context.Context
	engine   *standin.MemoryEngine
	gate     *loadGate
	proposer *acceptingProposer
	// startedAt is the time at which the steward started.
	startedAt buckthorndyke.Millis
	steward   *steward.Steward
	t         *testing.T
	view      steward.View
}

// withFixture runs test with a steward that has read its runner's status.
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

// newFixture returns a fixture without a steward.
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
			Address: "engine", ChecksFencingToken: cfg.ChecksFencingToken, Epoch: 7, Owner: "vm", Runner: runner,
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

// assertNoEvent checks that the ticket has no event other than TicketQueued.
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

// assertSafe checks that the memory of the runner was never overcommitted and that
// no model was unloaded while jobs used it.
func (f *fixture) assertSafe() standin.EngineJournal {
	f.t.Helper()
	j, err := f.engine.Journal(f.ctx)
	asserter.NoError(f.t, err)
	asserter.True(f.t, !j.Overcommitted, "memory was overcommitted")
	asserter.Equal(f.t, j.UnloadAbortedJobs, 0)
	return j
}

// generate starts a job without a ticket of the steward, like one of a previous
// owner.
func (f *fixture) generate(model buckthorndyke.ModelID) buckthorndyke.TokenStream {
	f.t.Helper()
	stream, err := f.engine.Generate(f.ctx, buckthorndyke.Job{ID: "old", MaxTokens: 2000, Model: model, Request: "old"})
	asserter.NoError(f.t, err)
	return stream
}

// grant requests a ticket and waits until it is granted.
func (f *fixture) grant(model buckthorndyke.ModelID, rank buckthorndyke.Rank) buckthorndyke.Ticket {
	f.t.Helper()
	ticket := f.requestTicket(model, rank)
	f.assertEvent(ticket, buckthorndyke.TicketGranted)
	return ticket
}

// order sends an order to the engine as another owner does.
func (f *fixture) order(o buckthorndyke.Order) {
	f.t.Helper()
	_, err := f.engine.Order(f.ctx, o)
	asserter.NoError(f.t, err)
}

// requestTicket requests a ticket and fails the test if the request is refused
// immediately.
func (f *fixture) requestTicket(model buckthorndyke.ModelID, rank buckthorndyke.Rank) buckthorndyke.Ticket {
	f.t.Helper()
	ticket, err := f.tryTicket(f.ctx, model, rank, buckthorndyke.Minute)
	asserter.NoError(f.t, err)
	return ticket
}

// residents returns the models in the engine's memory.
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

// update changes the steward's view.
func (f *fixture) update(change func(v *steward.View)) {
	change(&f.view)
	f.steward.Update(f.view)
	synctest.Wait()
}

func (f *fixture) wait(d buckthorndyke.Millis) {
	<-f.clock.After(d)
	synctest.Wait()
}

// loadGate records requests and grants all of them immediately, or once blocked is
// closed if it is set.
type loadGate struct {
	blocked  chan struct{}
	requests chan buckthorndyke.LoadRequest
}

func (g *loadGate) AcquireLoad(ctx context.Context, r buckthorndyke.LoadRequest) (buckthorndyke.LoadPermit, error) {
	g.requests <- r
	if g.blocked == nil {
		return openPermit{}, nil
	}
	select {
	case <-g.blocked:
		return openPermit{}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type openPermit struct{}

func (openPermit) Close() {}

// acceptingProposer accepts all proposals and sends them to changes.
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

// delayedStatusEngine is an engine whose statuses can be delayed once enabled is
// closed: if a test receives a channel from held, the status is returned when that
// channel is closed.
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
