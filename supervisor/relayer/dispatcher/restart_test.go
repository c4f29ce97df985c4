package dispatcher_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/dispatcher"
	"github.com/buckthorndyke/buckthorndyke/timekeeper"
)

// failingMeter is a meter whose use makes the task panic once after each value in failures.
type failingMeter struct {
	failures chan buckthorndyke.Metric
}

// Count implements buckthorndyke.Meter.
func (m failingMeter) Count(metric buckthorndyke.Metric, _ int64) { m.use(metric) }

// Observe implements buckthorndyke.Meter.
func (m failingMeter) Observe(metric buckthorndyke.Metric, _ buckthorndyke.Millis) { m.use(metric) }

// Set implements buckthorndyke.Meter.
func (m failingMeter) Set(metric buckthorndyke.Metric, _ int64) { m.use(metric) }

// use panics if metric, without labels, is the next one that is to fail.
func (m failingMeter) use(metric buckthorndyke.Metric) {
	select {
	case failing := <-m.failures:
		if strings.HasPrefix(string(metric), string(failing)) {
			panic("the test makes the task fail")
		}
		m.failures <- failing
	default:
	}
}

// withFailures runs test with a dispatcher that has a configuration with the callers a and
// limited, of which the latter has an allotment, and no server. Its task is restarted after a
// failure, and fails when it next records the metric that is sent to failures.
func withFailures(t *testing.T, name string, test func(t *testing.T, s *fixture, failures chan<- buckthorndyke.Metric)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			meter := failingMeter{failures: make(chan buckthorndyke.Metric, 1)}
			s := newFailingFixture(ctx, t, meter)
			supervisor := suture.New("test", suture.Spec{EventHook: func(suture.Event) {}})
			for _, task := range []suture.Service{s.lists, s.notices, s.refreshes, s.routings, s.seen, s.dispatcher} {
				supervisor.Add(task)
			}
			supervisor.ServeBackground(ctx)
			go func() { _ = s.pool.serve(ctx) }()
			r := callersRouting(2, "a")
			r.Callers = r.Callers.WithCaller(buckthorndyke.Caller{
				Allotment: buckthorndyke.Allotment{Burst: 1000, PerSecond: 1000, PlainTokens: 200, Unit: buckthorndyke.AllotmentTokens},
				ID:        limited,
				Keys:      []buckthorndyke.KeyDigest{buckthorndyke.DigestKey(limitedKey)},
			})
			s.publish(r)
			s.list()
			test(t, s, meter.failures)
		})
	})
}

// newFailingFixture returns a fixture whose tasks are not running.
func newFailingFixture(ctx context.Context, t *testing.T, meter buckthorndyke.Meter) *fixture {
	t.Helper()
	s := &fixture{
		clock: timekeeper.NewRealClock(), ctx: ctx, lists: mailer.NewFeed[buckthorndyke.Backends](),
		notices: mailer.NewFeed[buckthorndyke.SeenVersion](), pool: newFakePool(ctx),
		refreshes: mailer.NewFeed[buckthorndyke.Millis](), routings: mailer.NewFeed[buckthorndyke.Routing](),
		seen: mailer.NewFeed[buckthorndyke.SeenVersion](), t: t,
	}
	s.dispatcher = dispatcher.New(s.pool, s.routings, s.lists, s.clock, dispatcher.WithAllotmentBounds(allotmentBounds),
		dispatcher.WithConfirmations(s.seen, s.notices, s.refreshes), dispatcher.WithMeter(meter))
	return s
}

// fail makes the task fail while it handles a request for the demand, and waits until it has
// been restarted.
func (s *fixture) fail(failures chan<- buckthorndyke.Metric) {
	s.t.Helper()
	failures <- buckthorndyke.MetricWaiting
	_, err := s.dispatcher.Demand(s.ctx, false)
	asserter.Error(s.t, err)
	synctest.Wait()
}

// assertAnswered reports an error unless a request gets a result within its limit.
func assertAnswered(t *testing.T, done <-chan error, limit buckthorndyke.Millis) error {
	t.Helper()
	select {
	case err := <-done:
		return err
	case <-time.After(limit.Duration()):
		t.Fatal("the request has no result")
		return nil
	}
}

// TestRestart guards against requests without an answer after a failure of the task that
// assigns servers: they were unknown to its next run, and waited until their clients left.
func TestRestart(t *testing.T) {
	const limit = 2 * buckthorndyke.Second
	plain := func() buckthorndyke.RelayRequest { return withKey(request("/safe/"), "key-a") }
	withFailures(t, "a request that waits for a server is served by the next run", func(t *testing.T, s *fixture, failures chan<- buckthorndyke.Metric) {
		done := s.relayLater(plain())
		s.fail(failures)
		s.list(server("a"))
		asserter.NoError(t, assertAnswered(t, done, limit))
		asserter.Equal(t, len(s.pool.sent()), 1)
	})
	withFailures(t, "a request that waits for a grant is served by the next run", func(t *testing.T, s *fixture, failures chan<- buckthorndyke.Metric) {
		s.list(server("a"))
		done := s.relayLater(limitedRequest())
		s.fail(failures)
		s.grant(buckthorndyke.AllotmentGrant{Limit: 500})
		asserter.NoError(t, assertAnswered(t, done, limit))
	})
	withFailures(t, "a request that waits for a confirmation is refused", func(t *testing.T, s *fixture, failures chan<- buckthorndyke.Metric) {
		done := s.relayLater(withKey(request("/safe/"), "key-b"))
		s.fail(failures)
		asserter.Refused(t, assertAnswered(t, done, limit), notReady, buckthorndyke.NotRun)
	})
	withFailures(t, "the request that the task fails on is refused", func(t *testing.T, s *fixture, failures chan<- buckthorndyke.Metric) {
		failures <- buckthorndyke.MetricAllotmentRequested
		done := s.relayLater(limitedRequest())
		asserter.Refused(t, assertAnswered(t, done, limit), notReady, buckthorndyke.NotRun)
	})
	withFailures(t, "a request is not assigned a server twice", func(t *testing.T, s *fixture, failures chan<- buckthorndyke.Metric) {
		s.list(server("a"))
		s.pool.setResponses(scriptedResponse{body: "well", delay: buckthorndyke.Second})
		done := s.relayLater(plain())
		s.fail(failures)
		asserter.NoError(t, assertAnswered(t, done, limit))
		asserter.Equal(t, len(s.pool.sent()), 1)
	})
}

// TestStoppedTask guards against requests that wait without a limit for a task that does not
// reply, as during the pause after repeated failures.
func TestStoppedTask(t *testing.T) {
	withStoppedTask := func(name string, test func(t *testing.T, s *fixture, stop func())) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFailingFixture(t.Context(), t, failingMeter{})
				running, stop := context.WithCancel(t.Context())
				go func() { _ = s.lists.Serve(t.Context()) }()
				go func() { _ = s.routings.Serve(t.Context()) }()
				go func() { _ = s.dispatcher.Serve(running) }()
				s.publish(routing())
				test(t, s, stop)
			})
		})
	}
	withStoppedTask("a request that arrives is refused early", func(t *testing.T, s *fixture, stop func()) {
		stop()
		synctest.Wait()
		r := request("/unsafe/")
		r.Deadline = buckthorndyke.Minute
		asserter.Refused(t, assertAnswered(t, s.relayLater(r), 3*buckthorndyke.Second), notReady, buckthorndyke.NotRun)
	})
	for _, deadline := range []buckthorndyke.Millis{100, 2000} {
		withStoppedTask(fmt.Sprintf("a request that waits for a server is refused before its deadline of %d ms", deadline), func(t *testing.T, s *fixture, stop func()) {
			r := request("/unsafe/")
			r.Deadline = deadline
			done := s.relayLater(r)
			stop()
			asserter.Refused(t, assertAnswered(t, done, deadline-1), notReady, buckthorndyke.NotRun)
		})
	}
}

// TestDrainOfFailedTask guards against stops that hang, or that are forgotten, because the task
// that assigns servers fails.
func TestDrainOfFailedTask(t *testing.T) {
	withFailures(t, "the next run knows that the VM is stopping", func(t *testing.T, s *fixture, failures chan<- buckthorndyke.Metric) {
		s.publish(slowCallersRouting())
		s.list(server("a"))
		s.startDrain()
		s.fail(failures)
		r := withKey(request("/unsafe/"), "key-a")
		r.Deadline = buckthorndyke.Minute
		_, err := s.relay(r)
		asserter.Refused(t, err, buckthorndyke.CodeDraining, buckthorndyke.NotRun)
	})
	t.Run("a stop does not wait for a task that receives no messages", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newFailingFixture(t.Context(), t, failingMeter{})
			full, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			for s.dispatcher.HandleNoLeader(full) == nil {
			}
			done := make(chan error, 1)
			go func() { done <- s.dispatcher.Drain(t.Context(), drainSchedule) }()
			asserter.Error(t, assertAnswered(t, done, 2*buckthorndyke.Second))
		})
	})
}
