package router_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"testing"
	"testing/synctest"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/supervisor/router"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

// recordCapacity bounds what a fake records in one test.
const recordCapacity = 256

type (
	deskFunc   func(ctx context.Context, r buckthorndyke.TicketRequest) (buckthorndyke.Ticket, error)
	jobFunc    func(ctx context.Context, job buckthorndyke.Job) (buckthorndyke.TokenStream, error)
	serverFunc func(ctx context.Context, call buckthorndyke.ServiceCall) (buckthorndyke.ServiceResponse, error)
)

// fixture is a router among fakes, which are set up before it starts.
type fixture struct {
	asked     chan buckthorndyke.TicketRequest
	cancelled chan buckthorndyke.JobID
	changes   chan buckthorndyke.Change
	claims    buckthorndyke.ClaimStore
	clock     buckthorndyke.Clock
	closed    chan buckthorndyke.TicketOutcome
	desks     map[string]deskFunc
	jobs      map[string]jobFunc
	life      buckthorndyke.Incarnation
	logDown   bool
	logUp     chan struct{}
	progress  chan buckthorndyke.StateUpdate
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
		progress:  make(chan buckthorndyke.StateUpdate, 1),
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
			WithSlot(buckthorndyke.ReplicaSlot{Runner: "r1"}).WithSlot(buckthorndyke.ReplicaSlot{Runner: "r2"}))
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
	f.progress <- buckthorndyke.StateUpdate{CaughtUp: true, LogDown: f.logDown, State: f.state}
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
