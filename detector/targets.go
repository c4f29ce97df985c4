// Package detector decides which members are suspected to be dead or cut off,
// and which members each one probes. It is pure.
package detector

import (
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/placer"
)

// Watchers returns the fanOut members that probe target: half of them, rounded
// up, in other failure domains, as far as there are so many.
func Watchers(target buckthorndyke.Member, members []buckthorndyke.Member, fanOut int) []buckthorndyke.VMID {
	var within, across []buckthorndyke.VMID
	for _, m := range members {
		switch {
		case m.VM == target.VM:
		case m.Domain == target.Domain:
			within = append(within, m.VM)
		default:
			across = append(across, m.VM)
		}
	}
	key := "watch/" + string(target.VM)
	within, across = placer.Best(key, within, fanOut), placer.Best(key, across, fanOut)
	far := min((fanOut+1)/2, len(across))
	near := min(fanOut-far, len(within))
	far = min(fanOut-near, len(across))
	return append(slices.Clone(across[:far]), within[:near]...)
}

// Targets returns the members that self probes, in the order of their names.
func Targets(self buckthorndyke.VMID, members []buckthorndyke.Member, fanOut int) []buckthorndyke.Member {
	var targets []buckthorndyke.Member
	for _, m := range members {
		if m.VM != self && slices.Contains(Watchers(m, members, fanOut), self) {
			targets = append(targets, m)
		}
	}
	return targets
}

// Audience returns the members that are told about a suspicion of target: its
// other watchers, and the successors of the runners that it owns.
func Audience(
	target buckthorndyke.VMID, s buckthorndyke.State, members []buckthorndyke.Member, fanOut int,
) []buckthorndyke.VMID {
	m, ok := s.Members.Get(target)
	if !ok {
		return nil
	}
	audience := Watchers(m, members, fanOut)
	for _, o := range s.Ownerships.All() {
		if o.Owner == target {
			audience = append(audience, o.Successors...)
		}
	}
	slices.Sort(audience)
	return slices.Compact(audience)
}
