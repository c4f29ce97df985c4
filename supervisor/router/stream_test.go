package router_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
)

// firstJob makes all engines run their first job by first and the others whole.
func (f *fixture) firstJob(first jobFunc) {
	f.runJobs(first, func(_ context.Context, job buckthorndyke.Job) (buckthorndyke.TokenStream, error) {
		return whole(job), nil
	})
}

// runJobs makes all engines together run the jobs in turn. The last is repeated.
func (f *fixture) runJobs(jobs ...jobFunc) {
	turn := make(chan int, 1)
	turn <- 0
	next := func(ctx context.Context, job buckthorndyke.Job) (buckthorndyke.TokenStream, error) {
		n := <-turn
		turn <- min(n+1, len(jobs)-1)
		return jobs[n](ctx, job)
	}
	f.jobs["r1"], f.jobs["r2"] = next, next
}

// crash returns a job that crashes its engine after the given number of tokens.
func (f *fixture) crash(tokens int) jobFunc {
	return func(_ context.Context, job buckthorndyke.Job) (buckthorndyke.TokenStream, error) {
		f.life++
		return streamOf(part(len(job.Resume), max(tokens, len(job.Resume)))...), nil
	}
}

// yield returns a job that yields tokens and then breaks off.
func yield(tokens ...buckthorndyke.Token) jobFunc {
	return func(context.Context, buckthorndyke.Job) (buckthorndyke.TokenStream, error) {
		return streamOf(tokens...), nil
	}
}

// hang returns a job that yields tokens and then stays silent.
func hang(tokens ...buckthorndyke.Token) jobFunc {
	return func(context.Context, buckthorndyke.Job) (buckthorndyke.TokenStream, error) {
		stream := streamOf(tokens...)
		stream.silent = true
		return stream, nil
	}
}

func TestStream(t *testing.T) {
	run(t, "an answer is whole", func(t *testing.T, f *fixture) {
		assertAnswer(t, f.start(t), request, "abcd")
		assertCount(t, f.closed, 1)
		assertCount(t, f.cancelled, 0)
	})
	run(t, "an answer that breaks off is carried on elsewhere", func(t *testing.T, f *fixture) {
		f.firstJob(yield(part(0, 2)...))
		assertAnswer(t, f.start(t), request, "abcd")
		first, second := <-f.started, <-f.started
		asserter.True(t, first.ID != second.ID, "two jobs have one id")
		asserter.Equal(t, second.Resume, []string{"a", "b"})
		asserter.Equal(t, second.MaxTokens, first.MaxTokens-2)
		asserter.True(t, !(<-f.asked).Resumed && (<-f.asked).Resumed, "the second ticket is not that of a resumed request")
		assertCount(t, f.cancelled, 1)
	})
	run(t, "an answer that has begun waits for a place", func(t *testing.T, f *fixture) {
		f.firstJob(yield(part(0, 2)...))
		f.deskFirst(func(context.Context, buckthorndyke.TicketRequest) (buckthorndyke.Ticket, error) {
			return f.grant(buckthorndyke.TicketRequest{Runner: "r1"}), nil
		})
		full := f.desks["a"]
		f.deskAll(func(ctx context.Context, r buckthorndyke.TicketRequest) (buckthorndyke.Ticket, error) {
			if r.Resumed && len(f.asked) < 5 {
				return nil, buckthorndyke.NewRefusal(buckthorndyke.CodeOverloaded, buckthorndyke.NotRun, "full")
			}
			return full(ctx, r)
		})
		assertAnswer(t, f.start(t), request, "abcd")
		assertCount(t, f.asked, 5)
	})
	run(t, "tokens that the caller has are left out", func(t *testing.T, f *fixture) {
		f.runJobs(yield(part(0, 2)...), func(context.Context, buckthorndyke.Job) (buckthorndyke.TokenStream, error) {
			return whole(buckthorndyke.Job{}), nil
		})
		assertAnswer(t, f.start(t), request, "abcd")
	})
	run(t, "a runner that begins another answer is left", func(t *testing.T, f *fixture) {
		f.runJobs(yield(part(0, 2)...), yield(buckthorndyke.Token{Text: "x"}, buckthorndyke.Token{Index: 1, Text: "y"},
			buckthorndyke.Token{Index: 2, Text: "z"}), func(_ context.Context, job buckthorndyke.Job) (buckthorndyke.TokenStream, error) {
			return whole(job), nil
		})
		assertAnswer(t, f.start(t), request, "abcd")
	})
	run(t, "an answer that a runner has mixed with another ends with an error", func(t *testing.T, f *fixture) {
		f.runJobs(yield(buckthorndyke.Token{Text: "a"}, buckthorndyke.Token{Index: 1, Text: "x"},
			buckthorndyke.Token{Index: 1, Text: "b"}))
		assertRefused(t, f.start(t), request, buckthorndyke.CodeEngineFailed, buckthorndyke.MayHaveRun)
		assertCount(t, f.started, 1)
	})
	run(t, "a gap is not passed on", func(t *testing.T, f *fixture) {
		f.firstJob(yield(append(part(0, 1), part(2, 4)...)...))
		assertAnswer(t, f.start(t), request, "abcd")
	})
	run(t, "an end mark that comes too early is not passed on", func(t *testing.T, f *fixture) {
		f.firstJob(yield(append(part(0, 2), buckthorndyke.Token{Index: 4, Last: true})...))
		assertAnswer(t, f.start(t), request, "abcd")
	})
	run(t, "a lost end mark of a whole answer is made up for", func(t *testing.T, f *fixture) {
		f.firstJob(yield(part(0, 4)...))
		ask := request
		ask.MaxTokens = 4
		assertAnswer(t, f.start(t), ask, "abcd")
		assertCount(t, f.started, 1)
	})
	run(t, "an answer that no runner carries on ends with an error", func(t *testing.T, f *fixture) {
		f.runJobs(yield(part(0, 2)...), yield())
		r, asked := f.start(t), f.clock.Now()
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
		assertCount(t, f.started, 6)
		asserter.True(t, f.clock.Now()-asked < 2*buckthorndyke.Second, "the runners were tried until the deadline")
	})
	run(t, "a silent runner is left", func(t *testing.T, f *fixture) {
		f.firstJob(hang(part(0, 2)...))
		r, asked := f.start(t), f.clock.Now()
		assertAnswer(t, r, request, "abcd")
		assertCount(t, f.cancelled, 1)
		asserter.True(t, f.clock.Now()-asked < 16*buckthorndyke.Second, "the runner was left too late")
	})
	run(t, "a runner that is silent from the start is refused in time", func(t *testing.T, f *fixture) {
		f.runJobs(hang())
		r, asked := f.start(t), f.clock.Now()
		assertRefused(t, r, request, buckthorndyke.CodeDeadline, buckthorndyke.MayHaveRun)
		asserter.Equal(t, f.clock.Now()-asked, 2*buckthorndyke.Second)
		assertCount(t, f.cancelled, 1)
	})
	run(t, "a job goes on when the ticket's owner dies", func(t *testing.T, f *fixture) {
		f.deskAll(func(_ context.Context, r buckthorndyke.TicketRequest) (buckthorndyke.Ticket, error) {
			ticket := f.grant(r)
			close(ticket.events)
			return ticket, nil
		})
		assertAnswer(t, f.start(t), request, "abcd")
		assertCount(t, f.started, 1)
	})
	run(t, "the job is cancelled when the caller leaves", func(t *testing.T, f *fixture) {
		f.runJobs(hang(part(0, 2)...))
		stream, err := f.start(t).Generate(t.Context(), request)
		asserter.NoError(t, err)
		asserter.NoError(t, stream.Close())
		synctest.Wait()
		asserter.Equal(t, <-f.cancelled, (<-f.started).ID)
		asserter.Equal(t, <-f.closed, buckthorndyke.TicketDone)
	})
	run(t, "the ticket is given back when the caller leaves the queue", func(t *testing.T, f *fixture) {
		f.deskAll(func(context.Context, buckthorndyke.TicketRequest) (buckthorndyke.Ticket, error) {
			return f.ticket(buckthorndyke.TicketEvent{Kind: buckthorndyke.TicketQueued}), nil
		})
		r := f.start(t)
		ctx, leave := context.WithTimeout(t.Context(), time.Second)
		defer leave()
		_, err := r.Generate(ctx, request)
		asserter.Equal(t, buckthorndyke.RefusalOf(err).Code(), buckthorndyke.CodeCallerGone)
		synctest.Wait()
		asserter.Equal(t, <-f.closed, buckthorndyke.TicketDone)
	})
}

func TestPreemption(t *testing.T) {
	// revoke grants the first ticket and takes it back after a while.
	revoke := func(f *fixture) deskFunc {
		return func(_ context.Context, r buckthorndyke.TicketRequest) (buckthorndyke.Ticket, error) {
			ticket := f.grant(r)
			time.AfterFunc(time.Second, func() {
				ticket.events <- buckthorndyke.TicketEvent{Kind: buckthorndyke.TicketRevoked}
			})
			return ticket, nil
		}
	}
	run(t, "a revoked job is cancelled and carried on", func(t *testing.T, f *fixture) {
		f.deskFirst(revoke(f))
		f.firstJob(hang(part(0, 2)...))
		assertAnswer(t, f.start(t), request, "abcd")
		asserter.Equal(t, <-f.cancelled, (<-f.started).ID)
		asserter.Equal(t, (<-f.started).Resume, []string{"a", "b"})
		asserter.Equal(t, <-f.closed, buckthorndyke.TicketDone)
	})
	run(t, "a revoked job that gets no other place ends with an error", func(t *testing.T, f *fixture) {
		f.deskAll(func(context.Context, buckthorndyke.TicketRequest) (buckthorndyke.Ticket, error) {
			return f.ticket(buckthorndyke.TicketEvent{Kind: buckthorndyke.TicketQueued}), nil
		})
		f.deskFirstThen(revoke(f))
		f.firstJob(hang(part(0, 2)...))
		assertRefused(t, f.start(t), request, buckthorndyke.CodePreempted, buckthorndyke.MayHaveRun)
	})
}

func TestCrash(t *testing.T) {
	run(t, "a request that crashes its runner alone is stopped for good", func(t *testing.T, f *fixture) {
		f.runJobs(f.crash(0))
		r := f.start(t)
		assertRefused(t, r, request, buckthorndyke.CodeCrashSuspect, buckthorndyke.MayHaveRun)
		asserter.True(t, !(<-f.asked).Suspect && (<-f.asked).Suspect, "the request did not run alone after a crash")
		assertCount(t, f.started, 2)
		asserter.Equal(t, <-f.closed, buckthorndyke.TicketCrashed)
		change, _ := (<-f.changes).(buckthorndyke.QuarantineChange)
		asserter.Equal(t, change.Crashes, 2)
		assertRefused(t, r, request, buckthorndyke.CodeQuarantined, buckthorndyke.NotRun)
		assertCount(t, f.started, 2)
	})
	run(t, "a request that is quarantined elsewhere is refused", func(t *testing.T, f *fixture) {
		f.runJobs(f.crash(0))
		assertRefused(t, f.start(t), request, buckthorndyke.CodeCrashSuspect, buckthorndyke.MayHaveRun)
		change, _ := (<-f.changes).(buckthorndyke.QuarantineChange)
		other := newFixture()
		other.state = other.state.WithQuarantine(buckthorndyke.Quarantine{Fingerprint: change.Fingerprint})
		assertRefused(t, other.start(t), request, buckthorndyke.CodeQuarantined, buckthorndyke.NotRun)
		assertCount(t, other.asked, 0)
	})
	run(t, "the quarantine is recorded once the log is back", func(t *testing.T, f *fixture) {
		f.runJobs(f.crash(0))
		f.logDown = true
		r := f.start(t)
		assertRefused(t, r, request, buckthorndyke.CodeCrashSuspect, buckthorndyke.MayHaveRun)
		assertRefused(t, r, request, buckthorndyke.CodeQuarantined, buckthorndyke.NotRun)
		assertCount(t, f.changes, 0)
		f.logUp <- struct{}{}
		time.Sleep(time.Minute)
		assertCount(t, f.changes, 1)
	})
	run(t, "another request in flight is carried on and not blamed", func(t *testing.T, f *fixture) {
		f.firstJob(f.crash(2))
		r := f.start(t)
		assertAnswer(t, r, request, "abcd")
		f.firstJob(f.crash(2))
		assertAnswer(t, r, request, "abcd")
		asserter.True(t, !(<-f.asked).Suspect && (<-f.asked).Suspect && !(<-f.asked).Suspect,
			"the request is suspected after it ran alone to its end")
		assertCount(t, f.changes, 0)
	})
	run(t, "a broken connection is no crash", func(t *testing.T, f *fixture) {
		f.runJobs(f.crash(1), yield(part(1, 2)...), yield(part(2, 3)...),
			func(_ context.Context, job buckthorndyke.Job) (buckthorndyke.TokenStream, error) {
				return whole(job), nil
			})
		assertAnswer(t, f.start(t), request, "abcd")
		assertCount(t, f.changes, 0)
	})
}
