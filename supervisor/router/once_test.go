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
type killer struct {
	claims  *claimer.Claimer
	kill    func()
	service *standin.MemoryService
	step    string
}

// at kills the entry VM if it is at step, and then does not return before the
// caller's context ends.
func (k *killer) at(ctx context.Context, step string) {
	if k.step == step {
		k.kill()
		<-ctx.Done()
	}
}

func (k *killer) Call(
	ctx context.Context, address string, call buckthorndyke.ServiceCall,
) (buckthorndyke.ServiceResponse, error) {
	if k.step == stepSending {
		time.AfterFunc(time.Second, k.kill)
	}
	answer, err := k.service.Call(ctx, address, call)
	k.at(ctx, stepSent)
	return answer, err
}

func (k *killer) Claim(ctx context.Context, r buckthorndyke.ClaimRequest) (buckthorndyke.ClaimReply, error) {
	k.at(ctx, stepStart)
	reply, err := k.claims.Claim(ctx, r)
	k.at(ctx, stepClaimed)
	return reply, err
}

func (k *killer) Settle(ctx context.Context, o buckthorndyke.ClaimOutcome) error {
	err := k.claims.Settle(ctx, o)
	if k.step == stepSettled {
		k.kill()
	}
	return err
}

// entry returns the router of an entry VM that is killed at step.
func entry(
	ctx context.Context, f *fixture, log *standin.MemoryLog, service *standin.MemoryService, vm buckthorndyke.VMID, step string,
) (*router.Router, context.Context) {
	alive, kill := context.WithCancel(ctx)
	self := buckthorndyke.Self{Incarnation: 1, VM: vm}
	follower := fakeFollower{state: f.state}
	claims := claimer.New(self, follower, log, fakePeers{f: f}, f.clock)
	k := &killer{claims: claims, kill: kill, service: service, step: step}
	r := router.New(self, follower, f, fakePeers{f: f}, fakeEngines{f: f}, k, k, f, f.clock)
	standin.Start(alive, claims, r)
	synctest.Wait()
	return r, alive
}

// fakeFollower publishes one state.
type fakeFollower struct{ state buckthorndyke.State }

func (f fakeFollower) Subscribe(context.Context) <-chan buckthorndyke.StateUpdate {
	progress := make(chan buckthorndyke.StateUpdate, 1)
	progress <- buckthorndyke.StateUpdate{CaughtUp: true, State: f.state}
	return progress
}

// onceCall returns an attempt of one keyed call.
func onceCall(id buckthorndyke.RequestID, clock buckthorndyke.Clock) buckthorndyke.CallRequest {
	key := uuid.UUID{6: 0x70, 8: 0x80}
	for i, now := 5, clock.Now(); i >= 0; i, now = i-1, now>>8 {
		key[i] = byte(now)
	}
	ask := call("POST", key.String())
	ask.Call.Request = id
	return ask
}

func TestCallOnce(t *testing.T) {
	ran := result{verdict: buckthorndyke.Ran}
	mayHaveRun := result{code: buckthorndyke.CodeDuplicate, verdict: buckthorndyke.MayHaveRun}
	logDown := result{code: buckthorndyke.CodeLogUnavailable, verdict: buckthorndyke.NotRun}
	steps := map[string]struct {
		runs int
		want result
	}{
		stepStart:   {want: ran, runs: 1},
		stepClaimed: {want: mayHaveRun, runs: 0},
		stepSending: {want: mayHaveRun, runs: 1},
		stepSent:    {want: mayHaveRun, runs: 1},
		stepSettled: {want: ran, runs: 1},
	}
	for step, expected := range steps {
		for name, faults := range map[string]standin.LogFaults{
			"healthy": {}, "losing answers": {LoseReplies: 3}, "slow": {Delay: 200 * buckthorndyke.Millisecond},
		} {
			run(t, "killed "+step+", log "+name, func(t *testing.T, f *fixture) {
				o := newOnce(t, f, step)
				asserter.NoError(t, o.log.SetFaults(t.Context(), faults))
				o.first(t)
				assertResult(t, o.again(t, "second"), expected.want)
				assertResult(t, o.again(t, "third"), expected.want)
				assertRuns(t, o, expected.runs)
			})
		}
		run(t, "killed "+step+", log down after that", func(t *testing.T, f *fixture) {
			o := newOnce(t, f, step)
			o.first(t)
			asserter.NoError(t, o.log.SetFaults(t.Context(), standin.LogFaults{Down: true}))
			down := o.again(t, "second")
			if step != stepSettled || down.verdict != buckthorndyke.Ran {
				assertResult(t, down, logDown)
			}
			asserter.NoError(t, o.log.SetFaults(t.Context(), standin.LogFaults{}))
			assertResult(t, o.again(t, "third"), expected.want)
			assertRuns(t, o, expected.runs)
		})
	}
}

// result is how a call ended.
type result struct {
	code    buckthorndyke.Code
	verdict buckthorndyke.Verdict
}

// once is one keyed call that is sent through two entry VMs, the first of which
// is killed.
type once struct {
	alive   context.Context
	clock   buckthorndyke.Clock
	key     string
	killed  *router.Router
	log     *standin.MemoryLog
	other   *router.Router
	service *standin.MemoryService
}

func newOnce(t *testing.T, f *fixture, step string) *once {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		synctest.Wait()
	})
	clock := timekeeper.NewRealClock()
	o := &once{clock: clock, log: standin.NewMemoryLog(clock), service: standin.NewMemoryService(clock)}
	standin.Start(ctx, o.log, o.service)
	f.serve(nil, "s1", "s2")
	f.state = f.state.WithoutMember("a").WithoutMember("b").WithMember(buckthorndyke.Member{VM: "other"})
	if step == stepSending {
		asserter.NoError(t, o.service.SetFaults(ctx, standin.ServiceFaults{Delay: 2 * buckthorndyke.Second}))
	}
	o.other, _ = entry(ctx, f, o.log, o.service, "other", "")
	f.state = f.state.WithoutMember("other").WithMember(buckthorndyke.Member{VM: "killed"})
	o.killed, o.alive = entry(ctx, f, o.log, o.service, "killed", step)
	o.key = onceCall("", clock).Key
	return o
}

// again sends the call through the other entry VM.
func (o *once) again(t *testing.T, id buckthorndyke.RequestID) result {
	t.Helper()
	ask := onceCall(id, o.clock)
	ask.Key = o.key
	_, err := o.other.Call(t.Context(), ask)
	time.Sleep(time.Minute)
	if err == nil {
		return result{verdict: buckthorndyke.Ran}
	}
	refusal := buckthorndyke.RefusalOf(err)
	journal, err := o.service.Journal(t.Context())
	asserter.NoError(t, err)
	if refusal.Verdict() == buckthorndyke.NotRun {
		asserter.Equal(t, journal.Requests[id], 0)
	}
	return result{code: refusal.Code(), verdict: refusal.Verdict()}
}

// first sends the call through the entry VM that is killed. The caller learns
// nothing.
func (o *once) first(t *testing.T) {
	t.Helper()
	ask := onceCall("first", o.clock)
	ask.Key = o.key
	go func() { _, _ = o.killed.Call(o.alive, ask) }()
	time.Sleep(10 * time.Second)
	asserter.True(t, o.alive.Err() != nil, "the entry VM was not killed")
}

func assertResult(t *testing.T, got, want result) {
	t.Helper()
	if got != want {
		t.Errorf("got %s (%s), want %s (%s)", got.code, got.verdict, want.code, want.verdict)
	}
}

// assertRuns checks how often the call took effect.
func assertRuns(t *testing.T, o *once, want int) {
	t.Helper()
	journal, err := o.service.Journal(t.Context())
	asserter.NoError(t, err)
	asserter.Equal(t, len(journal.Calls), want)
}
