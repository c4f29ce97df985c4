package detector

import (
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

// Evaluate determines which members are suspected at the instant now. It returns a copy
// with the updated suspicions, and the liveness to publish. members lists all members;
// vms is the newest VM list, or empty if none is known.
func (d Detector) Evaluate(
	members []buckthorndyke.Member, vms buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.VM],
	now buckthorndyke.Millis,
) (Detector, buckthorndyke.Liveness) {
	d = d.pruned(members, now)
	l := buckthorndyke.Liveness{LastContact: d.lastContact, VMs: vms}
	mine, _ := vms.Get(d.self)
	l.Reclaimed = mine.Leaving
	var since buckthorndyke.Table[buckthorndyke.VMID, buckthorndyke.Millis]
	for _, m := range members {
		reporters := d.reporters(m.VM)
		if m.VM == d.self || !d.suspected(m.VM, reporters, members, l) {
			continue
		}
		at, ok := d.suspectedSince.Get(m.VM)
		if !ok {
			at = now
		}
		since = since.With(m.VM, at)
		l = l.WithSuspect(m.VM, at, reporters)
	}
	d.suspectedSince = since
	return d, l
}

// confirmers returns how many members could report vm: self and the members other than vm
// that self can reach.
func (d Detector) confirmers(vm buckthorndyke.VMID, members []buckthorndyke.Member) int {
	n := 0
	for _, m := range members {
		if misses, _ := d.misses.Get(m.VM); m.VM != vm && (m.VM == d.self || misses < d.cfg.misses) {
			n++
		}
	}
	return n
}

// pruned returns a copy without expired reports and without the misses of VMs that are
// not members any more.
func (d Detector) pruned(members []buckthorndyke.Member, now buckthorndyke.Millis) Detector {
	for from, r := range d.reports.All() {
		if now-r.at > d.cfg.reportLifetime {
			d.reports = d.reports.Without(from)
		}
	}
	for vm := range d.misses.All() {
		if !slices.ContainsFunc(members, func(m buckthorndyke.Member) bool { return m.VM == vm }) {
			d.misses = d.misses.Without(vm)
		}
	}
	return d
}

// reporters returns the members that report that they cannot reach vm, including self.
// Reports of vm about itself do not count.
func (d Detector) reporters(vm buckthorndyke.VMID) []buckthorndyke.VMID {
	var reporters []buckthorndyke.VMID
	if n, _ := d.misses.Get(vm); n >= d.cfg.misses {
		reporters = append(reporters, d.self)
	}
	for from, r := range d.reports.All() {
		if from != vm && slices.Contains(r.suspects, vm) {
			reporters = append(reporters, from)
		}
	}
	return reporters
}

// suspected reports whether vm is to be suspected. One reporter is sufficient if the VM
// list does not contain vm or marks it as leaving.
func (d Detector) suspected(
	vm buckthorndyke.VMID, reporters []buckthorndyke.VMID, members []buckthorndyke.Member, l buckthorndyke.Liveness,
) bool {
	misses, _ := d.misses.Get(vm)
	switch {
	case len(reporters) == 0:
		return false
	case len(reporters) >= d.cfg.quorum:
		return true
	case !l.Listed(vm):
		return true
	default:
		return misses >= d.cfg.unconfirmedMisses && d.confirmers(vm, members) < d.cfg.quorum
	}
}
