package spreader_test

import (
	"fmt"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/spreader"
)

// spread lets VMs ask one root, and those that they are sent on to, until all have a copy.
// It returns the greatest number of calls of one VM and of copies from one VM.
func spread(t *testing.T, vms int) (calls, copies int) {
	t.Helper()
	fanouts := make(map[string]spreader.Fanout)
	given := make(map[string]int)
	for i := range vms {
		address, asked := fmt.Sprintf("vm-%d", i), "root"
		hops := 0
		for asked != "" {
			var next string
			fanouts[asked], next = fanouts[asked].WithAsker(address, hops, buckthorndyke.Millis(i))
			if hops++; next == "" {
				given[asked]++
				copies = max(copies, given[asked])
			}
			asked = next
		}
		calls = max(calls, hops)
	}
	return calls, copies
}

func TestFanout(t *testing.T) {
	for _, size := range []struct{ vms, calls int }{{3, 1}, {8, 2}, {95, 5}, {300, 7}, {410, 7}, {1000, 9}} {
		t.Run(fmt.Sprintf("%d VMs get copies by few calls, from VMs that give few", size.vms), func(t *testing.T) {
			calls, copies := spread(t, size.vms)
			asserter.True(t, calls <= size.calls, fmt.Sprintf("a VM makes %d calls", calls))
			asserter.True(t, copies <= 4, fmt.Sprintf("a VM gives %d copies", copies))
		})
	}
	t.Run("a VM that asks again is not sent on", func(t *testing.T) {
		var f spreader.Fanout
		for i := range 4 {
			f, _ = f.WithAsker(fmt.Sprint(i), 0, 0)
		}
		f, ask := f.WithAsker("2", 0, 100)
		asserter.Equal(t, ask, "")
		asserter.Equal(t, f.Children(), 4)
	})
	t.Run("a VM that has not asked for a while makes room for another", func(t *testing.T) {
		var f spreader.Fanout
		for i := range 4 {
			f, _ = f.WithAsker(fmt.Sprint(i), 0, 0)
		}
		_, ask := f.WithAsker("5", 0, 10*buckthorndyke.Second)
		asserter.Equal(t, ask, "")
	})
	t.Run("a VM that was sent on too often gets its copy", func(t *testing.T) {
		var f spreader.Fanout
		for i := range 4 {
			f, _ = f.WithAsker(fmt.Sprint(i), 0, 0)
		}
		_, ask := f.WithAsker("5", spreader.MaxHops, 0)
		asserter.Equal(t, ask, "")
	})
}
