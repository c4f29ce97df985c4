package router_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/supervisor/router"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

// recordCapacity bounds what a fake records in one test.
const recordCapacity = 256

type (
	deskFunc   func(ctx context.Context, r buckthorndyke.TicketRequest) (buckthorndyke.Ticket, error)
	jobFunc    func(ctx context.Context, job buckthorndyke.Job) (buckthorndyke.TokenStream, error)
	serverFunc func(ctx context.Context, call buckthorndyke.ServiceCall) (buckthorndyke.ServiceAnswer, error)
)

// fixture is a router among fakes, which are set up before it starts.
type fixture struct {
	asked     chan buckthorndyke.TicketRequest
	cancelled chan buckthorndyke.JobID
	changes   chan buckthorndyke.Change
	claims    buckthorndyke.ClaimKeeper
	clock     buckthorndyke.Clock
	closed    chan buckthorndyke.TicketOutcome
	desks     map[string]deskFunc
	jobs      map[string]jobFunc
	life      buckthorndyke.Incarnation
	logDown   bool
	logUp     chan struct{}
	progress  chan buckthorndyke.Progress
	sent      chan string
	servers   map[string]serverFunc
	started   chan buckthorndyke.Job
	state     buckthorndyke.State
	statuses  map[string]buckthorndyke.EngineStatus
	surveyed  chan string
	vms       []buckthorndyke.VM
}

// newFixture returns a fixture with two runners, r1 and r2, that may hold model m.
func newFixture() *fixture {
	f := &fixture{
		asked:     make(chan buckthorndyke.TicketRequest, recordCapacity),
		cancelled: make(chan buckthorndyke.JobID, recordCapacity),
		changes:   make(chan buckthorndyke.Change, recordCapacity),
		clock:     timekeeper.NewRealClock(),
		closed:    make(chan buckthorndyke.TicketOutcome, recordCapacity),
		desks:     make(map[string]deskFunc),
		jobs:      make(map[string]jobFunc),
		life:      1,
		logUp:     make(chan struct{}, 1),
		progress:  make(chan buckthorndyke.Progress, 1),
		sent:      make(chan string, recordCapacity),
		servers:   make(map[string]serverFunc),
		started:   make(chan buckthorndyke.Job, recordCapacity),
		statuses:  make(map[string]buckthorndyke.EngineStatus),
		surveyed:  make(chan string, 4*recordCapacity),
	}
	digest := sha256.Sum256([]byte("token"))
	rules := buckthorndyke.Rules{}.
		WithModel(buckthorndyke.ModelRule{ID: "m", Replicas: 2}).
		WithCaller(buckthorndyke.CallerRule{
			ID: "caller", Rank: buckthorndyke.RankUrgent, TokenSHA256: hex.EncodeToString(digest[:]),
		}).
		WithRank(buckthorndyke.RankRule{
			FirstToken: 2 * buckthorndyke.Second, MaxTokens: 8, Rank: buckthorndyke.RankUrgent,
		}).
		WithService(buckthorndyke.ServiceRule{ID: "bookings", Idempotent: []string{"GET"}})
	f.state = buckthorndyke.State{}.WithRules(rules, "", 1).WithPlacement(
		buckthorndyke.Placement{Model: "m"}.
			WithSlot(buckthorndyke.Slot{Runner: "r1"}).WithSlot(buckthorndyke.Slot{Runner: "r2"}))
	f.own("r1", "a", 10)
	f.own("r2", "b", 11)
	return f
}

// deskAll makes both owners answer by desk.
func (f *fixture) deskAll(desk deskFunc) {
	f.desks["a"], f.desks["b"] = desk, desk
}

// deskFirst makes the owner that is asked first answer by desk. The other one
// grants at once.
func (f *fixture) deskFirst(desk deskFunc) {
	f.deskAll(func(_ context.Context, r buckthorndyke.TicketRequest) (buckthorndyke.Ticket, error) {
		return f.grant(r), nil
	})
	f.deskFirstThen(desk)
}

// deskFirstThen makes the owner that is asked first answer by desk, and the later
// ones as before.
func (f *fixture) deskFirstThen(desk deskFunc) {
	first := make(chan struct{}, 1)
	first <- struct{}{}
	then := f.desks["a"]
	f.deskAll(func(ctx context.Context, r buckthorndyke.TicketRequest) (buckthorndyke.Ticket, error) {
		select {
		case <-first:
			return desk(ctx, r)
		default:
			return then(ctx, r)
		}
	})
}

// own makes vm the owner of runner.
func (f *fixture) own(runner buckthorndyke.RunnerID, vm buckthorndyke.VMID, epoch buckthorndyke.Offset) {
	f.state = f.state.
		WithMember(buckthorndyke.Member{Incarnation: 1, PeerAddress: string(vm), VM: vm}).
		WithOwnership(buckthorndyke.Ownership{
			Address: string(runner), Epoch: epoch, Incarnation: 1, Owner: vm, Runner: runner,
		})
}

// drain forgets what was recorded of one request.
func (f *fixture) drain() {
	<-f.asked
	<-f.started
	<-f.closed
}

// publish makes the router see the fixture's state.
func (f *fixture) publish() {
	f.progress <- buckthorndyke.Progress{AtTail: true, LogDown: f.logDown, State: f.state}
	synctest.Wait()
}

// launch runs the router until ctx ends.
func (f *fixture) launch(ctx context.Context, opts ...router.Option) *router.Router {
	self := buckthorndyke.Self{Incarnation: 1, VM: "self"}
	r := router.New(self, f, f, fakePeers{f: f}, fakeEngines{f: f}, f, f.claims, f, f.clock, opts...)
	go func() { _ = r.Serve(ctx) }()
	return r
}

// start runs the router in the test's bubble.
func (f *fixture) start(t *testing.T, opts ...router.Option) *router.Router {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		synctest.Wait()
	})
	r := f.launch(ctx, opts...)
	f.publish()
	return r
}

// Call implements buckthorndyke.Service.
func (f *fixture) Call(
	ctx context.Context, address string, call buckthorndyke.ServiceCall,
) (buckthorndyke.ServiceAnswer, error) {
	f.sent <- address
	return f.servers[address](ctx, call)
}

// List implements buckthorndyke.VMList.
func (f *fixture) List(context.Context) ([]buckthorndyke.VM, error) {
	return f.vms, nil
}

// Propose implements buckthorndyke.Proposer.
func (f *fixture) Propose(_ context.Context, c buckthorndyke.Change) (buckthorndyke.Ruling, error) {
	if f.logDown {
		select {
		case <-f.logUp:
		default:
			return buckthorndyke.Ruling{}, errFake
		}
	}
	f.changes <- c
	return buckthorndyke.Ruling{Accepted: true}, nil
}

// Subscribe implements buckthorndyke.Follower.
func (f *fixture) Subscribe(context.Context) <-chan buckthorndyke.Progress {
	return f.progress
}

// fakePeers finds fake peers by the name of their VM.
type fakePeers struct{ f *fixture }

func (p fakePeers) At(address string) buckthorndyke.Peer {
	return fakePeer{address: address, f: p.f}
}

// fakePeer implements the Desk of a peer.
type fakePeer struct {
	buckthorndyke.Peer
	address string
	f       *fixture
}

func (p fakePeer) Ticket(ctx context.Context, r buckthorndyke.TicketRequest) (buckthorndyke.Ticket, error) {
	p.f.asked <- r
	if desk, ok := p.f.desks[p.address]; ok {
		return desk(ctx, r)
	}
	return p.f.grant(r), nil
}

// grant returns a ticket that is granted at once.
func (f *fixture) grant(r buckthorndyke.TicketRequest) fakeTicket {
	return f.ticket(granted(r.Runner))
}

// ticket returns a ticket with the given events, whose stream then stays open.
func (f *fixture) ticket(events ...buckthorndyke.TicketEvent) fakeTicket {
	ticket := fakeTicket{closed: f.closed, events: make(chan buckthorndyke.TicketEvent, recordCapacity)}
	for _, e := range events {
		ticket.events <- e
	}
	return ticket
}

// granted returns the event of a granted ticket.
func granted(runner buckthorndyke.RunnerID) buckthorndyke.TicketEvent {
	return buckthorndyke.TicketEvent{Address: string(runner), Kind: buckthorndyke.TicketGranted}
}

// fakeTicket is a scripted ticket. Its stream breaks when events is closed.
type fakeTicket struct {
	closed chan<- buckthorndyke.TicketOutcome
	events chan buckthorndyke.TicketEvent
}

func (t fakeTicket) Close(outcome buckthorndyke.TicketOutcome) { t.closed <- outcome }

func (t fakeTicket) Next(ctx context.Context) (buckthorndyke.TicketEvent, error) {
	select {
	case e, ok := <-t.events:
		if !ok {
			return e, errFake
		}
		return e, nil
	case <-ctx.Done():
		return buckthorndyke.TicketEvent{}, ctx.Err()
	}
}

// fakeEngines finds fake engines by the name of their runner.
type fakeEngines struct{ f *fixture }

func (e fakeEngines) At(address string) buckthorndyke.Engine {
	return fakeEngine{address: address, f: e.f}
}

// fakeEngine implements the jobs of an engine.
type fakeEngine struct {
	buckthorndyke.Engine
	address string
	f       *fixture
}

func (e fakeEngine) Cancel(_ context.Context, job buckthorndyke.JobID) error {
	e.f.cancelled <- job
	return nil
}

func (e fakeEngine) Generate(ctx context.Context, job buckthorndyke.Job) (buckthorndyke.TokenStream, error) {
	e.f.started <- job
	if run, ok := e.f.jobs[e.address]; ok {
		return run(ctx, job)
	}
	return whole(job), nil
}

func (e fakeEngine) Status(context.Context) (buckthorndyke.EngineStatus, error) {
	e.f.surveyed <- e.address
	status := e.f.statuses[e.address]
	status.Started = e.f.life
	return status, nil
}

// fakeStream yields tokens and then fails, or stays silent if silent is set.
type fakeStream struct {
	silent bool
	tokens chan buckthorndyke.Token
}

func (s fakeStream) Close() error { return nil }

func (s fakeStream) Next(ctx context.Context) (buckthorndyke.Token, error) {
	select {
	case t := <-s.tokens:
		return t, nil
	default:
	}
	if s.silent {
		<-ctx.Done()
		return buckthorndyke.Token{}, ctx.Err()
	}
	return buckthorndyke.Token{}, errFake
}

// answerText is the answer of all fake engines.
var answerText = []string{"a", "b", "c", "d"}

// streamOf returns a stream of tokens.
func streamOf(tokens ...buckthorndyke.Token) fakeStream {
	s := fakeStream{tokens: make(chan buckthorndyke.Token, recordCapacity)}
	for _, t := range tokens {
		s.tokens <- t
	}
	return s
}

// part returns the tokens of the answer from index first up to end.
func part(first, end int) []buckthorndyke.Token {
	var tokens []buckthorndyke.Token
	for i := first; i < end; i++ {
		tokens = append(tokens, buckthorndyke.Token{Index: i, Text: answerText[i]})
	}
	return tokens
}

// whole returns what is left of the answer to job, with the end mark.
func whole(job buckthorndyke.Job) fakeStream {
	tokens := part(len(job.Resume), len(answerText))
	return streamOf(append(tokens, buckthorndyke.Token{Index: len(answerText), Last: true})...)
}

var errFake = errors.New("fake")
