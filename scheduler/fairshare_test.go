package scheduler_test

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/scheduler"
)

func TestSharedScheduler(t *testing.T) {
	const urgent, ordinary, free = buckthorndyke.RankUrgent, buckthorndyke.RankOrdinary, buckthorndyke.RankFree
	t.Run("callers of one rank take turns", func(t *testing.T) {
		d := newDesk(t, 0)
		for range 3 {
			d.offer(buckthorndyke.Waiter{Caller: "greedy", Rank: ordinary})
		}
		d.offer(buckthorndyke.Waiter{Caller: "modest", Rank: ordinary})
		asserter.Equal(t, d.decide(2), []buckthorndyke.TicketID{1, 4})
	})
	t.Run("a free request makes room for a paid one", func(t *testing.T) {
		d := newDesk(t, 2)
		d.offer(buckthorndyke.Waiter{Rank: free})
		d.offer(buckthorndyke.Waiter{Rank: free})
		d.decide(2)
		d.offer(buckthorndyke.Waiter{Rank: ordinary})
		asserter.Equal(t, len(d.decide(2)), 0)
		asserter.Equal(t, d.revoked, []buckthorndyke.TicketID{2})
		d.decide(2)
		asserter.Equal(t, d.revoked, nil)
		d.policy = d.policy.Without(2, d.now)
		asserter.Equal(t, d.decide(2), []buckthorndyke.TicketID{3})
	})
	t.Run("a free request does not make room for one that waits for a load", func(t *testing.T) {
		d := newDesk(t, 1)
		d.offer(buckthorndyke.Waiter{Rank: free})
		d.decide(1)
		d.offer(buckthorndyke.Waiter{Model: "cold", Rank: urgent})
		d.decide(1)
		asserter.Equal(t, d.revoked, nil)
	})
	t.Run("requests of loaded models pass those that wait for a load", func(t *testing.T) {
		d := newDesk(t, 1)
		d.offer(buckthorndyke.Waiter{Model: "cold", Rank: urgent})
		d.offer(buckthorndyke.Waiter{Rank: ordinary})
		asserter.Equal(t, d.decide(1), []buckthorndyke.TicketID{2})
		d.cold = ""
		d.policy = d.policy.Without(2, d.now)
		asserter.Equal(t, d.decide(1), []buckthorndyke.TicketID{1})
	})
	t.Run("a suspect runs only alone", func(t *testing.T) {
		d := newDesk(t, 2)
		d.offer(buckthorndyke.Waiter{Rank: ordinary})
		d.decide(2)
		d.offer(buckthorndyke.Waiter{Rank: ordinary, Suspect: true})
		asserter.Equal(t, len(d.decide(2)), 0)
		d.offer(buckthorndyke.Waiter{Rank: ordinary})
		asserter.Equal(t, len(d.decide(2)), 0)
		d.policy = d.policy.Without(1, d.now)
		asserter.Equal(t, d.decide(2), []buckthorndyke.TicketID{2})
		asserter.Equal(t, len(d.decide(2)), 0)
		d.policy = d.policy.Without(2, d.now)
		asserter.Equal(t, d.decide(2), []buckthorndyke.TicketID{3})
	})
	t.Run("a waiting request is refused before its deadline", func(t *testing.T) {
		d := newDesk(t, 0)
		d.offer(buckthorndyke.Waiter{Due: d.now + buckthorndyke.Second, Rank: urgent})
		due, ok := d.policy.NextExpiry()
		asserter.True(t, ok && due < d.now+buckthorndyke.Second, "the request expires too late")
		d.now = due
		d.decide(0)
		asserter.Equal(t, d.expired, []buckthorndyke.TicketID{1})
		asserter.Equal(t, len(d.policy.Waiting()), 0)
	})
	t.Run("a request whose load takes too long is refused at once", func(t *testing.T) {
		d := newDesk(t, 1)
		d.load = 3 * buckthorndyke.Second
		err := d.tryOffer(buckthorndyke.Waiter{Due: d.now + buckthorndyke.Second, Model: "cold", Rank: urgent})
		asserter.Refused(t, err, buckthorndyke.CodeOverloaded, buckthorndyke.NotRun)
		asserter.True(t, buckthorndyke.RefusalOf(err).RetryAfter() > buckthorndyke.Second, "it asks to come back too early")
	})
	t.Run("the queue of a rank is bounded", func(t *testing.T) {
		d := newDesk(t, 0)
		for range buckthorndyke.DefaultRankRule(free).QueueLimit {
			d.offer(buckthorndyke.Waiter{Rank: free})
		}
		asserter.Refused(t, d.tryOffer(buckthorndyke.Waiter{Rank: free}), buckthorndyke.CodeOverloaded, buckthorndyke.NotRun)
		asserter.NoError(t, d.tryOffer(buckthorndyke.Waiter{Rank: urgent}))
	})
	t.Run("of one slot each paid rank gets its share", func(t *testing.T) {
		d := newDesk(t, 1)
		var got [buckthorndyke.RankCount]int
		for range 50 {
			d.offer(buckthorndyke.Waiter{Rank: urgent})
			d.offer(buckthorndyke.Waiter{Rank: ordinary})
		}
		for range 50 {
			for _, id := range d.decide(1) {
				got[(id-1)%2]++
				d.policy = d.policy.Without(id, d.now)
			}
		}
		asserter.Equal(t, got, [...]int{30, 20, 0})
	})
}

// desk offers requests to a scheduler. The model "cold" is not loaded.
type desk struct {
	cold             buckthorndyke.ModelID
	expired, revoked []buckthorndyke.TicketID
	last             buckthorndyke.TicketID
	load             buckthorndyke.Millis
	now              buckthorndyke.Millis
	policy           buckthorndyke.AdmissionPolicy
	slots            int
	t                *testing.T
}

func newDesk(t *testing.T, slots int) *desk {
	return &desk{cold: "cold", now: buckthorndyke.Hour, policy: scheduler.NewFairShareScheduler(), slots: slots, t: t}
}

// decide returns the requests that are granted with the given number of slots.
func (d *desk) decide(slots int) []buckthorndyke.TicketID {
	d.slots = slots
	var decision buckthorndyke.AdmissionDecision
	d.policy, decision = d.policy.Decide(d.view())
	d.expired, d.revoked = ids(decision.Expired), ids(decision.Revoked)
	return ids(decision.Granted)
}

func (d *desk) offer(w buckthorndyke.Waiter) {
	d.t.Helper()
	asserter.NoError(d.t, d.tryOffer(w))
}

func (d *desk) tryOffer(w buckthorndyke.Waiter) error {
	d.last++
	w.Arrived, w.ID = d.now, d.last
	if w.Due == 0 {
		w.Due = d.now + buckthorndyke.Minute
	}
	next, err := d.policy.Enqueue(d.view(), w)
	if err == nil {
		d.policy = next
	}
	return err
}

func (d *desk) view() buckthorndyke.AdmissionView {
	v := newView(d.now, d.slots)
	v.Loaded = func(m buckthorndyke.ModelID) bool { return m != d.cold }
	v.LoadWait = func(buckthorndyke.ModelID) buckthorndyke.Millis { return d.load }
	return v
}

// newView returns the view of a runner on which all models are loaded.
func newView(now buckthorndyke.Millis, slots int) buckthorndyke.AdmissionView {
	none := func(buckthorndyke.ModelID) bool { return false }
	return buckthorndyke.AdmissionView{
		PreemptFree: none, StartsPaused: none,
		Loaded:   func(buckthorndyke.ModelID) bool { return true },
		LoadWait: func(buckthorndyke.ModelID) buckthorndyke.Millis { return 0 },
		Now:      now, Slots: slots,
	}
}

func ids(waiters []buckthorndyke.Waiter) []buckthorndyke.TicketID {
	var ids []buckthorndyke.TicketID
	for _, w := range waiters {
		ids = append(ids, w.ID)
	}
	return ids
}
