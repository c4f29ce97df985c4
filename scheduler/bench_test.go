package scheduler_test

import (
	"fmt"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/scheduler"
)

// BenchmarkDecide measures the arrival, the grant and the end of one request with a
// queue of n waiting ones. In the worst case, none of those waits for a loaded model.
func BenchmarkDecide(b *testing.B) {
	for _, cold := range []bool{false, true} {
		for _, n := range []int{16, 64, 256, 1024, 4096} {
			b.Run(fmt.Sprintf("cold=%t/queue=%d", cold, n), func(b *testing.B) {
				rule := buckthorndyke.DefaultRankRule(buckthorndyke.RankUrgent)
				rule.QueueLimit = n + 1
				view := newView(buckthorndyke.Hour, 0)
				view.Rules = view.Rules.WithRank(rule)
				view.Loaded = func(m buckthorndyke.ModelID) bool { return m == "warm" }
				policy := buckthorndyke.AdmissionPolicy(scheduler.NewFairShareScheduler())
				w := buckthorndyke.Waiter{Due: 2 * buckthorndyke.Hour, Model: "warm"}
				if cold {
					w.Model = "cold"
				}
				for range n {
					w.ID++
					policy, _ = policy.Enqueue(view, w)
				}
				view.Slots = 1
				w.Model = "warm"
				b.ReportAllocs()
				for b.Loop() {
					w.ID++
					next, _ := policy.Enqueue(view, w)
					next, d := next.Decide(view)
					policy = next.Without(d.Granted[0].ID, view.Now)
				}
			})
		}
	}
}
