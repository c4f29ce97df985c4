package router_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/supervisor/router"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

// recordCapacity is the number of calls that a fake can record in one test.
const recordCapacity = 256

type (
	ticketFunc func(ctx context.Context, r buckthorndyke.TicketRequest) (buckthorndyke.Ticket, error)
	jobFunc    func(ctx context.Context, job buckthorndyke.Job) (buckthorndyke.TokenStream, error)
	serverFunc func(ctx context.Context, call buckthorndyke.ServiceCall) (buckthorndyke.ServiceResponse, error)
)

// fixture holds the fakes that a router runs with. They are set up before it starts.
type fixture struct {
	calledServers  chan string
	canceledJobs   chan buckthorndyke.JobID
	changes        chan buckthorndyke.Change
	claims         buckthorndyke.ClaimStore
	clock          buckthorndyke.Clock
	engineJobs     map[string]jobFunc
	incarnation    buckthorndyke.Incarnation
	issuers        map[string]ticketFunc
	logDown        bool
	logUp          chan struct{}
	outcomes       chan buckthorndyke.TicketOutcome
	servers        map[string]serverFunc
	startedJobs    chan buckthorndyke.Job
	state          buckthorndyke.State
	statusCalls    chan string
	statuses       map[string]buckthorndyke.EngineStatus
	ticketRequests chan buckthorndyke.TicketRequest
	updates        chan buckthorndyke.StateUpdate
	vms            []buckthorndyke.VM
}

// newFixture returns a fixture with two runners, r1 and r2, that may load model m. They
// are owned by VMs a and b.
func newFixture() *fixture {
	f := &fixture{
		calledServers:  make(chan string, recordCapacity),
		canceledJobs:   make(chan buckthorndyke.JobID, recordCapacity),
		changes:        make(chan buckthorndyke.Change, recordCapacity),
		clock:          timekeeper.NewRealClock(),
		engineJobs:     make(map[string]jobFunc),
		incarnation:    1,
		issuers:        make(map[string]ticketFunc),
		logUp:          make(chan struct{}, 1),
		outcomes:       make(chan buckthorndyke.TicketOutcome, recordCapacity),
		servers:        make(map[string]serverFunc),
		startedJobs:    make(chan buckthorndyke.Job, recordCapacity),
		statusCalls:    make(chan string, 4*recordCapacity),
		statuses:       make(map[string]buckthorndyke.EngineStatus),
		ticketRequests: make(chan buckthorndyke.TicketRequest, recordCapacity),
		updates:        make(chan buckthorndyke.StateUpdate, 1),
	}
	rules := buckthorndyke.Rules{}.
		WithModel(buckthorndyke.ModelRule{ID: "m", Replicas: 2}).
		WithCaller(buckthorndyke.CallerRule{
			ID: "caller", Key: buckthorndyke.DigestKey("token"), Rank: buckthorndyke.RankUrgent,
		}).
		WithRank(buckthorndyke.RankRule{
			FirstToken: 2 * buckthorndyke.Second, MaxTokens: 8, Rank: buckthorndyke.RankUrgent,
		}).
		WithService(buckthorndyke.ServiceRule{ID: "bookings", Idempotent: []string{"GET"}})
	f.state = buckthorndyke.State{}.WithRules(rules, "", 1).WithPlacement(
		buckthorndyke.Placement{Model: "m"}.
			WithSlot(buckthorndyke.ReplicaSlot{Runner: "r1"}).WithSlot(buckthorndyke.ReplicaSlot{Runner: "r2"}))
	f.setOwner("r1", "a", 10)
	f.setOwner("r2", "b", 11)
	return f
}

// addFirstIssuer makes the owner that gets the first request issue its ticket with
// issue. Later requests are handled as before.
func (f *fixture) addFirstIssuer(issue ticketFunc) {
	first := make(chan struct{}, 1)
	first <- struct{}{}
	rest := f.issuers["a"]
	f.setIssuers(func(ctx context.Context, r buckthorndyke.TicketRequest) (buckthorndyke.Ticket, error) {
		select {
		case <-first:
			return issue(ctx, r)
		default:
			return rest(ctx, r)
		}
	})
}

// discardRecords discards the records of one request.
func (f *fixture) discardRecords() {
	<-f.ticketRequests
	<-f.startedJobs
	<-f.outcomes
}

// launch runs the router until ctx ends.
func (f *fixture) launch(ctx context.Context, opts ...router.Option) *router.Router {
	self := buckthorndyke.Self{Incarnation: 1, VM: "self"}
	r := router.New(self, f, f, fakePeers{f: f}, fakeEngines{f: f}, f, f.claims, f, f.clock, opts...)
	go func() { _ = r.Serve(ctx) }()
	return r
}

// publish sends the fixture's state to the router and waits until it is applied.
func (f *fixture) publish() {
	f.updates <- buckthorndyke.StateUpdate{CaughtUp: true, LogDown: f.logDown, State: f.state}
	synctest.Wait()
}

// setFirstIssuer makes the owner that gets the first request issue its ticket with
// issue. All later requests are granted at once.
func (f *fixture) setFirstIssuer(issue ticketFunc) {
	f.setIssuers(func(_ context.Context, r buckthorndyke.TicketRequest) (buckthorndyke.Ticket, error) {
		return f.grant(r), nil
	})
	f.addFirstIssuer(issue)
}

// setIssuers makes both owners issue tickets with issue.
func (f *fixture) setIssuers(issue ticketFunc) {
	f.issuers["a"], f.issuers["b"] = issue, issue
}

// setOwner makes vm the owner of runner.
func (f *fixture) setOwner(runner buckthorndyke.RunnerID, vm buckthorndyke.VMID, epoch buckthorndyke.Offset) {
	f.state = f.state.
		WithMember(buckthorndyke.Member{Incarnation: 1, PeerAddress: string(vm), VM: vm}).
		WithOwnership(buckthorndyke.Ownership{
			Address: string(runner), Epoch: epoch, Incarnation: 1, Owner: vm, Runner: runner,
		})
}

// start runs the router in the test's bubble and waits until it has the state.
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
