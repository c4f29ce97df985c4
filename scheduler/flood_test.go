package scheduler_test

import (
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/scheduler"
)

const (
	floodSlots   = 5
	floodService = 400 * buckthorndyke.Millisecond
	floodStep    = 10 * buckthorndyke.Millisecond
	floodTime    = 2 * buckthorndyke.Minute
	// floodInterval is the time between two arrivals at ten times the capacity.
	floodInterval = floodService / floodSlots / 10
)

// flood simulates a policy with regular arrivals of each rank.
type flood struct {
	// interval is the time between two arrivals of each rank, or 0 for no arrivals.
	interval [buckthorndyke.RankCount]buckthorndyke.Millis
	// timeLimit is the time from arrival to deadline.
	timeLimit buckthorndyke.Millis
}

// result has the outcomes by rank.
type result struct {
	arrived, served [buckthorndyke.RankCount]int
	// late counts grants after the deadline.
	late int
	// lost counts requests that were neither served nor refused.
	lost int
	// slotTime is the slot time that served requests have taken.
	slotTime [buckthorndyke.RankCount]buckthorndyke.Millis
	// wait is the longest time until a grant.
	wait [buckthorndyke.RankCount]buckthorndyke.Millis
}

// run simulates f with p. Each request takes a slot for floodService.
func (f flood) run(p buckthorndyke.AdmissionPolicy) result {
	var r result
	ends := make(map[buckthorndyke.TicketID]buckthorndyke.Millis)
	open := make(map[buckthorndyke.TicketID]buckthorndyke.Waiter)
	var last buckthorndyke.TicketID
	var next [buckthorndyke.RankCount]buckthorndyke.Millis
	for now := buckthorndyke.Millis(1); now < floodTime; now += floodStep {
		view := newView(now, floodSlots)
		for id, end := range ends {
			if end <= now {
				w := open[id]
				r.served[w.Rank]++
				r.slotTime[w.Rank] += floodService
				delete(ends, id)
				delete(open, id)
				p = p.Without(id, now)
			}
		}
		for rank, interval := range f.interval {
			for ; interval > 0 && next[rank] <= now; next[rank] += interval {
				last++
				r.arrived[rank]++
				w := buckthorndyke.Waiter{
					Arrived: now, Caller: "clerk", Due: now + f.timeLimit, ID: last, Model: "m", Rank: buckthorndyke.Rank(rank),
				}
				offered, err := p.Enqueue(view, w)
				if err == nil {
					p, open[last] = offered, w
				}
			}
		}
		var d buckthorndyke.AdmissionDecision
		p, d = p.Decide(view)
		for _, w := range d.Expired {
			delete(open, w.ID)
		}
		for _, w := range d.Granted {
			ends[w.ID] = now + floodService
			r.wait[w.Rank] = max(r.wait[w.Rank], now-w.Arrived)
			if now > w.Due {
				r.late++
			}
		}
		for _, w := range d.Revoked {
			delete(ends, w.ID)
			delete(open, w.ID)
			p = p.Without(w.ID, now)
		}
	}
	r.lost = len(open) - len(ends) - len(p.Waiting())
	return r
}

func TestFloods(t *testing.T) {
	const (
		urgent, ordinary, free = buckthorndyke.RankUrgent, buckthorndyke.RankOrdinary, buckthorndyke.RankFree
		// modest is the interval at a quarter of the capacity, which is below the
		// share of either paid rank.
		modest = floodService / floodSlots * 4
	)
	policies := map[string]buckthorndyke.AdmissionPolicy{
		"shared": scheduler.NewFairShareScheduler(), "fifo": scheduler.NewFIFO(),
	}
	for name, policy := range policies {
		t.Run(name+" neither loses requests nor serves them late", func(t *testing.T) {
			for flooding := range buckthorndyke.RankCount {
				f := flood{interval: [...]buckthorndyke.Millis{modest, modest, modest}, timeLimit: buckthorndyke.Second}
				f.interval[flooding] = floodInterval
				r := f.run(policy)
				asserter.Equal(t, r.lost, 0)
				asserter.Equal(t, r.late, 0)
			}
		})
	}
	t.Run("urgent requests are served in a flood of ordinary ones", func(t *testing.T) {
		f := flood{interval: [...]buckthorndyke.Millis{modest, floodInterval, 0}, timeLimit: buckthorndyke.Second}
		assertServed(t, f.run(scheduler.NewFairShareScheduler()), urgent, 99)
	})
	t.Run("the ordinary rank keeps its share in a flood of urgent requests", func(t *testing.T) {
		f := flood{interval: [...]buckthorndyke.Millis{floodInterval, floodInterval, 0}, timeLimit: buckthorndyke.Second}
		r := f.run(scheduler.NewFairShareScheduler())
		assertShare(t, r, ordinary, 38, 42)
		assertShare(t, r, urgent, 58, 62)
	})
	t.Run("the other ranks use what a rank leaves", func(t *testing.T) {
		f := flood{interval: [...]buckthorndyke.Millis{0, floodInterval, 0}, timeLimit: buckthorndyke.Second}
		assertShare(t, f.run(scheduler.NewFairShareScheduler()), ordinary, 97, 100)
	})
	t.Run("free requests do not delay paid ones", func(t *testing.T) {
		f := flood{interval: [...]buckthorndyke.Millis{modest, modest, 0}, timeLimit: buckthorndyke.Second}
		without := f.run(scheduler.NewFairShareScheduler())
		f.interval[free] = floodInterval
		with := f.run(scheduler.NewFairShareScheduler())
		// The owner of a revoked ticket needs one step to free its slot.
		asserter.True(t, with.wait[urgent] <= without.wait[urgent]+floodStep, "urgent requests waited for free ones")
		asserter.Equal(t, with.served[ordinary], without.served[ordinary])
		asserter.True(t, with.served[free] > 0, "free requests did not use the slots that were left")
	})
	t.Run("free requests get no slots in a flood of paid ones", func(t *testing.T) {
		f := flood{interval: [...]buckthorndyke.Millis{floodInterval, 0, modest}, timeLimit: buckthorndyke.Second}
		assertShare(t, f.run(scheduler.NewFairShareScheduler()), free, 0, 1)
	})
	t.Run("FIFO does not keep the shares", func(t *testing.T) {
		f := flood{interval: [...]buckthorndyke.Millis{floodInterval, modest, 0}, timeLimit: buckthorndyke.Second}
		r := f.run(scheduler.NewFIFO())
		asserter.True(t, r.served[ordinary] < r.arrived[ordinary]*90/100, "FIFO kept the ordinary rank's share")
	})
}

// assertServed reports an error unless at least percent of a rank's requests were
// served.
func assertServed(t *testing.T, r result, rank buckthorndyke.Rank, percent int) {
	t.Helper()
	if r.served[rank]*100 < (r.arrived[rank]-floodSlots)*percent {
		t.Errorf("%s: served %d of %d", rank, r.served[rank], r.arrived[rank])
	}
}

// assertShare reports an error unless a rank had between low and high percent of all
// slot time.
func assertShare(t *testing.T, r result, rank buckthorndyke.Rank, low, high int) {
	t.Helper()
	got := float64(r.slotTime[rank]) * 100 / float64(floodTime*floodSlots)
	if got < float64(low) || got > float64(high) {
		t.Errorf("%s used %.1f%% of the slot time, want %d to %d", rank, got, low, high)
	}
}
