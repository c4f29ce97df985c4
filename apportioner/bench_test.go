package apportioner

import (
	"strconv"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
)

// BenchmarkCharge measures the charge of one request.
func BenchmarkCharge(b *testing.B) {
	callers, _ := benchCallers(16)
	u := NewUsage(bounds).WithCallers(callers)
	for b.Loop() {
		u = u.WithAsked("caller-3", 0, 0)
		u, _ = u.WithCharge("caller-3", 0, 0)
	}
}

// BenchmarkReport measures one report of a VM at the leader, with 16 callers and fleets of
// several sizes.
func BenchmarkReport(b *testing.B) {
	for _, vms := range []int{8, 95, 300, 410} {
		b.Run(strconv.Itoa(vms)+" VMs", func(b *testing.B) {
			callers, ids := benchCallers(16)
			l := NewLedger(bounds).WithCallers(callers)
			interval := max(800, min(5*buckthorndyke.Millis(vms), 1600))
			step := float64(interval) / float64(vms)
			for n := 0; b.Loop(); n++ {
				report := buckthorndyke.DemandReport{Incarnation: 1, Number: uint64(n/vms + 1)}
				for _, id := range ids {
					asked := float64(n / vms * 500)
					report.Allotments = append(report.Allotments, buckthorndyke.AllotmentUse{
						Asked: asked, Caller: id, Limit: asked + 100, Share: 0.5 / float64(vms), Spent: asked,
					})
				}
				l, _ = l.WithReport(buckthorndyke.VMID("vm-"+strconv.Itoa(n%vms)), report, buckthorndyke.Millis(float64(n)*step))
			}
		})
	}
}

func benchCallers(n int) (buckthorndyke.Callers, []buckthorndyke.CallerID) {
	callers := buckthorndyke.NewCallers()
	var ids []buckthorndyke.CallerID
	for i := range n {
		id := buckthorndyke.CallerID("caller-" + strconv.Itoa(i))
		ids = append(ids, id)
		callers = callers.WithCaller(buckthorndyke.Caller{Allotment: allotmentOf(50_000), ID: id})
	}
	return callers, ids
}
