package detector

import (
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

// Judge returns the evidence with the suspicions that hold at an instant, and
// these suspicions. Members lists all members; vms is the newest VM list, or
// empty.
func (e Detector) Evaluate(
	members []buckthorndyke.Member, vms buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.VM],
	now buckthorndyke.Millis,
) (Detector, buckthorndyke.Liveness) {
	e = e.pruned(members, now)
	l := buckthorndyke.Liveness{LastContact: e.contact, VMs: vms}
	mine, _ := vms.Get(e.self)
	l.Reclaimed = mine.Leaving
	var since buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.Millis]
	for _, m := range members {
		reporters := e.reporters(m.VM)
		if m.VM == e.self || !e.suspected(m.VM, reporters, members, l) {
			continue
		}
		at, ok := e.since.Get(m.VM)
		if !ok {
			at = now
		}
		since = since.With(m.VM, at)
		l = l.WithSuspect(m.VM, at, reporters)
	}
	e.since = since
	return e, l
}

// confirmers returns how many members could report vm: those that self can
// reach, and self.
func (e Detector) confirmers(vm buckthorndyke.VMID, members []buckthorndyke.Member) int {
	n := 0
	for _, m := range members {
		if misses, _ := e.misses.Get(m.VM); m.VM != vm && (m.VM == e.self || misses < e.cfg.misses) {
			n++
		}
	}
	return n
}

// pruned returns evidence without old news and without misses of VMs that are no
// longer members.
func (e Detector) pruned(members []buckthorndyke.Member, now buckthorndyke.Millis) Detector {
	for from, r := range e.news.All() {
		if now-r.at > e.cfg.newsAge {
			e.news = e.news.Without(from)
		}
	}
	for vm := range e.misses.All() {
		if !slices.ContainsFunc(members, func(m buckthorndyke.Member) bool { return m.VM == vm }) {
			e.misses = e.misses.Without(vm)
		}
	}
	return e
}

// reporters returns the members that say that they cannot reach vm.
func (e Detector) reporters(vm buckthorndyke.VMID) []buckthorndyke.VMID {
	var reporters []buckthorndyke.VMID
	if n, _ := e.misses.Get(vm); n >= e.cfg.misses {
		reporters = append(reporters, e.self)
	}
	for from, r := range e.news.All() {
		if from != vm && slices.Contains(r.suspects, vm) {
			reporters = append(reporters, from)
		}
	}
	return reporters
}

// suspected reports whether the evidence against vm is enough. A VM that the VM
// list no longer holds needs only one reporter.
func (e Detector) suspected(
	vm buckthorndyke.VMID, reporters []buckthorndyke.VMID, members []buckthorndyke.Member, l buckthorndyke.Liveness,
) bool {
	misses, _ := e.misses.Get(vm)
	switch {
	case len(reporters) == 0:
		return false
	case len(reporters) >= e.cfg.quorum:
		return true
	case !l.Listed(vm):
		return true
	default:
		return misses >= e.cfg.loneMisses && e.confirmers(vm, members) < e.cfg.quorum
	}
}
