package owner

import (
	"cmp"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/placer"
)

const (
	// successorCount is the number of VMs that may take a runner over.
	successorCount = 3
	// takeoverStagger is how much longer each further successor waits.
	takeoverStagger = 2 * buckthorndyke.Second
)

// outlook is what the owner knows of the fleet. It is an immutable value.
type outlook struct {
	// listed is set once the VM list was read.
	listed   bool
	liveness buckthorndyke.Liveness
	progress buckthorndyke.StateUpdate
	self     buckthorndyke.Self
	// vms are the VMs of the platform's list.
	vms buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.VM]
}

// claim is a runner that this VM should take.
type claim struct {
	address string
	domain  buckthorndyke.DomainID
	have    buckthorndyke.Ownership
	runner  buckthorndyke.RunnerID
}

// claims returns the runners that this VM should take at now: those that nobody
// owns and that it is the best owner of, and those whose owner is suspected and
// that it is the first successor of.
func (o outlook) claims(now buckthorndyke.Millis) []claim {
	if !o.mayClaim() {
		return nil
	}
	live := o.liveMembers()
	counts, runners := o.ownedCounts(live), o.runners()
	limit := (len(runners) + len(live) - 1) / len(live)
	var claims []claim
	for _, c := range runners {
		if o.isOwned(c.have) {
			if o.isHeir(c.have, now) {
				claims = append(claims, c)
			}
			continue
		}
		owner := leastLoaded(c.runner, live, counts, limit)
		counts[owner]++
		if owner == o.self.VM {
			claims = append(claims, c)
		}
	}
	return claims
}

// heir returns the live member that a runner is best handed over to, or "".
func (o outlook) heir(runner buckthorndyke.RunnerID) buckthorndyke.VMID {
	live := slices.DeleteFunc(o.liveMembers(), func(vm buckthorndyke.VMID) bool { return vm == o.self.VM })
	if len(live) == 0 {
		return ""
	}
	counts := o.ownedCounts(live)
	least := counts[slices.MinFunc(live, func(a, b buckthorndyke.VMID) int { return cmp.Compare(counts[a], counts[b]) })]
	return leastLoaded(runner, live, counts, least+1)
}

// isHeir reports whether this VM should take a runner over from a suspected
// owner at now. Further successors wait longer.
func (o outlook) isHeir(have buckthorndyke.Ownership, now buckthorndyke.Millis) bool {
	since, suspected := o.liveness.Suspects.Get(have.Owner)
	if !suspected {
		return false
	}
	wait := buckthorndyke.Millis(0)
	for _, vm := range have.Successors {
		if vm == o.self.VM {
			return now >= since+wait
		}
		if !o.liveness.Suspected(vm) {
			wait += takeoverStagger
		}
	}
	return false
}

// isOwned reports whether the runner's owner is a member.
func (o outlook) isOwned(have buckthorndyke.Ownership) bool {
	m, ok := o.progress.State.Members.Get(have.Owner)
	return ok && m.Incarnation == have.Incarnation
}

// lacksSuccessors reports whether a listed successor of a runner that this VM
// owns can no longer take over although there are others.
func (o outlook) lacksSuccessors(have buckthorndyke.Ownership) bool {
	able := 0
	for _, vm := range have.Successors {
		if m, ok := o.progress.State.Members.Get(vm); ok && !m.Leaving {
			able++
		}
	}
	return able < min(successorCount, len(o.takers())-1)
}

// liveMembers returns the members that can own runners, sorted.
func (o outlook) liveMembers() []buckthorndyke.VMID {
	return slices.DeleteFunc(o.takers(), o.liveness.Suspected)
}

// mayClaim reports whether this VM can own runners.
func (o outlook) mayClaim() bool {
	m, ok := o.progress.State.Members.Get(o.self.VM)
	return ok && m.Incarnation == o.self.Incarnation && !m.Leaving && o.progress.CaughtUp && o.listed
}

// ownedCounts returns the number of runners that each live member owns.
func (o outlook) ownedCounts(live []buckthorndyke.VMID) map[buckthorndyke.VMID]int {
	counts := make(map[buckthorndyke.VMID]int, len(live))
	for _, vm := range live {
		counts[vm] = 0
	}
	for _, have := range o.progress.State.Ownerships.All() {
		if _, ok := counts[have.Owner]; ok && o.isOwned(have) {
			counts[have.Owner]++
		}
	}
	return counts
}

// runners returns the listed runners, and those that are no longer listed but
// that placements still count on, sorted.
func (o outlook) runners() []claim {
	var runners []claim
	for id, vm := range o.vms.All() {
		if vm.Role != buckthorndyke.RoleRunner {
			continue
		}
		runner := buckthorndyke.RunnerID(id)
		have, _ := o.progress.State.OwnershipOf(runner)
		runners = append(runners, claim{address: vm.Address, domain: vm.Domain, have: have, runner: runner})
	}
	for runner, have := range o.progress.State.Ownerships.All() {
		if !o.vms.Has(buckthorndyke.VMID(runner)) && o.hasSlots(runner) {
			runners = append(runners, claim{address: have.Address, domain: have.Domain, have: have, runner: runner})
		}
	}
	return runners
}

// hasSlots reports whether a placement counts on runner.
func (o outlook) hasSlots(runner buckthorndyke.RunnerID) bool {
	for _, placement := range o.progress.State.Placements.All() {
		if _, ok := placement.Slot(runner); ok {
			return true
		}
	}
	return false
}

// successors returns the members that may take runner over from this VM.
func (o outlook) successors(runner buckthorndyke.RunnerID) []buckthorndyke.VMID {
	var members []buckthorndyke.Member
	for _, m := range o.progress.State.Members.All() {
		members = append(members, m)
	}
	return placer.Successors(runner, o.self.VM, members, successorCount)
}

// takers returns the members that are not leaving, sorted.
func (o outlook) takers() []buckthorndyke.VMID {
	var takers []buckthorndyke.VMID
	for vm, m := range o.progress.State.Members.All() {
		if !m.Leaving {
			takers = append(takers, vm)
		}
	}
	return takers
}

// leastLoaded returns the best of live for runner that owns fewer than limit
// runners, or the best of all.
func leastLoaded(runner buckthorndyke.RunnerID, live []buckthorndyke.VMID, counts map[buckthorndyke.VMID]int, limit int) buckthorndyke.VMID {
	ranked := placer.Rank("runner/"+string(runner), live)
	for _, vm := range ranked {
		if counts[vm] < limit {
			return vm
		}
	}
	return ranked[0]
}
