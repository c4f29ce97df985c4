package placer

import "github.com/buckthorndyke/buckthorndyke"

// Runner holds the properties of a runner that affect the placement of models.
type Runner struct {
	Domain   buckthorndyke.DomainID
	ID       buckthorndyke.RunnerID
	MemoryMB int
}

// Desired returns the runners that should get a replica slot for the model of rule,
// best first. Replicas are spread over failure domains as evenly as the runners with
// enough memory allow.
func Desired(rule buckthorndyke.ModelRule, runners []Runner) []buckthorndyke.RunnerID {
	candidates := candidatesFor(rule, runners)
	used := make(map[buckthorndyke.DomainID]int)
	var desired []buckthorndyke.RunnerID
	for len(desired) < rule.Replicas && len(candidates) > 0 {
		best := 0
		for i, c := range candidates {
			if c.precedes(candidates[best], used) {
				best = i
			}
		}
		desired = append(desired, candidates[best].runner.ID)
		used[candidates[best].runner.Domain]++
		candidates[best] = candidates[len(candidates)-1]
		candidates = candidates[:len(candidates)-1]
	}
	return desired
}

// Proposer returns the VM that proposes the placement of model, or "" if there are no
// members.
func Proposer(model buckthorndyke.ModelID, members []buckthorndyke.VMID) buckthorndyke.VMID {
	return Top(modelKey(model), members)
}

// candidate is a runner with enough memory for a model.
type candidate struct {
	runner Runner
	score  uint64
}

// precedes reports whether c is chosen before other. used holds the number of replicas
// that the failure domains already have.
func (c candidate) precedes(other candidate, used map[buckthorndyke.DomainID]int) bool {
	mine, others := used[c.runner.Domain], used[other.runner.Domain]
	if mine != others {
		return mine < others
	}
	if c.score != other.score {
		return c.score > other.score
	}
	return c.runner.ID < other.runner.ID
}

// candidatesFor returns the runners with enough memory for the model of rule.
func candidatesFor(rule buckthorndyke.ModelRule, runners []Runner) []candidate {
	candidates := make([]candidate, 0, len(runners))
	for _, r := range runners {
		if r.MemoryMB >= rule.MemoryMB {
			candidates = append(candidates, candidate{runner: r, score: Score(string(rule.ID), string(r.ID))})
		}
	}
	return candidates
}

// modelKey returns the rendezvous key that selects the proposer of a placement.
func modelKey(model buckthorndyke.ModelID) string {
	return "model/" + string(model)
}
