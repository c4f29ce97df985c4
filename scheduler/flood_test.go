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
	// floodEvery is the time between two arrivals of ten times the capacity.
	floodInterval = floodService / floodSlots / 10
)

// flood is a run of a policy under arrivals of each rank.
type flood struct {
	intervals [buckthorndyke.RankCount]buckthorndyke.Millis
	// promised holds the time to the first token of each rank.
	timeLimit buckthorndyke.Millis
}

// result is what each rank got.
type result struct {
	arrived, served [buckthorndyke.RankCount]int
	// held is the slot time of each rank that was not revoked.
	held [buckthorndyke.RankCount]buckthorndyke.Millis
	// late counts grants after the deadline.
	late int
	// lost counts requests that were neither served nor refused.
	lost int
	wait [buckthorndyke.RankCount]buckthorndyke.Millis
}

// run plays f against p. Requests hold a slot for floodService.
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
				r.held[w.Rank] += floodService
				delete(ends, id)
				delete(open, id)
				p = p.Without(id, now)
			}
		}
		for rank, every := range f.intervals {
			for ; every > 0 && next[rank] <= now; next[rank] += every {
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
		// modest is a quarter of the capacity, below either paid rank's share.
		modest = floodService / floodSlots * 4
	)
	policies := map[string]buckthorndyke.AdmissionPolicy{
		"shared": scheduler.NewFairShareScheduler(), "fifo": scheduler.NewFIFO(),
	}
	for name, policy := range policies {
		t.Run(name+" neither drops nor serves late", func(t *testing.T) {
			for flooding := range buckthorndyke.RankCount {
				f := flood{intervals: [...]buckthorndyke.Millis{modest, modest, modest}, timeLimit: buckthorndyke.Second}
				f.intervals[flooding] = floodInterval
				r := f.run(policy)
				asserter.Equal(t, r.lost, 0)
				asserter.Equal(t, r.late, 0)
			}
		})
	}
	t.Run("urgent work is served in a flood of ordinary work", func(t *testing.T) {
		f := flood{intervals: [...]buckthorndyke.Millis{modest, floodInterval, 0}, timeLimit: buckthorndyke.Second}
		assertServed(t, f.run(scheduler.NewFairShareScheduler()), urgent, 99)
	})
	t.Run("ordinary work keeps its share in a flood of urgent work", func(t *testing.T) {
		f := flood{intervals: [...]buckthorndyke.Millis{floodInterval, floodInterval, 0}, timeLimit: buckthorndyke.Second}
		r := f.run(scheduler.NewFairShareScheduler())
		assertShare(t, r, ordinary, 38, 42)
		assertShare(t, r, urgent, 58, 62)
	})
	t.Run("what a rank leaves goes to the others", func(t *testing.T) {
		f := flood{intervals: [...]buckthorndyke.Millis{0, floodInterval, 0}, timeLimit: buckthorndyke.Second}
		assertShare(t, f.run(scheduler.NewFairShareScheduler()), ordinary, 97, 100)
	})
	t.Run("free work changes nothing for paid work", func(t *testing.T) {
		f := flood{intervals: [...]buckthorndyke.Millis{modest, modest, 0}, timeLimit: buckthorndyke.Second}
		without := f.run(scheduler.NewFairShareScheduler())
		f.intervals[free] = floodInterval
		with := f.run(scheduler.NewFairShareScheduler())
		// The holder of a revoked ticket takes one step to give its slot back.
		asserter.True(t, with.wait[urgent] <= without.wait[urgent]+floodStep, "urgent work waited for free work")
		asserter.Equal(t, with.served[ordinary], without.served[ordinary])
		asserter.True(t, with.served[free] > 0, "free work got nothing of what was left")
	})
	t.Run("free work gets nothing in a flood of paid work", func(t *testing.T) {
		f := flood{intervals: [...]buckthorndyke.Millis{floodInterval, 0, modest}, timeLimit: buckthorndyke.Second}
		assertShare(t, f.run(scheduler.NewFairShareScheduler()), free, 0, 1)
	})
	t.Run("without shares the assertions fail", func(t *testing.T) {
		f := flood{intervals: [...]buckthorndyke.Millis{floodInterval, modest, 0}, timeLimit: buckthorndyke.Second}
		r := f.run(scheduler.NewFIFO())
		asserter.True(t, r.served[ordinary] < r.arrived[ordinary]*90/100, "FIFO kept the ordinary rank's share")
	})
}

// assertServed reports an error unless at least percent of a rank's requests
// were served.
func assertServed(t *testing.T, r result, rank buckthorndyke.Rank, percent int) {
	t.Helper()
	if r.served[rank]*100 < (r.arrived[rank]-floodSlots)*percent {
		t.Errorf("%s: served %d of %d", rank, r.served[rank], r.arrived[rank])
	}
}

// assertShare reports an error unless a rank held between low and high percent
// of all slot time.
func assertShare(t *testing.T, r result, rank buckthorndyke.Rank, low, high int) {
	t.Helper()
	got := float64(r.held[rank]) * 100 / float64(floodTime*floodSlots)
	if got < float64(low) || got > float64(high) {
		t.Errorf("%s held %.1f%% of the slot time, want %d to %d", rank, got, low, high)
	}
}
