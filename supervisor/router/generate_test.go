package router_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/supervisor/router"
)

var request = buckthorndyke.GenerateRequest{
	Caller: buckthorndyke.CallerRule{ID: "caller", Rank: buckthorndyke.RankUrgent},
	ID:     "request",
	Model:  "m",
	Prompt: "prompt",
}

// run runs test in a synctest bubble with a new fixture.
func run(t *testing.T, name string, test func(t *testing.T, f *fixture)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			test(t, newFixture())
		})
	})
}

func TestAccess(t *testing.T) {
	run(t, "a valid token identifies its caller", func(t *testing.T, f *fixture) {
		caller, err := f.start(t).Authenticate(t.Context(), buckthorndyke.NewCredential("token"))
		asserter.NoError(t, err)
		asserter.Equal(t, caller.ID, "caller")
	})
	run(t, "an unknown token is refused", func(t *testing.T, f *fixture) {
		_, err := f.start(t).Authenticate(t.Context(), buckthorndyke.NewCredential("other"))
		asserter.Refused(t, err, buckthorndyke.CodeUnauthenticated, buckthorndyke.NotRun)
	})
	run(t, "requests are refused until the state has caught up", func(t *testing.T, f *fixture) {
		r := f.start(t)
		f.updates <- buckthorndyke.StateUpdate{State: f.state}
		synctest.Wait()
		_, err := r.Authenticate(t.Context(), buckthorndyke.NewCredential("token"))
		asserter.Refused(t, err, buckthorndyke.CodeNotReady, buckthorndyke.NotRun)
		_, err = read(t.Context(), r, request)
		asserter.Refused(t, err, buckthorndyke.CodeNotReady, buckthorndyke.NotRun)
	})
	run(t, "a model without a rule is refused", func(t *testing.T, f *fixture) {
		req := request
		req.Model = "other"
		assertRefused(t, f.start(t), req, buckthorndyke.CodeModelUnknown, buckthorndyke.NotRun)
	})
	run(t, "a model that the caller may not use is refused", func(t *testing.T, f *fixture) {
		req := request
		req.Caller.Models = []buckthorndyke.ModelID{"other"}
		assertRefused(t, f.start(t), req, buckthorndyke.CodeForbidden, buckthorndyke.NotRun)
	})
}

func TestWait(t *testing.T) {
	queued := buckthorndyke.TicketEvent{Kind: buckthorndyke.TicketQueued}
	run(t, "a request that is not granted is refused at its deadline", func(t *testing.T, f *fixture) {
		f.setIssuers(func(context.Context, buckthorndyke.TicketRequest) (buckthorndyke.Ticket, error) {
			return f.ticket(queued), nil
		})
		r, start := f.start(t), f.clock.Now()
		assertRefused(t, r, request, buckthorndyke.CodeDeadline, buckthorndyke.NotRun)
		asserter.Equal(t, f.clock.Now()-start, 2*buckthorndyke.Second)
		assertCount(t, f.outcomes, 1)
	})
	run(t, "a request without any permitted runner is refused at its deadline", func(t *testing.T, f *fixture) {
		f.state.Placements = buckthorndyke.Table[buckthorndyke.ModelID, buckthorndyke.Placement]{}
		r, start := f.start(t), f.clock.Now()
		assertRefused(t, r, request, buckthorndyke.CodeDeadline, buckthorndyke.NotRun)
		asserter.Equal(t, f.clock.Now()-start, 2*buckthorndyke.Second)
	})
	run(t, "another runner is tried when the owner dies while the request is queued", func(t *testing.T, f *fixture) {
		f.setFirstIssuer(func(context.Context, buckthorndyke.TicketRequest) (buckthorndyke.Ticket, error) {
			ticket := f.ticket(queued)
			time.AfterFunc(time.Second, func() { close(ticket.events) })
			return ticket, nil
		})
		assertResponse(t, f.start(t), request, "abcd")
		first, second := <-f.ticketRequests, <-f.ticketRequests
		asserter.True(t, first.Runner != second.Runner, "the same runner was tried again")
		asserter.Equal(t, second.Deadline, 1*buckthorndyke.Second)
	})
	run(t, "the new owner is tried when the only owner dies", func(t *testing.T, f *fixture) {
		f.state = f.state.WithPlacement(
			buckthorndyke.Placement{Model: "m"}.WithSlot(buckthorndyke.ReplicaSlot{Runner: "r1"}))
		f.issuers["a"] = func(context.Context, buckthorndyke.TicketRequest) (buckthorndyke.Ticket, error) {
			return nil, errFake
		}
		r := f.start(t)
		time.AfterFunc(time.Second, func() {
			f.setOwner("r1", "c", 20)
			f.updates <- buckthorndyke.StateUpdate{CaughtUp: true, State: f.state}
		})
		assertResponse(t, r, request, "abcd")
	})
	run(t, "another runner is tried when the owner does not respond", func(t *testing.T, f *fixture) {
		f.setFirstIssuer(func(context.Context, buckthorndyke.TicketRequest) (buckthorndyke.Ticket, error) {
			return f.ticket(), nil
		})
		assertResponse(t, f.start(t), request, "abcd")
		assertCount(t, f.outcomes, 2)
	})
	run(t, "an owner that does not respond is tried last for a while", func(t *testing.T, f *fixture) {
		f.setFirstIssuer(func(context.Context, buckthorndyke.TicketRequest) (buckthorndyke.Ticket, error) {
			return f.ticket(), nil
		})
		r := f.start(t)
		assertResponse(t, r, request, "abcd")
		start := f.clock.Now()
		assertResponse(t, r, request, "abcd")
		asserter.Equal(t, f.clock.Now(), start)
		unresponsive, next, again := <-f.ticketRequests, <-f.ticketRequests, <-f.ticketRequests
		asserter.True(t, unresponsive.Runner != next.Runner && next.Runner == again.Runner, "the owner that does not respond was tried again")
	})
	run(t, "the new owner is tried when a paused owner is replaced", func(t *testing.T, f *fixture) {
		f.setIssuers(func(context.Context, buckthorndyke.TicketRequest) (buckthorndyke.Ticket, error) {
			return f.ticket(queued), nil
		})
		r := f.start(t)
		time.AfterFunc(time.Second, func() {
			f.setOwner("r1", "c", 20)
			f.setOwner("r2", "c", 21)
			f.updates <- buckthorndyke.StateUpdate{CaughtUp: true, State: f.state}
		})
		assertResponse(t, r, request, "abcd")
	})
}

func TestRetry(t *testing.T) {
	overloaded := func(context.Context, buckthorndyke.TicketRequest) (buckthorndyke.Ticket, error) {
		return nil, buckthorndyke.NewRefusal(buckthorndyke.CodeOverloaded, buckthorndyke.NotRun, "full").
			WithRetryAfter(7 * buckthorndyke.Second)
	}
	run(t, "another runner is tried when one is overloaded", func(t *testing.T, f *fixture) {
		f.setFirstIssuer(overloaded)
		assertResponse(t, f.start(t), request, "abcd")
	})
	run(t, "a request that all runners refuse is refused at once", func(t *testing.T, f *fixture) {
		f.setIssuers(overloaded)
		r, start := f.start(t), f.clock.Now()
		_, err := read(t.Context(), r, request)
		asserter.Refused(t, err, buckthorndyke.CodeOverloaded, buckthorndyke.NotRun)
		asserter.Equal(t, buckthorndyke.RefusalOf(err).RetryAfter(), 7*buckthorndyke.Second)
		asserter.Equal(t, f.clock.Now(), start)
	})
	run(t, "a refusal without an alternative uses no retry", func(t *testing.T, f *fixture) {
		f.setIssuers(overloaded)
		both := f.state
		f.state = f.state.WithPlacement(buckthorndyke.Placement{Model: "m"}.WithSlot(buckthorndyke.ReplicaSlot{Runner: "r1"}))
		r := f.start(t)
		for range 200 {
			assertRefused(t, r, request, buckthorndyke.CodeOverloaded, buckthorndyke.NotRun)
		}
		f.state = both
		f.publish()
		_, _ = read(t.Context(), r, request)
		assertCount(t, f.ticketRequests, 202)
	})
	run(t, "a request waits for a runner that may be back soon", func(t *testing.T, f *fixture) {
		notOwner := func(context.Context, buckthorndyke.TicketRequest) (buckthorndyke.Ticket, error) {
			return nil, buckthorndyke.NewRefusal(buckthorndyke.CodeNotOwner, buckthorndyke.NotRun, "moved")
		}
		f.setFirstIssuer(notOwner)
		f.addFirstIssuer(overloaded)
		f.addFirstIssuer(notOwner)
		assertResponse(t, f.start(t), request, "abcd")
		assertCount(t, f.ticketRequests, 4)
	})
	run(t, "retries do not multiply an overload", func(t *testing.T, f *fixture) {
		f.setIssuers(overloaded)
		f.ticketRequests = make(chan buckthorndyke.TicketRequest, 4096)
		r := f.start(t)
		for range 1000 {
			_, err := read(t.Context(), r, request)
			asserter.Refused(t, err, buckthorndyke.CodeOverloaded, buckthorndyke.NotRun)
		}
		asserter.True(t, len(f.ticketRequests) <= 1000+100+64, "retries exceeded the budget")
		asserter.True(t, len(f.ticketRequests) > 1000+100, "retries did not use the budget")
	})
}

// read sends a request and reads its response to the end.
func read(ctx context.Context, r *router.Router, req buckthorndyke.GenerateRequest) (string, error) {
	stream, err := r.Generate(ctx, req)
	if err != nil {
		return "", err
	}
	var text strings.Builder
	for {
		token, err := stream.Next(ctx)
		if err != nil || token.Last {
			return text.String(), errors.CombineErrors(err, stream.Close())
		}
		text.WriteString(token.Text)
	}
}

// assertResponse checks that the complete response to req is want.
func assertResponse(t *testing.T, r *router.Router, req buckthorndyke.GenerateRequest, want string) {
	t.Helper()
	got, err := read(t.Context(), r, req)
	if err != nil || got != want {
		t.Fatalf("got response %q and error %v, want %q", got, err, want)
	}
	synctest.Wait()
}

// assertCount checks how many calls a fake has recorded.
func assertCount[V any](t *testing.T, records chan V, want int) {
	t.Helper()
	if len(records) != want {
		t.Errorf("got %d records, want %d", len(records), want)
	}
}

// assertRefused checks the code and the verdict of the refusal of req.
func assertRefused(
	t *testing.T, r *router.Router, req buckthorndyke.GenerateRequest, code buckthorndyke.Code, v buckthorndyke.Verdict,
) {
	t.Helper()
	_, err := read(t.Context(), r, req)
	asserter.Refused(t, err, code, v)
	synctest.Wait()
}
