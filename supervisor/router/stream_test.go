package router_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
)

// firstJob makes the engines run the first of their jobs with first, and complete the
// others.
func (f *fixture) firstJob(first jobFunc) {
	f.runJobs(first, func(_ context.Context, job buckthorndyke.Job) (buckthorndyke.TokenStream, error) {
		return remainingTokens(job), nil
	})
}

// runJobs makes the engines run their jobs with the given functions in turn. The last
// one is repeated.
func (f *fixture) runJobs(jobs ...jobFunc) {
	turn := make(chan int, 1)
	turn <- 0
	next := func(ctx context.Context, job buckthorndyke.Job) (buckthorndyke.TokenStream, error) {
		n := <-turn
		turn <- min(n+1, len(jobs)-1)
		return jobs[n](ctx, job)
	}
	f.engineJobs["r1"], f.engineJobs["r2"] = next, next
}

// crashAfter returns a job that crashes its engine after the given number of tokens.
func (f *fixture) crashAfter(tokens int) jobFunc {
	return func(_ context.Context, job buckthorndyke.Job) (buckthorndyke.TokenStream, error) {
		f.incarnation++
		return streamOf(tokenRange(len(job.Resume), max(tokens, len(job.Resume)))...), nil
	}
}

// failAfter returns a job that sends tokens and then fails.
func failAfter(tokens ...buckthorndyke.Token) jobFunc {
	return func(context.Context, buckthorndyke.Job) (buckthorndyke.TokenStream, error) {
		return streamOf(tokens...), nil
	}
}

// hangAfter returns a job that sends tokens and then hangs.
func hangAfter(tokens ...buckthorndyke.Token) jobFunc {
	return func(context.Context, buckthorndyke.Job) (buckthorndyke.TokenStream, error) {
		stream := streamOf(tokens...)
		stream.silent = true
		return stream, nil
	}
}

func TestStream(t *testing.T) {
	run(t, "a response is complete", func(t *testing.T, f *fixture) {
		assertResponse(t, f.start(t), request, "abcd")
		assertCount(t, f.outcomes, 1)
		assertCount(t, f.canceledJobs, 0)
	})
	run(t, "a response that is interrupted is resumed on another runner", func(t *testing.T, f *fixture) {
		f.firstJob(failAfter(tokenRange(0, 2)...))
		assertResponse(t, f.start(t), request, "abcd")
		first, second := <-f.startedJobs, <-f.startedJobs
		asserter.True(t, first.ID != second.ID, "two jobs have the same ID")
		asserter.Equal(t, second.Resume, []string{"a", "b"})
		asserter.Equal(t, second.MaxTokens, first.MaxTokens-2)
		asserter.True(t, !(<-f.ticketRequests).Resumed && (<-f.ticketRequests).Resumed, "only the second ticket request may be marked as resumed")
		assertCount(t, f.canceledJobs, 1)
	})
	run(t, "a response that has begun waits for a slot", func(t *testing.T, f *fixture) {
		f.firstJob(failAfter(tokenRange(0, 2)...))
		f.setFirstIssuer(func(context.Context, buckthorndyke.TicketRequest) (buckthorndyke.Ticket, error) {
			return f.grant(buckthorndyke.TicketRequest{Runner: "r1"}), nil
		})
		full := f.issuers["a"]
		f.setIssuers(func(ctx context.Context, r buckthorndyke.TicketRequest) (buckthorndyke.Ticket, error) {
			if r.Resumed && len(f.ticketRequests) < 5 {
				return nil, buckthorndyke.NewRefusal(buckthorndyke.CodeOverloaded, buckthorndyke.NotRun, "full")
			}
			return full(ctx, r)
		})
		assertResponse(t, f.start(t), request, "abcd")
		assertCount(t, f.ticketRequests, 5)
	})
	run(t, "tokens that the caller already has are skipped", func(t *testing.T, f *fixture) {
		f.runJobs(failAfter(tokenRange(0, 2)...), func(context.Context, buckthorndyke.Job) (buckthorndyke.TokenStream, error) {
			return remainingTokens(buckthorndyke.Job{}), nil
		})
		assertResponse(t, f.start(t), request, "abcd")
	})
	run(t, "a job that starts a different response is abandoned", func(t *testing.T, f *fixture) {
		f.runJobs(failAfter(tokenRange(0, 2)...), failAfter(buckthorndyke.Token{Text: "x"}, buckthorndyke.Token{Index: 1, Text: "y"},
			buckthorndyke.Token{Index: 2, Text: "z"}), func(_ context.Context, job buckthorndyke.Job) (buckthorndyke.TokenStream, error) {
			return remainingTokens(job), nil
		})
		assertResponse(t, f.start(t), request, "abcd")
	})
	run(t, "a response that a runner has mixed with another ends with an error", func(t *testing.T, f *fixture) {
		f.runJobs(failAfter(buckthorndyke.Token{Text: "a"}, buckthorndyke.Token{Index: 1, Text: "x"},
			buckthorndyke.Token{Index: 1, Text: "b"}))
		assertRefused(t, f.start(t), request, buckthorndyke.CodeEngineFailed, buckthorndyke.MayHaveRun)
		assertCount(t, f.startedJobs, 1)
	})
	run(t, "a gap between tokens is not forwarded", func(t *testing.T, f *fixture) {
		f.firstJob(failAfter(append(tokenRange(0, 1), tokenRange(2, 4)...)...))
		assertResponse(t, f.start(t), request, "abcd")
	})
	run(t, "a last token that comes too early is not forwarded", func(t *testing.T, f *fixture) {
		f.firstJob(failAfter(append(tokenRange(0, 2), buckthorndyke.Token{Index: 4, Last: true})...))
		assertResponse(t, f.start(t), request, "abcd")
	})
	run(t, "a missing last token of a complete response is added", func(t *testing.T, f *fixture) {
		f.firstJob(failAfter(tokenRange(0, 4)...))
		req := request
		req.MaxTokens = 4
		assertResponse(t, f.start(t), req, "abcd")
		assertCount(t, f.startedJobs, 1)
	})
	run(t, "a response that no runner can resume ends with an error", func(t *testing.T, f *fixture) {
		f.runJobs(failAfter(tokenRange(0, 2)...), failAfter())
		r, start := f.start(t), f.clock.Now()
		stream, err := r.Generate(t.Context(), request)
		asserter.NoError(t, err)
		for range 2 {
			_, err = stream.Next(t.Context())
			asserter.NoError(t, err)
		}
		_, err = stream.Next(t.Context())
		asserter.Refused(t, err, buckthorndyke.CodeEngineFailed, buckthorndyke.MayHaveRun)
		_, again := stream.Next(t.Context())
		asserter.Equal(t, again.Error(), err.Error())
		assertCount(t, f.startedJobs, 6)
		asserter.True(t, f.clock.Now()-start < 2*buckthorndyke.Second, "the runners were tried until the deadline")
	})
	run(t, "a runner that sends nothing is abandoned", func(t *testing.T, f *fixture) {
		f.firstJob(hangAfter(tokenRange(0, 2)...))
		r, start := f.start(t), f.clock.Now()
		assertResponse(t, r, request, "abcd")
		assertCount(t, f.canceledJobs, 1)
		asserter.True(t, f.clock.Now()-start < 16*buckthorndyke.Second, "the runner was abandoned too late")
	})
	run(t, "a request whose runners send no token is refused at its deadline", func(t *testing.T, f *fixture) {
		f.runJobs(hangAfter())
		r, start := f.start(t), f.clock.Now()
		assertRefused(t, r, request, buckthorndyke.CodeDeadline, buckthorndyke.MayHaveRun)
		asserter.Equal(t, f.clock.Now()-start, 2*buckthorndyke.Second)
		assertCount(t, f.canceledJobs, 1)
	})
	run(t, "a job continues when the owner that issued the ticket dies", func(t *testing.T, f *fixture) {
		f.setIssuers(func(_ context.Context, r buckthorndyke.TicketRequest) (buckthorndyke.Ticket, error) {
			ticket := f.grant(r)
			close(ticket.events)
			return ticket, nil
		})
		assertResponse(t, f.start(t), request, "abcd")
		assertCount(t, f.startedJobs, 1)
	})
	run(t, "the job is canceled when the caller closes the stream", func(t *testing.T, f *fixture) {
		f.runJobs(hangAfter(tokenRange(0, 2)...))
		stream, err := f.start(t).Generate(t.Context(), request)
		asserter.NoError(t, err)
		asserter.NoError(t, stream.Close())
		synctest.Wait()
		asserter.Equal(t, <-f.canceledJobs, (<-f.startedJobs).ID)
		asserter.Equal(t, <-f.outcomes, buckthorndyke.TicketDone)
	})
	run(t, "the ticket is closed when the caller cancels a queued request", func(t *testing.T, f *fixture) {
		f.setIssuers(func(context.Context, buckthorndyke.TicketRequest) (buckthorndyke.Ticket, error) {
			return f.ticket(buckthorndyke.TicketEvent{Kind: buckthorndyke.TicketQueued}), nil
		})
		r := f.start(t)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := r.Generate(ctx, request)
		asserter.Equal(t, buckthorndyke.RefusalOf(err).Code(), buckthorndyke.CodeCallerGone)
		synctest.Wait()
		asserter.Equal(t, <-f.outcomes, buckthorndyke.TicketDone)
	})
}

func TestPreemption(t *testing.T) {
	// revoke grants the ticket and revokes it after a second.
	revoke := func(f *fixture) ticketFunc {
		return func(_ context.Context, r buckthorndyke.TicketRequest) (buckthorndyke.Ticket, error) {
			ticket := f.grant(r)
			time.AfterFunc(time.Second, func() {
				ticket.events <- buckthorndyke.TicketEvent{Kind: buckthorndyke.TicketRevoked}
			})
			return ticket, nil
		}
	}
	run(t, "a job whose ticket is revoked is canceled and resumed", func(t *testing.T, f *fixture) {
		f.setFirstIssuer(revoke(f))
		f.firstJob(hangAfter(tokenRange(0, 2)...))
		assertResponse(t, f.start(t), request, "abcd")
		asserter.Equal(t, <-f.canceledJobs, (<-f.startedJobs).ID)
		asserter.Equal(t, (<-f.startedJobs).Resume, []string{"a", "b"})
		asserter.Equal(t, <-f.outcomes, buckthorndyke.TicketDone)
	})
	run(t, "a revoked job that gets no other slot ends with an error", func(t *testing.T, f *fixture) {
		f.setIssuers(func(context.Context, buckthorndyke.TicketRequest) (buckthorndyke.Ticket, error) {
			return f.ticket(buckthorndyke.TicketEvent{Kind: buckthorndyke.TicketQueued}), nil
		})
		f.addFirstIssuer(revoke(f))
		f.firstJob(hangAfter(tokenRange(0, 2)...))
		assertRefused(t, f.start(t), request, buckthorndyke.CodePreempted, buckthorndyke.MayHaveRun)
	})
}

func TestCrash(t *testing.T) {
	run(t, "a request that crashes a runner while running alone is quarantined", func(t *testing.T, f *fixture) {
		f.runJobs(f.crashAfter(0))
		r := f.start(t)
		assertRefused(t, r, request, buckthorndyke.CodeCrashSuspect, buckthorndyke.MayHaveRun)
		asserter.True(t, !(<-f.ticketRequests).Suspect && (<-f.ticketRequests).Suspect, "the request did not run alone after a crash")
		assertCount(t, f.startedJobs, 2)
		asserter.Equal(t, <-f.outcomes, buckthorndyke.TicketCrashed)
		change, _ := (<-f.changes).(buckthorndyke.QuarantineChange)
		asserter.Equal(t, change.Crashes, 2)
		assertRefused(t, r, request, buckthorndyke.CodeQuarantined, buckthorndyke.NotRun)
		assertCount(t, f.startedJobs, 2)
	})
	run(t, "a request that is quarantined elsewhere is refused", func(t *testing.T, f *fixture) {
		f.runJobs(f.crashAfter(0))
		assertRefused(t, f.start(t), request, buckthorndyke.CodeCrashSuspect, buckthorndyke.MayHaveRun)
		change, _ := (<-f.changes).(buckthorndyke.QuarantineChange)
		other := newFixture()
		other.state = other.state.WithQuarantine(buckthorndyke.Quarantine{Fingerprint: change.Fingerprint})
		assertRefused(t, other.start(t), request, buckthorndyke.CodeQuarantined, buckthorndyke.NotRun)
		assertCount(t, other.ticketRequests, 0)
	})
	run(t, "the quarantine is recorded once the log is back", func(t *testing.T, f *fixture) {
		f.runJobs(f.crashAfter(0))
		f.logDown = true
		r := f.start(t)
		assertRefused(t, r, request, buckthorndyke.CodeCrashSuspect, buckthorndyke.MayHaveRun)
		assertRefused(t, r, request, buckthorndyke.CodeQuarantined, buckthorndyke.NotRun)
		assertCount(t, f.changes, 0)
		f.logUp <- struct{}{}
		time.Sleep(time.Minute)
		assertCount(t, f.changes, 1)
	})
	run(t, "another request in flight is resumed and not quarantined", func(t *testing.T, f *fixture) {
		f.firstJob(f.crashAfter(2))
		r := f.start(t)
		assertResponse(t, r, request, "abcd")
		f.firstJob(f.crashAfter(2))
		assertResponse(t, r, request, "abcd")
		asserter.True(t, !(<-f.ticketRequests).Suspect && (<-f.ticketRequests).Suspect && !(<-f.ticketRequests).Suspect,
			"the request is suspected after it ran alone to completion")
		assertCount(t, f.changes, 0)
	})
	run(t, "a broken connection does not count as a crash", func(t *testing.T, f *fixture) {
		f.runJobs(f.crashAfter(1), failAfter(tokenRange(1, 2)...), failAfter(tokenRange(2, 3)...),
			func(_ context.Context, job buckthorndyke.Job) (buckthorndyke.TokenStream, error) {
				return remainingTokens(job), nil
			})
		assertResponse(t, f.start(t), request, "abcd")
		assertCount(t, f.changes, 0)
	})
}
