package router_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/standin"
	"github.com/buckthorndyke/buckthorndyke/supervisor/claimer"
	"github.com/buckthorndyke/buckthorndyke/supervisor/router"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

// Steps of a keyed call after which its entry VM is killed.
const (
	stepStart   = "before the claim"
	stepClaimed = "between claim and send"
	stepSending = "while the call is on its way"
	stepSent    = "between send and outcome"
	stepSettled = "before the answer"
)

// killer is the claims and the service of an entry VM that is killed at a step.
// What the VM does after that has no effect.
type killedVM struct {
	claims  *claimer.Claimer
	kill    func()
	service *standin.MemoryService
	step    string
}

func (k *killedVM) Call(
	ctx context.Context, address string, call buckthorndyke.ServiceCall,
) (buckthorndyke.ServiceResponse, error) {
	if k.step == stepSending {
		time.AfterFunc(time.Second, k.kill)
	}
	response, err := k.service.Call(ctx, address, call)
	k.killAt(ctx, stepSent)
	return response, err
}

func (k *killedVM) Claim(ctx context.Context, r buckthorndyke.ClaimRequest) (buckthorndyke.ClaimReply, error) {
	k.killAt(ctx, stepStart)
	reply, err := k.claims.Claim(ctx, r)
	k.killAt(ctx, stepClaimed)
	return reply, err
}

func (k *killedVM) Settle(ctx context.Context, o buckthorndyke.ClaimOutcome) error {
	err := k.claims.Settle(ctx, o)
	if k.step == stepSettled {
		k.kill()
	}
	return err
}

// at kills the entry VM if it is at step, and then does not return before the
// caller's context ends.
func (k *killedVM) killAt(ctx context.Context, step string) {
	if k.step == step {
		k.kill()
		<-ctx.Done()
	}
}

// entry returns the router of an entry VM that is killed at step.
func startEntryVM(
	ctx context.Context, f *fixture, log *standin.MemoryLog, service *standin.MemoryService, vm buckthorndyke.VMID, step string,
) (*router.Router, context.Context) {
	alive, kill := context.WithCancel(ctx)
	self := buckthorndyke.Self{Incarnation: 1, VM: vm}
	follower := fakeFollower{state: f.state}
	claims := claimer.New(self, follower, log, fakePeers{f: f}, f.clock)
	k := &killedVM{claims: claims, kill: kill, service: service, step: step}
	r := router.New(self, follower, f, fakePeers{f: f}, fakeEngines{f: f}, k, k, f, f.clock)
	standin.Start(alive, claims, r)
	synctest.Wait()
	return r, alive
}

// fakeFollower publishes one state.
type fakeFollower struct{ state buckthorndyke.State }

func (f fakeFollower) Subscribe(context.Context) <-chan buckthorndyke.StateUpdate {
	updates := make(chan buckthorndyke.StateUpdate, 1)
	updates <- buckthorndyke.StateUpdate{CaughtUp: true, State: f.state}
	return updates
}

// onceCall returns an attempt of one keyed call.
func newKeyedCall(id buckthorndyke.RequestID, clock buckthorndyke.Clock) buckthorndyke.CallRequest {
	key := uuid.UUID{6: 0x70, 8: 0x80}
	for i, now := 5, clock.Now(); i >= 0; i, now = i-1, now>>8 {
		key[i] = byte(now)
	}
	req := newCall("POST", key.String())
	req.Call.Request = id
	return req
}

func TestCallOnce(t *testing.T) {
	wantRan := callResult{verdict: buckthorndyke.Ran}
	wantMayHaveRun := callResult{code: buckthorndyke.CodeDuplicate, verdict: buckthorndyke.MayHaveRun}
	wantLogUnavailable := callResult{code: buckthorndyke.CodeLogUnavailable, verdict: buckthorndyke.NotRun}
	steps := map[string]struct {
		runs int
		want callResult
	}{
		stepStart:   {want: wantRan, runs: 1},
		stepClaimed: {want: wantMayHaveRun, runs: 0},
		stepSending: {want: wantMayHaveRun, runs: 1},
		stepSent:    {want: wantMayHaveRun, runs: 1},
		stepSettled: {want: wantRan, runs: 1},
	}
	for step, expected := range steps {
		for name, faults := range map[string]standin.LogFaults{
			"healthy": {}, "losing answers": {LoseAnswers: 3}, "slow": {Delay: 200 * buckthorndyke.Millisecond},
		} {
			run(t, "killed "+step+", log "+name, func(t *testing.T, f *fixture) {
				o := newKeyedCallTest(t, f, step)
				asserter.NoError(t, o.log.SetFaults(t.Context(), faults))
				o.callKilled(t)
				assertResult(t, o.callOther(t, "second"), expected.want)
				assertResult(t, o.callOther(t, "third"), expected.want)
				assertRuns(t, o, expected.runs)
			})
		}
		run(t, "killed "+step+", log down after that", func(t *testing.T, f *fixture) {
			o := newKeyedCallTest(t, f, step)
			o.callKilled(t)
			asserter.NoError(t, o.log.SetFaults(t.Context(), standin.LogFaults{Down: true}))
			down := o.callOther(t, "second")
			if step != stepSettled || down.verdict != buckthorndyke.Ran {
				assertResult(t, down, wantLogUnavailable)
			}
			asserter.NoError(t, o.log.SetFaults(t.Context(), standin.LogFaults{}))
			assertResult(t, o.callOther(t, "third"), expected.want)
			assertRuns(t, o, expected.runs)
		})
	}
}

// result is how a call ended.
type callResult struct {
	code    buckthorndyke.Code
	verdict buckthorndyke.Verdict
}

// once is one keyed call that is sent through two entry VMs, the first of which
// is killed.
type keyedCallTest struct {
	alive   context.Context
	clock   buckthorndyke.Clock
	key     string
	killed  *router.Router
	log     *standin.MemoryLog
	other   *router.Router
	service *standin.MemoryService
}

func newKeyedCallTest(t *testing.T, f *fixture, step string) *keyedCallTest {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		synctest.Wait()
	})
	clock := timekeeper.NewRealClock()
	o := &keyedCallTest{clock: clock, log: standin.NewMemoryLog(clock), service: standin.NewMemoryService(clock)}
	standin.Start(ctx, o.log, o.service)
	f.addServers(nil, "s1", "s2")
	f.state = f.state.WithoutMember("a").WithoutMember("b").WithMember(buckthorndyke.Member{VM: "other"})
	if step == stepSending {
		asserter.NoError(t, o.service.SetFaults(ctx, standin.ServiceFaults{Delay: 2 * buckthorndyke.Second}))
	}
	o.other, _ = startEntryVM(ctx, f, o.log, o.service, "other", "")
	f.state = f.state.WithoutMember("other").WithMember(buckthorndyke.Member{VM: "killed"})
	o.killed, o.alive = startEntryVM(ctx, f, o.log, o.service, "killed", step)
	o.key = newKeyedCall("", clock).Key
	return o
}

// first sends the call through the entry VM that is killed. The caller learns
// nothing.
func (o *keyedCallTest) callKilled(t *testing.T) {
	t.Helper()
	req := newKeyedCall("first", o.clock)
	req.Key = o.key
	go func() { _, _ = o.killed.Call(o.alive, req) }()
	time.Sleep(10 * time.Second)
	asserter.True(t, o.alive.Err() != nil, "the entry VM was not killed")
}

// again sends the call through the other entry VM.
func (o *keyedCallTest) callOther(t *testing.T, id buckthorndyke.RequestID) callResult {
	t.Helper()
	req := newKeyedCall(id, o.clock)
	req.Key = o.key
	_, err := o.other.Call(t.Context(), req)
	time.Sleep(time.Minute)
	if err == nil {
		return callResult{verdict: buckthorndyke.Ran}
	}
	refusal := buckthorndyke.RefusalOf(err)
	journal, err := o.service.Journal(t.Context())
	asserter.NoError(t, err)
	if refusal.Verdict() == buckthorndyke.NotRun {
		asserter.Equal(t, journal.Requests[id], 0)
	}
	return callResult{code: refusal.Code(), verdict: refusal.Verdict()}
}

func assertResult(t *testing.T, got, want callResult) {
	t.Helper()
	if got != want {
		t.Errorf("got %s (%s), want %s (%s)", got.code, got.verdict, want.code, want.verdict)
	}
}

// assertRuns checks how often the call took effect.
func assertRuns(t *testing.T, o *keyedCallTest, want int) {
	t.Helper()
	journal, err := o.service.Journal(t.Context())
	asserter.NoError(t, err)
	asserter.Equal(t, len(journal.Calls), want)
}
