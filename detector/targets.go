// Package detector decides which members are suspected to be dead or cut off,
// and which members each one probes. It is pure.
package detector

import (
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/placer"
)

// Roster chooses who probes whom among the members. It is immutable.
type Roster struct {
	domains map[buckthorndyke.VMID]buckthorndyke.DomainID
	fanOut  int
	field   placer.Rendezvous[buckthorndyke.VMID]
	members []buckthorndyke.Member
}

// NewRoster returns the roster of members in which fanOut members probe each.
func NewRoster(members []buckthorndyke.Member, fanOut int) Roster {
	domains := make(map[buckthorndyke.VMID]buckthorndyke.DomainID, len(members))
	ids := make([]buckthorndyke.VMID, len(members))
	for i, m := range members {
		domains[m.VM] = m.Domain
		ids[i] = m.VM
	}
	return Roster{domains: domains, fanOut: fanOut, field: placer.NewRendezvous(ids), members: members}
}

// Audience returns the members that are told about a suspicion of target: its
// watchers, and the successors of the runners that it owns.
func (r Roster) Audience(target buckthorndyke.VMID, s buckthorndyke.State) []buckthorndyke.VMID {
	audience := r.Watchers(target)
	for _, o := range s.Ownerships.All() {
		if o.Owner == target {
			audience = append(audience, o.Successors...)
		}
	}
	slices.Sort(audience)
	return slices.Compact(audience)
}

// Members returns all members.
func (r Roster) Members() []buckthorndyke.Member { return slices.Clone(r.members) }

// Targets returns the members that self probes, in the order of their names.
func (r Roster) Targets(self buckthorndyke.VMID) []buckthorndyke.Member {
	var targets []buckthorndyke.Member
	for _, m := range r.members {
		if m.VM != self && slices.Contains(r.Watchers(m.VM), self) {
			targets = append(targets, m)
		}
	}
	return targets
}

// Watchers returns the members that probe target: half of them, rounded up, in
// other failure domains, as far as there are so many.
func (r Roster) Watchers(target buckthorndyke.VMID) []buckthorndyke.VMID {
	key, domain := "watch/"+string(target), r.domains[target]
	across := r.field.TopN(key, r.fanOut, func(vm buckthorndyke.VMID) bool { return r.domains[vm] != domain })
	within := r.field.TopN(key, r.fanOut, func(vm buckthorndyke.VMID) bool {
		return vm != target && r.domains[vm] == domain
	})
	far := min((r.fanOut+1)/2, len(across))
	near := min(r.fanOut-far, len(within))
	far = min(r.fanOut-near, len(across))
	return append(slices.Clone(across[:far]), within[:near]...)
}
