package router_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/supervisor/router"
)

// fakeClaims is a claim store with preset replies.
type fakeClaims struct {
	claimErr  error
	reply     buckthorndyke.ClaimReply
	settled   chan buckthorndyke.ClaimOutcome
	settleErr error
}

func (c fakeClaims) Claim(context.Context, buckthorndyke.ClaimRequest) (buckthorndyke.ClaimReply, error) {
	return c.reply, c.claimErr
}

func (c fakeClaims) Settle(_ context.Context, o buckthorndyke.ClaimOutcome) error {
	c.settled <- o
	return c.settleErr
}

// addServers adds backend servers that handle calls with serve.
func (f *fixture) addServers(serve serverFunc, names ...string) {
	for _, name := range names {
		f.servers[name] = serve
		f.vms = append(f.vms, buckthorndyke.VM{
			Address: name, ID: buckthorndyke.VMID(name), Role: buckthorndyke.RoleService, Service: "bookings",
		})
	}
}

// setClaims makes the claim store reply to claims with reply and err.
func (f *fixture) setClaims(reply buckthorndyke.ClaimReply, err error) chan buckthorndyke.ClaimOutcome {
	settled := make(chan buckthorndyke.ClaimOutcome, recordCapacity)
	f.claims = fakeClaims{claimErr: err, reply: reply, settled: settled}
	return settled
}

// newCall returns a call to the bookings service.
func newCall(method, key string) buckthorndyke.CallRequest {
	return buckthorndyke.CallRequest{
		Call:   buckthorndyke.ServiceCall{Method: method, Path: "/halls", Service: "bookings"},
		Caller: request.Caller,
		Key:    key,
	}
}

func succeed(context.Context, buckthorndyke.ServiceCall) (buckthorndyke.ServiceResponse, error) {
	return buckthorndyke.ServiceResponse{Status: 201}, nil
}

// fail returns a handler that fails with the given verdict.
func fail(v buckthorndyke.Verdict) serverFunc {
	return func(context.Context, buckthorndyke.ServiceCall) (buckthorndyke.ServiceResponse, error) {
		return buckthorndyke.ServiceResponse{}, buckthorndyke.NewRefusal(buckthorndyke.CodeServiceUnavailable, v, "broken")
	}
}

func TestCall(t *testing.T) {
	run(t, "an idempotent call is retried on another server", func(t *testing.T, f *fixture) {
		f.addServers(fail(buckthorndyke.MayHaveRun), "s1", "s2")
		f.addServers(succeed, "s3")
		assertCallSucceeds(t, f.start(t), newCall("GET", ""))
	})
	run(t, "a call that is not idempotent is sent once", func(t *testing.T, f *fixture) {
		f.addServers(fail(buckthorndyke.MayHaveRun), "s1", "s2")
		assertCallRefused(t, f.start(t), newCall("POST", ""), buckthorndyke.CodeServiceUnavailable, buckthorndyke.MayHaveRun)
		assertCount(t, f.calledServers, 1)
	})
	run(t, "a call that is not idempotent is retried if no byte was sent", func(t *testing.T, f *fixture) {
		f.addServers(fail(buckthorndyke.NotRun), "s1", "s2")
		f.addServers(succeed, "s3")
		assertCallSucceeds(t, f.start(t), newCall("POST", ""))
	})
	run(t, "a call that reached no server is reported as not run", func(t *testing.T, f *fixture) {
		f.addServers(fail(buckthorndyke.NotRun), "s1", "s2")
		assertCallRefused(t, f.start(t), newCall("POST", ""), buckthorndyke.CodeServiceUnavailable, buckthorndyke.NotRun)
		assertCount(t, f.calledServers, 2)
	})
	run(t, "a call that may have run is never reported as not run", func(t *testing.T, f *fixture) {
		f.addServers(fail(buckthorndyke.MayHaveRun), "s1")
		assertCallRefused(t, f.start(t), newCall("GET", ""), buckthorndyke.CodeServiceUnavailable, buckthorndyke.MayHaveRun)
	})
	run(t, "a dead server does not use up the retry budget", func(t *testing.T, f *fixture) {
		f.addServers(fail(buckthorndyke.NotRun), "s1")
		f.addServers(succeed, "s2", "s3")
		f.calledServers = make(chan string, 4096)
		r := f.start(t)
		for range 1000 {
			assertCallSucceeds(t, r, newCall("POST", ""))
			time.Sleep(100 * time.Millisecond)
		}
	})
	run(t, "a leaving server gets no call", func(t *testing.T, f *fixture) {
		f.addServers(succeed, "s1", "s2")
		f.vms[0].Leaving = true
		r := f.start(t)
		for range 4 {
			assertCallSucceeds(t, r, newCall("POST", ""))
			asserter.Equal(t, <-f.calledServers, "s2")
		}
	})
	run(t, "the server with the fewest calls is chosen", func(t *testing.T, f *fixture) {
		release := make(chan struct{})
		f.addServers(func(ctx context.Context, c buckthorndyke.ServiceCall) (buckthorndyke.ServiceResponse, error) {
			<-release
			return succeed(ctx, c)
		}, "s1", "s2", "s3")
		r := f.start(t)
		for range 6 {
			go func() { _, _ = r.Call(t.Context(), newCall("POST", "")) }()
		}
		synctest.Wait()
		counts := make(map[string]int)
		for range 6 {
			counts[<-f.calledServers]++
		}
		close(release)
		asserter.Equal(t, counts, map[string]int{"s1": 2, "s2": 2, "s3": 2})
	})
	run(t, "a call ends at the limit that its caller sets, or at the default one", func(t *testing.T, f *fixture) {
		f.addServers(func(ctx context.Context, _ buckthorndyke.ServiceCall) (buckthorndyke.ServiceResponse, error) {
			<-ctx.Done()
			return buckthorndyke.ServiceResponse{}, context.Cause(ctx)
		}, "s1")
		r := f.start(t)
		for _, limit := range []time.Duration{time.Minute, time.Second} {
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			began := time.Now()
			_, err := r.Call(ctx, newCall("POST", ""))
			asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
			asserter.Equal(t, time.Since(began), limit)
			cancel()
		}
		began := time.Now()
		_, err := r.Call(t.Context(), newCall("POST", ""))
		asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
		asserter.Equal(t, time.Since(began), 30*time.Second)
	})
	run(t, "a service without a rule is refused", func(t *testing.T, f *fixture) {
		req := newCall("GET", "")
		req.Call.Service = "other"
		assertCallRefused(t, f.start(t), req, buckthorndyke.CodeServiceUnknown, buckthorndyke.NotRun)
	})
	run(t, "a service that the caller may not use is refused", func(t *testing.T, f *fixture) {
		req := newCall("GET", "")
		req.Caller.Services = []buckthorndyke.ServiceID{"other"}
		assertCallRefused(t, f.start(t), req, buckthorndyke.CodeForbidden, buckthorndyke.NotRun)
	})
}

func TestClaimedCall(t *testing.T) {
	granted := buckthorndyke.ClaimReply{Granted: true}
	run(t, "a granted call is sent and its response recorded", func(t *testing.T, f *fixture) {
		settled := f.setClaims(granted, nil)
		f.addServers(succeed, "s1")
		assertCallSucceeds(t, f.start(t), newCall("POST", "key"))
		assertCount(t, f.calledServers, 1)
		outcome := <-settled
		asserter.Equal(t, outcome.Verdict, buckthorndyke.Ran)
		asserter.Equal(t, outcome.Response, &buckthorndyke.ServiceResponse{Status: 201})
	})
	run(t, "the response is returned even if it cannot be recorded", func(t *testing.T, f *fixture) {
		f.claims = fakeClaims{
			reply: granted, settled: make(chan buckthorndyke.ClaimOutcome, recordCapacity), settleErr: errFake,
		}
		f.addServers(succeed, "s1")
		assertCallSucceeds(t, f.start(t), newCall("POST", "key"))
	})
	run(t, "a call that may have run is recorded as that", func(t *testing.T, f *fixture) {
		settled := f.setClaims(granted, nil)
		f.addServers(fail(buckthorndyke.MayHaveRun), "s1", "s2")
		assertCallRefused(t, f.start(t), newCall("POST", "key"), buckthorndyke.CodeServiceUnavailable, buckthorndyke.MayHaveRun)
		assertCount(t, f.calledServers, 1)
		asserter.Equal(t, (<-settled).Verdict, buckthorndyke.MayHaveRun)
	})
	run(t, "a call that reached no server is recorded as not run", func(t *testing.T, f *fixture) {
		settled := f.setClaims(granted, nil)
		assertCallRefused(t, f.start(t), newCall("POST", "key"), buckthorndyke.CodeServiceUnavailable, buckthorndyke.NotRun)
		asserter.Equal(t, (<-settled).Verdict, buckthorndyke.NotRun)
	})

	response := &buckthorndyke.ServiceResponse{Status: 201}
	run(t, "a recorded response is replayed", func(t *testing.T, f *fixture) {
		f.setClaims(buckthorndyke.ClaimReply{Response: response, Verdict: buckthorndyke.Ran}, nil)
		assertCallSucceeds(t, f.start(t), newCall("POST", "key"))
		assertCount(t, f.calledServers, 0)
	})
	unavailable := buckthorndyke.NewRefusal(buckthorndyke.CodeLogUnavailable, buckthorndyke.NotRun, "down")
	expired := buckthorndyke.NewRefusal(buckthorndyke.CodeKeyExpired, buckthorndyke.MayHaveRun, "old")
	for name, refused := range map[string]struct {
		reply   buckthorndyke.ClaimReply
		err     error
		code    buckthorndyke.Code
		verdict buckthorndyke.Verdict
	}{
		"the log is down":                        {code: buckthorndyke.CodeLogUnavailable, err: unavailable, verdict: buckthorndyke.NotRun},
		"the key has expired":                    {code: buckthorndyke.CodeKeyExpired, err: expired, verdict: buckthorndyke.MayHaveRun},
		"the claim store fails":                  {code: buckthorndyke.CodeClaimUnavailable, err: errFake, verdict: buckthorndyke.NotRun},
		"the first call has no recorded outcome": {code: buckthorndyke.CodeDuplicate, verdict: buckthorndyke.MayHaveRun},
		"the response was too long to be recorded": {
			code: buckthorndyke.CodeDuplicate, reply: buckthorndyke.ClaimReply{Verdict: buckthorndyke.Ran},
			verdict: buckthorndyke.Ran,
		},
		"too many calls with the key have failed": {
			code: buckthorndyke.CodeClaimUnavailable, reply: buckthorndyke.ClaimReply{Verdict: buckthorndyke.NotRun},
			verdict: buckthorndyke.NotRun,
		},
		"the key was used for a different call": {
			code: buckthorndyke.CodeKeyReused, reply: buckthorndyke.ClaimReply{Mismatch: true, Response: response, Verdict: buckthorndyke.Ran},
			verdict: buckthorndyke.NotRun,
		},
	} {
		run(t, "nothing is sent if "+name, func(t *testing.T, f *fixture) {
			f.setClaims(refused.reply, refused.err)
			f.addServers(succeed, "s1")
			assertCallRefused(t, f.start(t), newCall("POST", "key"), refused.code, refused.verdict)
			assertCount(t, f.calledServers, 0)
		})
	}
}

// assertCallSucceeds checks that a call gets a response.
func assertCallSucceeds(t *testing.T, r *router.Router, req buckthorndyke.CallRequest) {
	t.Helper()
	response, err := r.Call(t.Context(), req)
	asserter.NoError(t, err)
	asserter.Equal(t, response.Status, 201)
}

// assertCallRefused checks the code and the verdict of a call's refusal.
func assertCallRefused(
	t *testing.T, r *router.Router, req buckthorndyke.CallRequest, code buckthorndyke.Code, v buckthorndyke.Verdict,
) {
	t.Helper()
	_, err := r.Call(t.Context(), req)
	asserter.Refused(t, err, code, v)
}
