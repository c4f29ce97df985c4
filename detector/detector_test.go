package detector_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/detector"
)

type vmList = buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.VM]

func TestTopology(t *testing.T) {
	for _, size := range []int{2, 3, 8, 60} {
		t.Run(fmt.Sprintf("each of %d members is probed by a few, within and across failure domains", size), func(t *testing.T) {
			members := membersOf(size)
			topology := detector.NewTopology(members, 4)
			for _, m := range members {
				probers := topology.Probers(m.VM)
				asserter.Equal(t, len(probers), min(4, size-1))
				asserter.Equal(t, slices.Contains(probers, m.VM), false)
				far := slices.ContainsFunc(members, func(o buckthorndyke.Member) bool {
					return o.Domain != m.Domain && slices.Contains(probers, o.VM)
				})
				asserter.True(t, far, "no prober in another domain")
			}
		})
	}
	t.Run("a member is among the probers of each of its targets", func(t *testing.T) {
		topology := detector.NewTopology(membersOf(40), 4)
		for _, m := range topology.Members() {
			for _, target := range topology.Targets(m.VM) {
				asserter.True(t, slices.Contains(topology.Probers(target.VM), m.VM), "a member is missing from the probers of its target")
			}
		}
	})
	t.Run("successors are notified of a suspicion", func(t *testing.T) {
		s := buckthorndyke.State{}.WithOwnership(buckthorndyke.Ownership{
			Owner: "v03", Runner: "r", Successors: []buckthorndyke.VMID{"v39"},
		})
		recipients := detector.NewTopology(membersOf(40), 4).Recipients("v03", s)
		asserter.True(t, slices.Contains(recipients, buckthorndyke.VMID("v39")), "the successor is not a recipient")
		asserter.True(t, len(recipients) <= 5, "too many recipients")
	})
}

func TestEvaluate(t *testing.T) {
	members := membersOf(6)
	listed := listOf(members...)
	missed := func(d detector.Detector, vm buckthorndyke.VMID, n int) detector.Detector {
		for range n {
			d = d.WithMiss(vm)
		}
		return d
	}
	suspects := []buckthorndyke.VMID{"v01"}
	own := missed(detector.New("v00"), "v01", detector.DefaultMisses)
	confirmed := own.WithReport("v02", suspects, 10)
	for _, tc := range []struct {
		name     string
		detector detector.Detector
		vms      vmList
		now      buckthorndyke.Millis
		want     bool
	}{
		{"fewer misses than the threshold do not count as a report", missed(detector.New("v00"), "v01", 2).WithReport("v02", suspects, 10), listed, 20, false},
		{"own misses alone are not enough", own, listed, 20, false},
		{"own misses and a report by another member are enough", confirmed, listed, 20, true},
		{"reports by two other members are enough", detector.New("v00").
			WithReport("v02", suspects, 10).WithReport("v03", suspects, 10), listed, 20, true},
		{"a member's report about itself does not count", own.WithReport("v01", suspects, 10), listed, 20, false},
		{"expired reports do not count", confirmed, listed, 10 + detector.DefaultReportLifetime + 1, false},
		{"a withdrawn report does not count", confirmed.WithReport("v02", nil, 15), listed, 20, false},
		{"one reporter is enough if the VM is not in the VM list", own, listOf(members[0], members[2]), 20, true},
		{"an empty VM list does not make one reporter enough", own, vmList{}, 20, false},
		{"absence from the VM list alone is not enough", detector.New("v00"), listOf(members[0]), 20, false},
		{"many misses alone are not enough while others could confirm them", missed(own, "v01", 99), listed, 20, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, l := tc.detector.Evaluate(members, tc.vms, tc.now)
			asserter.Equal(t, l.Suspected("v01"), tc.want)
		})
	}
	t.Run("a reply clears a suspicion", func(t *testing.T) {
		d, l := confirmed.Evaluate(members, listed, 20)
		asserter.Equal(t, l.Suspected("v01"), true)
		d, l = d.WithReply("v01", 30).Evaluate(members, listed, 31)
		asserter.Equal(t, l.Suspects.Len(), 0)
		asserter.Equal(t, len(d.Doubtful()), 0)
	})
	t.Run("a suspicion keeps the instant at which it began", func(t *testing.T) {
		d, _ := confirmed.Evaluate(members, listed, 20)
		_, l := d.WithReport("v02", suspects, 500).Evaluate(members, listed, 600)
		since, _ := l.Suspects.Get("v01")
		asserter.Equal(t, since, 20)
	})
	t.Run("a member that reaches nobody suspects others after the higher number of misses", func(t *testing.T) {
		d := detector.New("v00")
		for _, m := range members[1:] {
			d = missed(d, m.VM, detector.DefaultUnconfirmedMisses-1)
		}
		_, l := d.Evaluate(members, listed, 20)
		asserter.Equal(t, l.Suspects.Len(), 0)
		_, l = d.WithMiss("v01").Evaluate(members, listed, 20)
		asserter.Equal(t, l.Suspected("v01"), true)
	})
	t.Run("reports of others are not passed on", func(t *testing.T) {
		d := detector.New("v00").WithReport("v02", suspects, 10).WithReport("v03", suspects, 10)
		asserter.Equal(t, len(d.Unreachable()), 0)
		asserter.Equal(t, d.Doubtful(), suspects)
		asserter.Equal(t, own.Unreachable(), suspects)
	})
	t.Run("the misses of a VM that is not a member any more are deleted", func(t *testing.T) {
		d, _ := own.Evaluate(members[2:], listed, 20)
		asserter.Equal(t, len(d.Unreachable()), 0)
	})
}

// BenchmarkTargets measures the cost of a change of the members. It reports the average
// and the highest number of probes that one VM sends per round.
func BenchmarkTargets(b *testing.B) {
	for _, size := range []int{8, 50, 205, 410} {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			members := membersOf(size)
			b.ReportAllocs()
			for b.Loop() {
				detector.NewTopology(members, detector.DefaultFanOut).Targets("v00")
			}
			topology := detector.NewTopology(members, detector.DefaultFanOut)
			probes, most := 0, 0
			for _, m := range members {
				n := len(topology.Targets(m.VM))
				probes, most = probes+n, max(most, n)
			}
			b.ReportMetric(float64(probes)/float64(size), "probes/round")
			b.ReportMetric(float64(most), "probes/round-max")
		})
	}
}

// BenchmarkEvaluate measures the cost of one round without suspects.
func BenchmarkEvaluate(b *testing.B) {
	for _, size := range []int{8, 50, 205, 410} {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			members := membersOf(size)
			listed := listOf(members...)
			d := detector.New("v00")
			b.ReportAllocs()
			for b.Loop() {
				d, _ = d.Evaluate(members, listed, 1)
			}
		})
	}
}

func listOf(members ...buckthorndyke.Member) vmList {
	var list vmList
	for _, m := range members {
		list = list.With(m.VM, buckthorndyke.VM{ID: m.VM})
	}
	return list
}

func membersOf(n int) []buckthorndyke.Member {
	members := make([]buckthorndyke.Member, n)
	for i := range members {
		members[i] = buckthorndyke.Member{
			Domain: buckthorndyke.DomainID(fmt.Sprint("d", i%8)), VM: buckthorndyke.VMID(fmt.Sprintf("v%02d", i)),
		}
	}
	return members
}
