package placer

import "github.com/buckthorndyke/buckthorndyke"

// Assignment is the part of all placements that one VM proposes.
type Assignment struct {
	Models []AssignedModel
	// Reclaimed are the runners that the VM list holds as leaving.
	Reclaimed map[buckthorndyke.RunnerID]bool
}

// AssignedModel is a model with the placement that it should have.
type AssignedModel struct {
	Desired  []buckthorndyke.RunnerID
	Model    buckthorndyke.ModelID
	Replicas int
}

// Assign returns the placements that self proposes. It is the same as long as
// the inputs that SameInputs compares are.
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

// SameInputs reports whether Assign returns the same for both states.
func SameInputs(s, other buckthorndyke.State, l, otherL buckthorndyke.Liveness) bool {
	return s.Members.Same(other.Members) && s.Ownerships.Same(other.Ownerships) &&
		s.RulesVersion == other.RulesVersion && s.Placements.Len() == other.Placements.Len() &&
		l.Suspects.Same(otherL.Suspects) && l.VMs.Same(otherL.VMs)
}

// proposers returns the members that propose placements.
func activeMembers(s buckthorndyke.State, l buckthorndyke.Liveness) []buckthorndyke.VMID {
	members := make([]buckthorndyke.VMID, 0, s.Members.Len())
	for vm, m := range s.Members.All() {
		if !m.Leaving && !l.Suspected(vm) {
			members = append(members, vm)
		}
	}
	return members
}

// reclaimed returns the runners that the VM list holds as leaving.
func reclaimed(s buckthorndyke.State, l buckthorndyke.Liveness) map[buckthorndyke.RunnerID]bool {
	runners := make(map[buckthorndyke.RunnerID]bool)
	for vm, listed := range l.VMs.All() {
		if listed.Leaving && s.Ownerships.Has(buckthorndyke.RunnerID(vm)) {
			runners[buckthorndyke.RunnerID(vm)] = true
		}
	}
	return runners
}

// usableRunners returns the runners that have an owner and stay.
func usableRunners(s buckthorndyke.State, l buckthorndyke.Liveness) []Runner {
	runners := make([]Runner, 0, s.Ownerships.Len())
	for id, o := range s.Ownerships.All() {
		if o.Owner != "" && l.Listed(buckthorndyke.VMID(id)) {
			runners = append(runners, Runner{Domain: o.Domain, ID: id, MemoryMB: o.MemoryMB})
		}
	}
	return runners
}
