package placer

import "github.com/buckthorndyke/buckthorndyke"

// Assignment lists the placements that one VM proposes.
type Assignment struct {
	Models []AssignedModel
	// Reclaimed holds the runners that are leaving according to the VM list.
	Reclaimed map[buckthorndyke.RunnerID]bool
}

// AssignedModel is a model with its desired placement.
type AssignedModel struct {
	Desired  []buckthorndyke.RunnerID
	Model    buckthorndyke.ModelID
	Replicas int
}

// Assign returns the placements that self proposes. Its result changes only if one of
// the inputs that SameInputs compares does.
func Assign(s buckthorndyke.State, l buckthorndyke.Liveness, self buckthorndyke.VMID) Assignment {
	members := NewRendezvous(activeMembers(s, l))
	runners := usableRunners(s, l)
	a := Assignment{Reclaimed: reclaimed(s, l)}
	for model, rule := range s.Rules.Models.All() {
		if !rule.IsAdapter() && members.Top(modelKey(model)) == self {
			a.Models = append(a.Models, AssignedModel{
				Desired: Desired(rule, runners), Model: model, Replicas: rule.Replicas,
			})
		}
	}
	for model := range s.Placements.All() {
		if !s.Rules.Models.Has(model) && members.Top(modelKey(model)) == self {
			a.Models = append(a.Models, AssignedModel{Model: model})
		}
	}
	return a
}

// SameInputs reports whether Assign is known to return the same assignment for both
// states.
func SameInputs(s, other buckthorndyke.State, l, otherL buckthorndyke.Liveness) bool {
	return s.Members.Same(other.Members) && s.Ownerships.Same(other.Ownerships) &&
		s.RulesVersion == other.RulesVersion && s.Placements.Len() == other.Placements.Len() &&
		l.Suspects.Same(otherL.Suspects) && l.VMs.Same(otherL.VMs)
}

// activeMembers returns the members that propose placements: those that are neither
// leaving nor suspected.
func activeMembers(s buckthorndyke.State, l buckthorndyke.Liveness) []buckthorndyke.VMID {
	members := make([]buckthorndyke.VMID, 0, s.Members.Len())
	for vm, m := range s.Members.All() {
		if !m.Leaving && !l.Suspected(vm) {
			members = append(members, vm)
		}
	}
	return members
}

// reclaimed returns the runners that are leaving according to the VM list.
func reclaimed(s buckthorndyke.State, l buckthorndyke.Liveness) map[buckthorndyke.RunnerID]bool {
	runners := make(map[buckthorndyke.RunnerID]bool)
	for vm, listed := range l.VMs.All() {
		if listed.Leaving && s.Ownerships.Has(buckthorndyke.RunnerID(vm)) {
			runners[buckthorndyke.RunnerID(vm)] = true
		}
	}
	return runners
}

// usableRunners returns the runners that have an owner and are listed.
func usableRunners(s buckthorndyke.State, l buckthorndyke.Liveness) []Runner {
	runners := make([]Runner, 0, s.Ownerships.Len())
	for id, o := range s.Ownerships.All() {
		if o.Owner != "" && l.Listed(buckthorndyke.VMID(id)) {
			runners = append(runners, Runner{Domain: o.Domain, ID: id, MemoryMB: o.MemoryMB})
		}
	}
	return runners
}
