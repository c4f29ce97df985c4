package selector_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/selector"
)

// scarce returns a load of 31 VMs in front of 56 runners with 16 slots. Of 84 models,
// the first has the given part of the requests; the others have equal parts. Each model
// is loaded on two runners.
func scarce(perSecond, hotPart float64) load {
	l := load{
		duration: 12 * buckthorndyke.Second, holders: make(map[buckthorndyke.ModelID][]int), outputTokens: 65, prefillPerMs: 44.2, promptTokens: 646,
		rate: steady(perSecond), runners: 56, slots: 16, stepMs: 3.4, target: 400, vms: 31,
	}
	for n := range 84 {
		l.holders[fleetModel(n)] = []int{2 * n % 56, (2*n + 1) % 56}
	}
	l.models = func(s *site) buckthorndyke.ModelID {
		if s.random.Float64() < hotPart {
			return fleetModel(0)
		}
		return fleetModel(1 + s.random.IntN(83))
	}
	return l
}

func TestRoom(t *testing.T) {
	t.Run("a runner that restarts empty is filled anew", func(t *testing.T) {
		v := viewOf(runner("a", hall)).WithFleetSize(1)
		for range 3 {
			v = v.WithFull("a", now, now)
		}
		assertNone(t, v, selector.Query{Key: hallKey, Now: now})
		again := runner("a", hall)
		again.Incarnation = 2
		v = v.WithBackends(buckthorndyke.Backends{}.WithChange(buckthorndyke.ListChange{Changed: []buckthorndyke.Backend{again}}, now))
		assertChosen(t, v, selector.Query{Key: hallKey, Now: now}, "a")
	})
	t.Run("a VM of few has a runner's whole batch, and one of many a part of it", func(t *testing.T) {
		inFlight := func(vms int) int {
			v := viewOf(runner("a", hall)).WithFleetSize(vms)
			n := 0
			for ; n < 100; n++ {
				if _, ok := v.Choose(selector.Query{Key: hallKey, Now: now}); !ok {
					break
				}
				v = v.WithLoad("a", selector.Load{Requests: 1})
			}
			return n
		}
		asserter.Equal(t, []int{inFlight(1), inFlight(2), inFlight(8), inFlight(300)}, []int{16, 8, 2, 1})
	})
	t.Run("a runner that the other VMs have filled gets one request", func(t *testing.T) {
		v := viewOf(runner("a", hall)).WithFleetSize(1).WithOtherVMsLoads([]buckthorndyke.ServerLoad{{Requests: 12, Server: "a"}}, now)
		assertChosen(t, v, selector.Query{Key: hallKey, Now: now}, "a")
		v = v.WithLoad("a", selector.Load{Requests: 1})
		assertNone(t, v, selector.Query{Key: hallKey, Now: now})
		assertChosen(t, v, selector.Query{Key: hallKey, Now: now + 3*buckthorndyke.Second}, "a")
	})
	t.Run("limits are shown to operators, the lowest first", func(t *testing.T) {
		v := viewOf(runner("a", hall), runner("b", hall)).WithFleetSize(1).WithFull("a", now, now)
		v = v.WithFull("b", now, now).WithFull("b", now+1, now+1)
		limited := v.LimitedServers(now + 1)
		asserter.Equal(t, len(limited), 2)
		asserter.Equal(t, limited[0].Server, "b")
		asserter.Equal(t, len(v.LimitedServers(now+11*buckthorndyke.Second)), 0)
	})
}

func TestRoomUnderLoad(t *testing.T) {
	t.Run("31 VMs in front of 56 runners fill them without overloading them", func(t *testing.T) {
		s := runLoad(scarce(900, 0.02))
		assertRejected(t, s, 30)
		assertRefused(t, s, 0)
		asserter.True(t, s.busiest() < 2, "the load is uneven")
	})
	t.Run("a model with more requests than its runners can serve", func(t *testing.T) {
		s := runLoad(scarce(600, 0.4))
		// Twice what the runners of the model can serve; without limits, 888 of 1000
		// attempts were rejected.
		assertRejected(t, s, 100)
		// Two runners with 16 slots serve 16 requests in 239 ms each.
		hot := s.runners[0].accepted + s.runners[1].accepted
		asserter.True(t, hot > 1300, fmt.Sprintf("the runners of the hot model served %d requests", hot))
	})
	t.Run("a wave of load reaches all VMs at once", func(t *testing.T) {
		l := scarce(300, 0.1)
		l.rate = func(at buckthorndyke.Millis) float64 {
			return 300 + 900*math.Max(0, math.Sin(float64(at-now)/4000*math.Pi))
		}
		s := runLoad(l)
		assertRejected(t, s, 40)
	})
	t.Run("a model that requests wait for becomes available", func(t *testing.T) {
		l := scarce(400, 0.4)
		l.holders[fleetModel(0)] = nil
		l.disturb = func(s *site) {
			s.in(2*buckthorndyke.Second, func() {
				s.holders[fleetModel(0)] = []int{0, 1, 2, 3}
				s.publish()
			})
		}
		s := runLoad(l)
		// All VMs send at once; without limits, 621 of 1000 attempts were rejected.
		assertRejected(t, s, 120)
	})
	t.Run("one VM with a third of all clients", func(t *testing.T) {
		l := scarce(900, 0.02)
		l.vmOf = func(s *site) int {
			if s.random.Float64() < 1.0/3 {
				return 0
			}
			return s.random.IntN(31)
		}
		s := runLoad(l)
		assertRejected(t, s, 30)
		assertRefused(t, s, 0)
	})
	t.Run("runners that restart empty", func(t *testing.T) {
		l := scarce(900, 0.02)
		l.disturb = func(s *site) {
			for n := range 20 {
				s.in(buckthorndyke.Millis(n)*300, func() {
					s.runners[n].incarnation++
					s.publish()
				})
			}
		}
		s := runLoad(l)
		assertRejected(t, s, 30)
		assertRefused(t, s, 0)
	})
	t.Run("8 VMs", func(t *testing.T) {
		l := scarce(900, 0.1)
		l.vms = 8
		s := runLoad(l)
		assertRejected(t, s, 30)
		// Limits must not leave slots unused: without them, 36 requests were late.
		asserter.True(t, s.late+s.refused < 100, fmt.Sprintf("%d requests are late, %d refused", s.late, s.refused))
	})
	t.Run("300 VMs", func(t *testing.T) {
		l := scarce(900, 0.1)
		l.vms = 300
		s := runLoad(l)
		// With a hundredth of a runner's batch for each VM, arrivals coincide by chance.
		assertRejected(t, s, 50)
	})
	t.Run("without a leader", func(t *testing.T) {
		l := scarce(900, 0.1)
		l.withoutLeader = true
		s := runLoad(l)
		assertRejected(t, s, 30)
		asserter.True(t, s.late+s.refused < 100, fmt.Sprintf("%d requests are late, %d refused", s.late, s.refused))
	})
}
