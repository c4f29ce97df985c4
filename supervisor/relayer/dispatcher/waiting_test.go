package dispatcher

import (
	"testing"
	"time"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/mailer"
	"github.com/buckthorndyke/buckthorndyke/selector"
)

// fixedClock is a clock that the test sets. It implements buckthorndyke.Clock.
type fixedClock struct {
	now buckthorndyke.Millis
}

// After implements buckthorndyke.Clock.
func (c *fixedClock) After(buckthorndyke.Millis) <-chan time.Time { return nil }

// Now implements buckthorndyke.Clock.
func (c *fixedClock) Now() buckthorndyke.Millis { return c.now }

// waitingTask returns a task in which a request waits until 8,000 for a service without
// servers.
func waitingTask(t *testing.T) (*task, *fixedClock) {
	t.Helper()
	clock := &fixedClock{now: 1000}
	d := New(nil, nil, nil, clock)
	work := newTask(t.Context(), d)
	work.enqueue(admissionRequested{
		job:    &job{Dispatcher: d, deadline: 9000, request: buckthorndyke.RelayRequest{Arrived: 1000}},
		limits: waitLimits{plain: 8000},
		query:  selector.Query{Key: buckthorndyke.ModelKey{Service: "desk"}},
		reply:  mailer.NewReply[admission](),
	})
	return work, clock
}

// TestDemandPriority guards against a leader that loads models for requests that are not
// urgent first, because it does not know which are.
func TestDemandPriority(t *testing.T) {
	work, _ := waitingTask(t)
	for _, priority := range []int{2, 1, 3} {
		work.enqueue(admissionRequested{
			job:    &job{Dispatcher: work.Dispatcher, deadline: 9000, priority: priority},
			limits: waitLimits{leaderless: 8000, loading: 8000},
			query:  selector.Query{Key: buckthorndyke.ModelKey{Model: "gym", Service: "engines"}},
			reply:  mailer.NewReply[admission](),
		})
	}
	report := work.demand(false)
	asserter.Equal(t, report.Entries, []buckthorndyke.DemandEntry{
		{Key: buckthorndyke.ModelKey{Model: "gym", Service: "engines"}, Priority: 1, TimeLeft: 7000, Waiting: 3},
	})
}

// TestNextWake guards against a task that is busy with messages and therefore never offers
// the waiting requests the servers that have become available with time alone.
func TestNextWake(t *testing.T) {
	t.Run("messages do not delay the next offer", func(t *testing.T) {
		work, clock := waitingTask(t)
		asserter.Equal(t, work.nextWake(), maxWake)
		clock.now += 900
		work.handleDue()
		asserter.Equal(t, work.nextWake(), 100)
		clock.now += 100
		work.handleDue()
		asserter.Equal(t, work.nextWake(), maxWake)
	})
	t.Run("an offer whose instant has passed is made up for", func(t *testing.T) {
		work, clock := waitingTask(t)
		work.view = work.view.WithPause(buckthorndyke.Lifetime{Server: "a"}, clock.now+120, clock.now)
		asserter.Equal(t, work.nextWake(), 120)
		clock.now += 120
		asserter.Equal(t, work.nextWake(), 1)
		work.handleDue()
		asserter.Equal(t, work.nextWake(), maxWake)
	})
	t.Run("messages do not delay the decision on a request that waits for a grant", func(t *testing.T) {
		work, clock := waitingTask(t)
		work.hasLeader = true
		work.applyCallers(buckthorndyke.NewCallers().WithCaller(buckthorndyke.Caller{
			Allotment: buckthorndyke.Allotment{Burst: 100, PerSecond: 100, Unit: buckthorndyke.AllotmentRequests}, ID: "limited",
		}))
		charged := work.charge(admissionRequested{
			job: &job{
				Dispatcher: work.Dispatcher, deadline: 9000, request: buckthorndyke.RelayRequest{Arrived: 1000, Caller: "limited"},
			},
			limits: waitLimits{loading: 8000, plain: 2000},
			query:  selector.Query{Key: buckthorndyke.ModelKey{Service: "desk"}},
			reply:  mailer.NewReply[admission](),
		})
		asserter.True(t, !charged, "a request was admitted without a grant")
		clock.now = 2000
		work.handleDue()
		asserter.Equal(t, work.allotments.waits, 0)
	})
	t.Run("a request is refused at the instant until which it may wait", func(t *testing.T) {
		work, clock := waitingTask(t)
		clock.now = 7999
		work.handleDue()
		asserter.Equal(t, work.waiting.queue.Len(), 1)
		asserter.Equal(t, work.nextWake(), 1)
		clock.now = 8000
		work.handleDue()
		asserter.Equal(t, work.waiting.queue.Len(), 0)
		asserter.Equal(t, len(work.waiting.requests)+len(work.waiting.tickets), 0)
	})
}
