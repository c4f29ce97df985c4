package placer_test

import (
	"fmt"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/placer"
)

// fleetSizes range from the current size of the fleet to the planned maximum.
var fleetSizes = []struct{ members, models, runners int }{
	{8, 65, 12}, {50, 100, 75}, {205, 165, 300}, {410, 330, 600},
}

// BenchmarkAssign measures the planner's work on one VM after a change of the fleet or
// of the rules.
func BenchmarkAssign(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("members=%d/models=%d/runners=%d", size.members, size.models, size.runners), func(b *testing.B) {
			s := stateOf(size.members, size.models, size.runners)
			b.ReportAllocs()
			for b.Loop() {
				placer.Assign(s, buckthorndyke.Liveness{}, "v000")
			}
		})
	}
}

// BenchmarkDesired measures the choice of runners for one model.
func BenchmarkDesired(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("runners=%d", size.runners), func(b *testing.B) {
			runners := make([]placer.Runner, size.runners)
			for i := range runners {
				runners[i] = placer.Runner{Domain: "d", ID: buckthorndyke.RunnerID(fmt.Sprint("r", i))}
			}
			rule := buckthorndyke.ModelRule{ID: "m", Replicas: 3}
			b.ReportAllocs()
			for b.Loop() {
				placer.Desired(rule, runners)
			}
		})
	}
}

func stateOf(members, models, runners int) buckthorndyke.State {
	var s buckthorndyke.State
	for _, m := range membersOf(members, 8) {
		s = s.WithMember(m)
	}
	for i := range runners {
		s = s.WithOwnership(buckthorndyke.Ownership{
			Domain:   buckthorndyke.DomainID(fmt.Sprint("d", i%8)),
			MemoryMB: 1000,
			Owner:    buckthorndyke.VMID(fmt.Sprintf("v%03d", i%members)),
			Runner:   buckthorndyke.RunnerID(fmt.Sprintf("r%03d", i)),
		})
	}
	var rules buckthorndyke.Rules
	for i := range models {
		model := buckthorndyke.ModelID(fmt.Sprintf("m%03d", i))
		rules = rules.WithModel(buckthorndyke.ModelRule{ID: model, MemoryMB: 10, Replicas: 3})
		s = s.WithPlacement(buckthorndyke.Placement{Model: model, Version: 1})
	}
	return s.WithRules(rules, "", 1)
}
