package detector

import (
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/placer"
)

// Topology determines which members probe which. It is immutable.
type Topology struct {
	domains map[buckthorndyke.VMID]buckthorndyke.DomainID
	fanOut  int
	field   placer.Rendezvous[buckthorndyke.VMID]
	members []buckthorndyke.Member
}

// NewTopology returns the topology in which each of members is probed by fanOut others.
func NewTopology(members []buckthorndyke.Member, fanOut int) Topology {
	domains := make(map[buckthorndyke.VMID]buckthorndyke.DomainID, len(members))
	ids := make([]buckthorndyke.VMID, len(members))
	for i, m := range members {
		domains[m.VM] = m.Domain
		ids[i] = m.VM
	}
	return Topology{domains: domains, fanOut: fanOut, field: placer.NewRendezvous(ids), members: members}
}

// Members returns all members.
func (t Topology) Members() []buckthorndyke.Member { return slices.Clone(t.members) }

// Probers returns the members that probe target. Half of them, rounded up, are in other
// failure domains if there are enough members.
func (t Topology) Probers(target buckthorndyke.VMID) []buckthorndyke.VMID {
	key, domain := "watch/"+string(target), t.domains[target]
	across := t.field.TopN(key, t.fanOut, func(vm buckthorndyke.VMID) bool { return t.domains[vm] != domain })
	within := t.field.TopN(key, t.fanOut, func(vm buckthorndyke.VMID) bool {
		return vm != target && t.domains[vm] == domain
	})
	far := min((t.fanOut+1)/2, len(across))
	near := min(t.fanOut-far, len(within))
	far = min(t.fanOut-near, len(across))
	return append(slices.Clone(across[:far]), within[:near]...)
}

// Recipients returns the members to notify of a suspicion of target: its probers and the
// successors of the runners that it owns.
func (t Topology) Recipients(target buckthorndyke.VMID, s buckthorndyke.State) []buckthorndyke.VMID {
	recipients := t.Probers(target)
	for _, o := range s.Ownerships.All() {
		if o.Owner == target {
			recipients = append(recipients, o.Successors...)
		}
	}
	slices.Sort(recipients)
	return slices.Compact(recipients)
}

// Targets returns the members that self probes, in the order of Members.
func (t Topology) Targets(self buckthorndyke.VMID) []buckthorndyke.Member {
	var targets []buckthorndyke.Member
	for _, m := range t.members {
		if m.VM != self && slices.Contains(t.Probers(m.VM), self) {
			targets = append(targets, m)
		}
	}
	return targets
}
