package dispatcher_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/supervisor/relayer/dispatcher"
)

const (
	// drainEnd is when the VM of these tests ends the requests in progress.
	drainEnd = 7 * buckthorndyke.Second
	// estimateUntil is until when a request may arrive that is served because of an estimate.
	estimateUntil = 2600 * buckthorndyke.Millisecond
)

// drainSchedule is the schedule of the VM of these tests.
var drainSchedule = dispatcher.DrainSchedule{End: drainEnd, EstimateUntil: estimateUntil, WaitUntil: drainEnd / 2}

// withDrain runs test with a dispatcher whose unsafe route has a timeout of a minute.
func withDrain(t *testing.T, name string, test func(t *testing.T, s *fixture)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		withFixture(t, func(s *fixture) {
			s.setTimeout(buckthorndyke.Minute)
			test(t, s)
		})
	})
}

// serve sends a request that takes the given time, and returns its result.
func (s *fixture) serve(took buckthorndyke.Millis) error {
	return s.serveArrived(s.clock.Now(), took)
}

// serveArrived is like serve for a request that arrived at an earlier instant.
func (s *fixture) serveArrived(arrived, took buckthorndyke.Millis) error {
	s.pool.setResponses(scriptedResponse{body: "well", delay: took})
	r := request("/unsafe/x")
	r.Deadline = buckthorndyke.Minute
	_, err := s.relayAt(arrived, r)
	return err
}

// startDrain begins the drain.
func (s *fixture) startDrain() {
	s.t.Helper()
	asserter.NoError(s.t, s.dispatcher.Drain(s.ctx, drainSchedule))
	synctest.Wait()
}

// TestDrain guards against requests that come late in a planned stop, which were sent to
// servers and then cut without a response.
func TestDrain(t *testing.T) {
	withDrain(t, "a request is served while requests like it take less than the time left", func(t *testing.T, s *fixture) {
		asserter.NoError(t, s.serve(2*buckthorndyke.Second))
		s.startDrain()
		arrived := s.clock.Now() + estimateUntil
		time.Sleep(4 * time.Second)
		asserter.NoError(t, s.serveArrived(arrived, 2*buckthorndyke.Second))
	})
	withDrain(t, "a request that comes late is refused although requests like it take less than the time left", func(t *testing.T, s *fixture) {
		asserter.NoError(t, s.serve(2*buckthorndyke.Second))
		s.startDrain()
		time.Sleep((estimateUntil + 1).Duration())
		began := s.clock.Now()
		asserter.Refused(t, s.serve(0), buckthorndyke.CodeDraining, buckthorndyke.NotRun)
		asserter.Equal(t, s.clock.Now(), began)
		asserter.Equal(t, len(s.pool.sent()), 1)
	})
	withDrain(t, "a request that comes late is served if its own deadline ends in time", func(t *testing.T, s *fixture) {
		s.startDrain()
		time.Sleep((drainEnd - buckthorndyke.Second).Duration())
		r := request("/unsafe/x")
		r.Deadline = buckthorndyke.Second
		_, err := s.relay(r)
		asserter.NoError(t, err)
	})
	withDrain(t, "a request that would take longer is refused at once, and no server gets it", func(t *testing.T, s *fixture) {
		asserter.NoError(t, s.serve(2*buckthorndyke.Second))
		s.startDrain()
		arrived := s.clock.Now() + estimateUntil
		time.Sleep(5 * time.Second)
		began := s.clock.Now()
		asserter.Refused(t, s.serveArrived(arrived, 0), buckthorndyke.CodeDraining, buckthorndyke.NotRun)
		asserter.Equal(t, s.clock.Now(), began)
		asserter.Equal(t, len(s.pool.sent()), 1)
	})
	withDrain(t, "a request of unknown duration is refused", func(t *testing.T, s *fixture) {
		s.startDrain()
		asserter.Refused(t, s.serve(0), buckthorndyke.CodeDraining, buckthorndyke.NotRun)
	})
	withDrain(t, "a request that its own deadline ends in time is served", func(t *testing.T, s *fixture) {
		s.startDrain()
		_, err := s.relay(request("/unsafe/x"))
		asserter.NoError(t, err)
	})
	withDrain(t, "a request that waits for a server is refused once it would take too long", func(t *testing.T, s *fixture) {
		asserter.NoError(t, s.serve(4*buckthorndyke.Second))
		s.list()
		s.startDrain()
		began := s.clock.Now()
		asserter.Refused(t, s.serve(0), buckthorndyke.CodeDraining, buckthorndyke.NotRun)
		asserter.True(t, s.clock.Now()-began <= 3*buckthorndyke.Second, "the request waited too long")
	})
	withDrain(t, "a request in progress at the end gets a response that says it may have run", func(t *testing.T, s *fixture) {
		ctx, end := context.WithCancelCause(s.ctx)
		time.AfterFunc(time.Second, func() { end(buckthorndyke.ErrStopping) })
		s.pool.setResponses(scriptedResponse{hang: true})
		_, err := s.relayFor(ctx, request("/unsafe/x"))
		asserter.Refused(t, err, buckthorndyke.CodeDraining, buckthorndyke.MayHaveRun)
	})
	withDrain(t, "a request without a server at the end is refused as not run", func(t *testing.T, s *fixture) {
		s.list()
		ctx, end := context.WithCancelCause(s.ctx)
		time.AfterFunc(time.Second, func() { end(buckthorndyke.ErrStopping) })
		r := request("/unsafe/x")
		r.Deadline = buckthorndyke.Minute
		_, err := s.relayFor(ctx, r)
		asserter.Refused(t, err, buckthorndyke.CodeDraining, buckthorndyke.NotRun)
	})
	withDrain(t, "a request whose body arrives after its deadline is not sent", func(t *testing.T, s *fixture) {
		r := request("/unsafe/x")
		r.Deadline = buckthorndyke.Second
		_, err := s.relayAt(s.clock.Now()-2*buckthorndyke.Second, r)
		asserter.Refused(t, err, buckthorndyke.CodeDeadline, buckthorndyke.NotRun)
		asserter.Equal(t, len(s.pool.sent()), 0)
	})
}
