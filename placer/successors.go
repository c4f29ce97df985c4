package placer

import (
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

// Successors returns up to n members that may take over runner from owner, best first.
// If n is above 1, at least one of them is in another failure domain than the owner,
// unless all members are in the same one. Members that are leaving are excluded.
func Successors(
	runner buckthorndyke.RunnerID, owner buckthorndyke.VMID, members []buckthorndyke.Member, n int,
) []buckthorndyke.VMID {
	var own buckthorndyke.DomainID
	domains := make(map[buckthorndyke.VMID]buckthorndyke.DomainID, len(members))
	ids := make([]buckthorndyke.VMID, 0, len(members))
	for _, m := range members {
		if m.VM == owner {
			own = m.Domain
		} else if !m.Leaving {
			ids = append(ids, m.VM)
			domains[m.VM] = m.Domain
		}
	}
	ranked := Rank("runner/"+string(runner), ids)
	if len(ranked) <= n {
		return ranked
	}
	outside := func(vm buckthorndyke.VMID) bool { return domains[vm] != own }
	successors := slices.Clone(ranked[:n])
	if at := slices.IndexFunc(ranked, outside); n > 1 && at >= n {
		successors[n-1] = ranked[at]
	}
	return successors
}
