package owner

import (
	"fmt"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
)

// BenchmarkTick measures the decisions that an owner makes four times a second in
// a healthy fleet: which runners to take and whether to hand one over.
func BenchmarkTick(b *testing.B) {
	for _, size := range []struct{ members, runners int }{{8, 12}, {100, 150}, {410, 600}} {
		b.Run(fmt.Sprintf("members=%d/runners=%d", size.members, size.runners), func(b *testing.B) {
			v := newFleetView(size.members, size.runners)
			for b.Loop() {
				if len(v.runnersToTake(buckthorndyke.Hour)) > 0 || v.shouldHandOver() {
					b.Fatal("a takeover or handover is due in a balanced fleet")
				}
			}
		})
	}
}

// newFleetView returns the view of vm0 when every runner has an owner.
func newFleetView(members, runners int) fleetView {
	v := fleetView{self: buckthorndyke.Self{Incarnation: 1, VM: "vm0"}, vmListRead: true}
	v.update.CaughtUp = true
	s := v.update.State
	for i := range members {
		s = s.WithMember(buckthorndyke.Member{Incarnation: 1, VM: vmID(i)})
	}
	for i := range runners {
		id := buckthorndyke.RunnerID(fmt.Sprintf("r%d", i))
		s = s.WithOwnership(buckthorndyke.Ownership{Incarnation: 1, Owner: vmID(i % members), Runner: id})
		vm := buckthorndyke.VMID(id)
		v.vms = v.vms.With(vm, buckthorndyke.VM{ID: vm, Role: buckthorndyke.RoleRunner})
	}
	v.update.State = s
	return v
}

func vmID(i int) buckthorndyke.VMID {
	return buckthorndyke.VMID(fmt.Sprintf("vm%d", i))
}
