package arbiter

import "github.com/buckthorndyke/buckthorndyke"

// applyJoin adds a member. A later incarnation replaces an earlier one, whose
// ownerships thereby lapse.
func applyJoin(s buckthorndyke.State, r record, c buckthorndyke.JoinChange) (buckthorndyke.State, string) {
	m := c.Member
	if m.VM == "" || !r.proposedBy(m.VM, m.Incarnation) {
		return s, reasonProposer
	}
	have, ok := s.Members.Get(m.VM)
	if ok && have.Incarnation > m.Incarnation {
		return s, reasonIncarnation
	}
	if ok && have.Incarnation == m.Incarnation {
		m.Leaving = m.Leaving || have.Leaving
	}
	return s.WithMember(m.WithVersion(r.offset)), ""
}

// applyLeave removes a member or marks it as leaving.
func applyLeave(s buckthorndyke.State, r record, c buckthorndyke.LeaveChange) (buckthorndyke.State, string) {
	have, ok := s.Members.Get(c.VM)
	switch {
	case !ok:
		return s, reasonNoMember
	case have.Incarnation != c.Incarnation:
		return s, reasonIncarnation
	case c.Draining:
		return s.WithMember(have.WithLeaving().WithVersion(r.offset)), ""
	default:
		return s.WithoutMember(c.VM), ""
	}
}

// isMember reports whether the given incarnation of vm is a member.
func isMember(s buckthorndyke.State, vm buckthorndyke.VMID, incarnation buckthorndyke.Incarnation) bool {
	m, ok := s.Members.Get(vm)
	return ok && m.Incarnation == incarnation
}

// mayOwn reports whether the given incarnation of vm is a member that is not leaving.
func mayOwn(s buckthorndyke.State, vm buckthorndyke.VMID, incarnation buckthorndyke.Incarnation) bool {
	m, ok := s.Members.Get(vm)
	return ok && m.Incarnation == incarnation && !m.Leaving
}
