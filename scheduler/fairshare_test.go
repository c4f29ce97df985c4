package scheduler_test

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/scheduler"
)

func TestFairShareScheduler(t *testing.T) {
	const urgent, ordinary, free = buckthorndyke.RankUrgent, buckthorndyke.RankOrdinary, buckthorndyke.RankFree
	t.Run("callers of one rank take turns", func(t *testing.T) {
		f := newFixture(t, 0)
		for range 3 {
			f.offer(buckthorndyke.Waiter{Caller: "greedy", Rank: ordinary})
		}
		f.offer(buckthorndyke.Waiter{Caller: "modest", Rank: ordinary})
		asserter.Equal(t, f.decide(2), []buckthorndyke.TicketID{1, 4})
	})
	t.Run("a free request is revoked for a paid one", func(t *testing.T) {
		f := newFixture(t, 2)
		f.offer(buckthorndyke.Waiter{Rank: free})
		f.offer(buckthorndyke.Waiter{Rank: free})
		f.decide(2)
		f.offer(buckthorndyke.Waiter{Rank: ordinary})
		asserter.Equal(t, len(f.decide(2)), 0)
		asserter.Equal(t, f.revoked, []buckthorndyke.TicketID{2})
		f.decide(2)
		asserter.Equal(t, f.revoked, nil)
		f.policy = f.policy.Without(2, f.now)
		asserter.Equal(t, f.decide(2), []buckthorndyke.TicketID{3})
	})
	t.Run("a free request is not revoked for one that waits for a load", func(t *testing.T) {
		f := newFixture(t, 1)
		f.offer(buckthorndyke.Waiter{Rank: free})
		f.decide(1)
		f.offer(buckthorndyke.Waiter{Model: "cold", Rank: urgent})
		f.decide(1)
		asserter.Equal(t, f.revoked, nil)
	})
	t.Run("requests for loaded models start before those that wait for a load", func(t *testing.T) {
		f := newFixture(t, 1)
		f.offer(buckthorndyke.Waiter{Model: "cold", Rank: urgent})
		f.offer(buckthorndyke.Waiter{Rank: ordinary})
		asserter.Equal(t, f.decide(1), []buckthorndyke.TicketID{2})
		f.cold = ""
		f.policy = f.policy.Without(2, f.now)
		asserter.Equal(t, f.decide(1), []buckthorndyke.TicketID{1})
	})
	t.Run("a suspect only runs alone", func(t *testing.T) {
		f := newFixture(t, 2)
		f.offer(buckthorndyke.Waiter{Rank: ordinary})
		f.decide(2)
		f.offer(buckthorndyke.Waiter{Rank: ordinary, Suspect: true})
		asserter.Equal(t, len(f.decide(2)), 0)
		f.offer(buckthorndyke.Waiter{Rank: ordinary})
		asserter.Equal(t, len(f.decide(2)), 0)
		f.policy = f.policy.Without(1, f.now)
		asserter.Equal(t, f.decide(2), []buckthorndyke.TicketID{2})
		asserter.Equal(t, len(f.decide(2)), 0)
		f.policy = f.policy.Without(2, f.now)
		asserter.Equal(t, f.decide(2), []buckthorndyke.TicketID{3})
	})
	t.Run("a waiting request is refused before its deadline", func(t *testing.T) {
		f := newFixture(t, 0)
		f.offer(buckthorndyke.Waiter{Due: f.now + buckthorndyke.Second, Rank: urgent})
		due, ok := f.policy.NextExpiry()
		asserter.True(t, ok && due < f.now+buckthorndyke.Second, "the request expires too late")
		f.now = due
		f.decide(0)
		asserter.Equal(t, f.expired, []buckthorndyke.TicketID{1})
		asserter.Equal(t, len(f.policy.Waiting()), 0)
	})
	t.Run("a request whose load takes too long is refused at once", func(t *testing.T) {
		f := newFixture(t, 1)
		f.load = 3 * buckthorndyke.Second
		err := f.tryOffer(buckthorndyke.Waiter{Due: f.now + buckthorndyke.Second, Model: "cold", Rank: urgent})
		asserter.Refused(t, err, buckthorndyke.CodeOverloaded, buckthorndyke.NotRun)
		asserter.True(t, buckthorndyke.RefusalOf(err).RetryAfter() > buckthorndyke.Second, "the retry time is too short")
	})
	t.Run("the queue of a rank is limited", func(t *testing.T) {
		f := newFixture(t, 0)
		for range buckthorndyke.DefaultRankRule(free).QueueLimit {
			f.offer(buckthorndyke.Waiter{Rank: free})
		}
		asserter.Refused(t, f.tryOffer(buckthorndyke.Waiter{Rank: free}), buckthorndyke.CodeOverloaded, buckthorndyke.NotRun)
		asserter.NoError(t, f.tryOffer(buckthorndyke.Waiter{Rank: urgent}))
	})
	t.Run("each paid rank gets its share of a single slot", func(t *testing.T) {
		f := newFixture(t, 1)
		var got [buckthorndyke.RankCount]int
		for range 50 {
			f.offer(buckthorndyke.Waiter{Rank: urgent})
			f.offer(buckthorndyke.Waiter{Rank: ordinary})
		}
		for range 50 {
			for _, id := range f.decide(1) {
				got[(id-1)%2]++
				f.policy = f.policy.Without(id, f.now)
			}
		}
		asserter.Equal(t, got, [...]int{30, 20, 0})
	})
}

// fixture enqueues requests at a scheduler. The model "cold" is not loaded.
type fixture struct {
	cold             buckthorndyke.ModelID
	expired, revoked []buckthorndyke.TicketID
	last             buckthorndyke.TicketID
	load             buckthorndyke.Millis
	now              buckthorndyke.Millis
	policy           buckthorndyke.AdmissionPolicy
	slots            int
	t                *testing.T
}

func newFixture(t *testing.T, slots int) *fixture {
	return &fixture{cold: "cold", now: buckthorndyke.Hour, policy: scheduler.NewFairShareScheduler(), slots: slots, t: t}
}

// decide returns the requests that are granted with the given number of slots.
func (f *fixture) decide(slots int) []buckthorndyke.TicketID {
	f.slots = slots
	var decision buckthorndyke.AdmissionDecision
	f.policy, decision = f.policy.Decide(f.view())
	f.expired, f.revoked = ids(decision.Expired), ids(decision.Revoked)
	return ids(decision.Granted)
}

func (f *fixture) offer(w buckthorndyke.Waiter) {
	f.t.Helper()
	asserter.NoError(f.t, f.tryOffer(w))
}

func (f *fixture) tryOffer(w buckthorndyke.Waiter) error {
	f.last++
	w.Arrived, w.ID = f.now, f.last
	if w.Due == 0 {
		w.Due = f.now + buckthorndyke.Minute
	}
	next, err := f.policy.Enqueue(f.view(), w)
	if err == nil {
		f.policy = next
	}
	return err
}

func (f *fixture) view() buckthorndyke.AdmissionView {
	v := newView(f.now, f.slots)
	v.Loaded = func(m buckthorndyke.ModelID) bool { return m != f.cold }
	v.LoadWait = func(buckthorndyke.ModelID) buckthorndyke.Millis { return f.load }
	return v
}

// newView returns the view of a runner with all models loaded.
func newView(now buckthorndyke.Millis, slots int) buckthorndyke.AdmissionView {
	none := func(buckthorndyke.ModelID) bool { return false }
	return buckthorndyke.AdmissionView{
		Loaded:   func(buckthorndyke.ModelID) bool { return true },
		LoadWait: func(buckthorndyke.ModelID) buckthorndyke.Millis { return 0 },
		Now:      now, PreemptFree: none, Slots: slots, StartsPaused: none,
	}
}

func ids(waiters []buckthorndyke.Waiter) []buckthorndyke.TicketID {
	var ids []buckthorndyke.TicketID
	for _, w := range waiters {
		ids = append(ids, w.ID)
	}
	return ids
}
