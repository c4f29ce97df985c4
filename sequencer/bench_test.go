package sequencer_test

import (
	"fmt"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/sequencer"
)

// waitingQueue returns a queue of n requests of 16 callers and three priorities, for 300
// models or for one.
func waitingQueue(n, models int) sequencer.Queue {
	q := sequencer.New()
	for i := range n {
		q, _ = q.With(request(func(r *sequencer.Request) {
			r.Caller, r.Priority = buckthorndyke.CallerID(fmt.Sprint(i%16)), i%3
			r.Key = keyOf(buckthorndyke.ModelID(fmt.Sprint(i % models)))
			r.Target, r.Until = start+buckthorndyke.Millis(i%4000), start+buckthorndyke.Millis(3000+i%1000)
		}))
	}
	return q
}

// BenchmarkSlot measures an arrival with its forecast and a free slot of a server that holds
// three models.
func BenchmarkSlot(b *testing.B) {
	for _, models := range []int{1, 300} {
		for _, n := range []int{10, 5000} {
			b.Run(fmt.Sprintf("models=%d/waiting=%d", models, n), func(b *testing.B) {
				q := waitingQueue(n, models)
				now := start
				held := map[buckthorndyke.ModelKey]bool{keyOf("0"): true, keyOf("1"): true, keyOf("2"): true}
				b.ReportAllocs()
				for b.Loop() {
					now++
					next, r := q.With(request(func(r *sequencer.Request) {
						r.Key, r.Caller, r.Target, r.Deadline, r.Until = keyOf("0"), "3", now+400, now+6000, now+3000
					}))
					_ = next.Forecast(r, now)
					pass := next.Pass(now, func(key buckthorndyke.ModelKey) bool { return held[key] })
					r, _ = pass.Next()
					q = pass.WithGranted(r).Queue()
				}
			})
		}
	}
}

// BenchmarkReview measures the search for requests that will not start in time.
func BenchmarkReview(b *testing.B) {
	for _, n := range []int{10, 5000} {
		b.Run(fmt.Sprintf("waiting=%d", n), func(b *testing.B) {
			q := waitingQueue(n, 300)
			now := start
			for range 300 {
				for model := range 300 {
					pass := q.PassOf(now, keyOf(buckthorndyke.ModelID(fmt.Sprint(model))))
					if r, ok := pass.Next(); ok && n > 10 {
						q, _ = pass.WithGranted(r).Queue().With(r)
					}
				}
				now++
			}
			b.ReportAllocs()
			for b.Loop() {
				_ = q.Hopeless(now)
			}
		})
	}
}
