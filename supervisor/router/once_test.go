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

// Steps of a call with an idempotency key at which its entry VM is killed.
const (
	stepStart   = "before the claim"
	stepClaimed = "between claim and send"
	stepSending = "while the call is in progress"
	stepSent    = "between send and outcome"
	stepSettled = "before the response"
)

// killedVM is the claim store and the service of an entry VM that is killed at step.
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

// killAt kills the entry VM if it is to be killed at step, and then blocks until ctx
// ends.
func (k *killedVM) killAt(ctx context.Context, step string) {
	if k.step == step {
		k.kill()
		<-ctx.Done()
	}
}

// startEntryVM starts the router of an entry VM that is killed at step. It returns the
// router and a context that ends when the VM is killed.
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

// fakeFollower delivers one state.
type fakeFollower struct{ state buckthorndyke.State }

func (f fakeFollower) Subscribe(context.Context) <-chan buckthorndyke.StateUpdate {
	updates := make(chan buckthorndyke.StateUpdate, 1)
	updates <- buckthorndyke.StateUpdate{CaughtUp: true, State: f.state}
	return updates
}

// newKeyedCall returns a call with a new idempotency key.
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
		stepStart:   {runs: 1, want: wantRan},
		stepClaimed: {runs: 0, want: wantMayHaveRun},
		stepSending: {runs: 1, want: wantMayHaveRun},
		stepSent:    {runs: 1, want: wantMayHaveRun},
		stepSettled: {runs: 1, want: wantRan},
	}
	for step, expected := range steps {
		for name, faults := range map[string]standin.LogFaults{
			"healthy": {}, "losing replies": {LoseReplies: 3}, "slow": {Delay: 200 * buckthorndyke.Millisecond},
		} {
			run(t, "killed "+step+", log "+name, func(t *testing.T, f *fixture) {
				c := newKeyedCallTest(t, f, step)
				asserter.NoError(t, c.log.SetFaults(t.Context(), faults))
				c.callKilled(t)
				assertResult(t, c.callOther(t, "second"), expected.want)
				assertResult(t, c.callOther(t, "third"), expected.want)
				assertRuns(t, c, expected.runs)
			})
		}
		run(t, "killed "+step+", log down afterwards", func(t *testing.T, f *fixture) {
			c := newKeyedCallTest(t, f, step)
			c.callKilled(t)
			asserter.NoError(t, c.log.SetFaults(t.Context(), standin.LogFaults{Down: true}))
			down := c.callOther(t, "second")
			if step != stepSettled || down.verdict != buckthorndyke.Ran {
				assertResult(t, down, wantLogUnavailable)
			}
			asserter.NoError(t, c.log.SetFaults(t.Context(), standin.LogFaults{}))
			assertResult(t, c.callOther(t, "third"), expected.want)
			assertRuns(t, c, expected.runs)
		})
	}
}

// callResult is how a call ended.
type callResult struct {
	code    buckthorndyke.Code
	verdict buckthorndyke.Verdict
}

// keyedCallTest sends one call with an idempotency key through two entry VMs, the first
// of which is killed.
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
	c := &keyedCallTest{clock: clock, log: standin.NewMemoryLog(clock), service: standin.NewMemoryService(clock)}
	standin.Start(ctx, c.log, c.service)
	f.addServers(nil, "s1", "s2")
	f.state = f.state.WithoutMember("a").WithoutMember("b").WithMember(buckthorndyke.Member{VM: "other"})
	if step == stepSending {
		asserter.NoError(t, c.service.SetFaults(ctx, standin.ServiceFaults{Delay: 2 * buckthorndyke.Second}))
	}
	c.other, _ = startEntryVM(ctx, f, c.log, c.service, "other", "")
	f.state = f.state.WithoutMember("other").WithMember(buckthorndyke.Member{VM: "killed"})
	c.killed, c.alive = startEntryVM(ctx, f, c.log, c.service, "killed", step)
	c.key = newKeyedCall("", clock).Key
	return c
}

// callKilled sends the call through the entry VM that is killed, and discards its
// result.
func (c *keyedCallTest) callKilled(t *testing.T) {
	t.Helper()
	req := newKeyedCall("first", c.clock)
	req.Key = c.key
	go func() { _, _ = c.killed.Call(c.alive, req) }()
	time.Sleep(10 * time.Second)
	asserter.True(t, c.alive.Err() != nil, "the entry VM was not killed")
}

// callOther sends the call through the other entry VM.
func (c *keyedCallTest) callOther(t *testing.T, id buckthorndyke.RequestID) callResult {
	t.Helper()
	req := newKeyedCall(id, c.clock)
	req.Key = c.key
	_, err := c.other.Call(t.Context(), req)
	time.Sleep(time.Minute)
	if err == nil {
		return callResult{verdict: buckthorndyke.Ran}
	}
	refusal := buckthorndyke.RefusalOf(err)
	journal, err := c.service.Journal(t.Context())
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

// assertRuns checks how often the call ran.
func assertRuns(t *testing.T, c *keyedCallTest, want int) {
	t.Helper()
	journal, err := c.service.Journal(t.Context())
	asserter.NoError(t, err)
	asserter.Equal(t, len(journal.Calls), want)
}
