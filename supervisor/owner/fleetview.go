package owner

import (
	"cmp"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/placer"
)

const (
	// successorCount is the number of VMs that may take over a runner.
	successorCount = 3
	// takeoverStagger is the additional wait of each further successor before it
	// takes over a runner.
	takeoverStagger = 2 * buckthorndyke.Second
)

// fleetView is what the owner knows about the fleet. It is immutable.
type fleetView struct {
	liveness buckthorndyke.Liveness
	self     buckthorndyke.Self
	update   buckthorndyke.StateUpdate
	// vmListRead is set once the platform's VM list has been read.
	vmListRead bool
	// vms are the VMs on the platform's list.
	vms buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.VM]
}

// runnerInfo is a runner with its current ownership.
type runnerInfo struct {
	address   string
	domain    buckthorndyke.DomainID
	ownership buckthorndyke.Ownership
	runner    buckthorndyke.RunnerID
}

// activeMembers returns the members that are not leaving, sorted.
func (v fleetView) activeMembers() []buckthorndyke.VMID {
	var active []buckthorndyke.VMID
	for vm, m := range v.update.State.Members.All() {
		if !m.Leaving {
			active = append(active, vm)
		}
	}
	return active
}

// hasSlots reports whether any model has a replica slot on runner.
func (v fleetView) hasSlots(runner buckthorndyke.RunnerID) bool {
	for _, placement := range v.update.State.Placements.All() {
		if _, ok := placement.Slot(runner); ok {
			return true
		}
	}
	return false
}

// isOwned reports whether the recorded owner is still a member in the same
// incarnation.
func (v fleetView) isOwned(ownership buckthorndyke.Ownership) bool {
	m, ok := v.update.State.Members.Get(ownership.Owner)
	return ok && m.Incarnation == ownership.Incarnation
}

// isTakeoverDue reports whether this VM should take over a runner from a suspected
// owner at now. It waits takeoverStagger for each unsuspected successor before it.
func (v fleetView) isTakeoverDue(ownership buckthorndyke.Ownership, now buckthorndyke.Millis) bool {
	suspectedAt, suspected := v.liveness.Suspects.Get(ownership.Owner)
	if !suspected {
		return false
	}
	wait := buckthorndyke.Millis(0)
	for _, vm := range ownership.Successors {
		if vm == v.self.VM {
			return now >= suspectedAt+wait
		}
		if !v.liveness.Suspected(vm) {
			wait += takeoverStagger
		}
	}
	return false
}

// lacksSuccessors reports whether a runner that this VM owns has fewer successors
// that can take over than it could have.
func (v fleetView) lacksSuccessors(ownership buckthorndyke.Ownership) bool {
	able := 0
	for _, vm := range ownership.Successors {
		if m, ok := v.update.State.Members.Get(vm); ok && !m.Leaving {
			able++
		}
	}
	return able < min(successorCount, len(v.activeMembers())-1)
}

// liveMembers returns the members that can own runners, sorted.
func (v fleetView) liveMembers() []buckthorndyke.VMID {
	return slices.DeleteFunc(v.activeMembers(), v.liveness.Suspected)
}

// mayOwn reports whether this VM can own runners.
func (v fleetView) mayOwn() bool {
	m, ok := v.update.State.Members.Get(v.self.VM)
	return ok && m.Incarnation == v.self.Incarnation && !m.Leaving && v.update.CaughtUp && v.vmListRead
}

// nextOwner returns the live member that a runner should be handed over to, or "".
func (v fleetView) nextOwner(runner buckthorndyke.RunnerID) buckthorndyke.VMID {
	live := slices.DeleteFunc(v.liveMembers(), func(vm buckthorndyke.VMID) bool { return vm == v.self.VM })
	if len(live) == 0 {
		return ""
	}
	counts := v.ownedCounts(live)
	least := counts[slices.MinFunc(live, func(a, b buckthorndyke.VMID) int { return cmp.Compare(counts[a], counts[b]) })]
	return preferredOwner(runner, live, counts, least+1)
}

// ownedCounts returns the number of runners that each live member owns.
func (v fleetView) ownedCounts(live []buckthorndyke.VMID) map[buckthorndyke.VMID]int {
	counts := make(map[buckthorndyke.VMID]int, len(live))
	for _, vm := range live {
		counts[vm] = 0
	}
	for _, ownership := range v.update.State.Ownerships.All() {
		if _, ok := counts[ownership.Owner]; ok && v.isOwned(ownership) {
			counts[ownership.Owner]++
		}
	}
	return counts
}

// runners returns the listed runners in the order of their IDs, followed by
// unlisted ones that still have replica slots.
func (v fleetView) runners() []runnerInfo {
	var runners []runnerInfo
	for id, vm := range v.vms.All() {
		if vm.Role != buckthorndyke.RoleRunner {
			continue
		}
		runner := buckthorndyke.RunnerID(id)
		ownership, _ := v.update.State.OwnershipOf(runner)
		runners = append(runners, runnerInfo{address: vm.Address, domain: vm.Domain, ownership: ownership, runner: runner})
	}
	for runner, ownership := range v.update.State.Ownerships.All() {
		if !v.vms.Has(buckthorndyke.VMID(runner)) && v.hasSlots(runner) {
			runners = append(runners, runnerInfo{address: ownership.Address, domain: ownership.Domain, ownership: ownership, runner: runner})
		}
	}
	return runners
}

// runnersToTake returns the runners that this VM should take at now: runners
// without an owner for which it is the preferred owner, and runners whose owner is
// suspected and whose takeover by this VM is due.
func (v fleetView) runnersToTake(now buckthorndyke.Millis) []runnerInfo {
	if !v.mayOwn() {
		return nil
	}
	live := v.liveMembers()
	counts, runners := v.ownedCounts(live), v.runners()
	limit := (len(runners) + len(live) - 1) / len(live)
	var toTake []runnerInfo
	for _, info := range runners {
		if v.isOwned(info.ownership) {
			if v.isTakeoverDue(info.ownership, now) {
				toTake = append(toTake, info)
			}
			continue
		}
		owner := preferredOwner(info.runner, live, counts, limit)
		counts[owner]++
		if owner == v.self.VM {
			toTake = append(toTake, info)
		}
	}
	return toTake
}

// successors returns the members that may take over runner from this VM.
func (v fleetView) successors(runner buckthorndyke.RunnerID) []buckthorndyke.VMID {
	var members []buckthorndyke.Member
	for _, m := range v.update.State.Members.All() {
		members = append(members, m)
	}
	return placer.Successors(runner, v.self.VM, members, successorCount)
}

// withVMs returns a view with vms as the VM list.
func (v fleetView) withVMs(vms []buckthorndyke.VM) fleetView {
	v.vms = buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.VM]{}
	for _, vm := range vms {
		v.vms = v.vms.With(vm.ID, vm)
	}
	v.vmListRead = true
	return v
}

// preferredOwner returns the first of live in the ranking for runner that owns
// fewer than limit runners, or the first of the ranking if there is none.
func preferredOwner(runner buckthorndyke.RunnerID, live []buckthorndyke.VMID, counts map[buckthorndyke.VMID]int, limit int) buckthorndyke.VMID {
	ranked := placer.Rank("runner/"+string(runner), live)
	for _, vm := range ranked {
		if counts[vm] < limit {
			return vm
		}
	}
	return ranked[0]
}
