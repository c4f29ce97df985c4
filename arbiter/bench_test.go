package arbiter_test

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/arbiter"
	"github.com/buckthorndyke/buckthorndyke/encoder"
)

// benchSizes are fleet sizes, from a small fleet to the largest one to support.
var benchSizes = []struct{ members, models, runners int }{
	{8, 65, 12}, {50, 100, 75}, {205, 165, 300}, {410, 330, 600},
}

// BenchmarkApply measures the cost of applying one record at several state sizes.
func BenchmarkApply(b *testing.B) {
	for _, size := range benchSizes {
		name := fmt.Sprintf("members=%d/models=%d/runners=%d", size.members, size.models, size.runners)
		b.Run(name, func(b *testing.B) {
			a := newArbiter()
			s := benchState(a, size.members, size.models, size.runners)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				offset := s.Offset + 1
				s, _ = a.Apply(s, offset, 0, benchProposal(s, offset, i, size.runners))
			}
		})
	}
}

// BenchmarkState measures the memory that a state occupies and the size of its
// checkpoint, in bytes.
func BenchmarkState(b *testing.B) {
	for _, size := range benchSizes {
		name := fmt.Sprintf("members=%d/models=%d/runners=%d", size.members, size.models, size.runners)
		b.Run(name, func(b *testing.B) {
			var s buckthorndyke.State
			before := heap()
			s = benchState(newArbiter(), size.members, size.models, size.runners)
			held := heap() - before
			for b.Loop() {
				_ = s.Offset
			}
			b.ReportMetric(float64(held), "held-B")
			b.ReportMetric(float64(proto.Size(encoder.EncodeState(s))), "checkpoint-B")
			runtime.KeepAlive(s)
		})
	}
}

// benchProposal returns a proposal that changes one entry of the state.
func benchProposal(s buckthorndyke.State, offset buckthorndyke.Offset, i, runners int) buckthorndyke.Proposal {
	o, _ := s.OwnershipOf(benchRunner(i % runners))
	return buckthorndyke.Proposal{
		Change:      buckthorndyke.TakeChange{Base: o.Epoch, Ownership: o},
		ID:          benchID(offset),
		Incarnation: o.Incarnation,
		Proposer:    o.Owner,
	}
}

func benchID(offset buckthorndyke.Offset) buckthorndyke.ProposalID {
	return buckthorndyke.ProposalID(fmt.Sprintf("00000000-0000-4000-8000-%012d", uint64(offset)))
}

func benchRunner(i int) buckthorndyke.RunnerID {
	return buckthorndyke.RunnerID(fmt.Sprintf("lakes-east-runner-%03d", i))
}

func benchVM(i int) buckthorndyke.VMID {
	return buckthorndyke.VMID(fmt.Sprintf("lakes-east-entry-%03d", i))
}

// benchState returns a state with as many proposal results as an arbiter retains.
func benchState(a *arbiter.Arbiter, members, models, runners int) buckthorndyke.State {
	var rules buckthorndyke.Rules
	var s buckthorndyke.State
	for i := range models {
		model := buckthorndyke.ModelID(fmt.Sprintf("model-%03d", i))
		rules = rules.WithModel(buckthorndyke.ModelRule{ID: model, MemoryMB: 14000, Replicas: 3})
		placement := buckthorndyke.Placement{Model: model, Version: 1}
		for j := range 3 {
			placement = placement.WithSlot(buckthorndyke.ReplicaSlot{Runner: benchRunner((i + 7*j) % runners)})
		}
		s = s.WithPlacement(placement)
	}
	s = s.WithRules(rules, "", 1)
	for i := range members {
		s = s.WithMember(buckthorndyke.Member{
			Domain: "lakes-east-1", Incarnation: 1, PeerAddress: "10.0.0.1:7000", Version: 1, VM: benchVM(i),
		})
	}
	for i := range runners {
		s = s.WithOwnership(buckthorndyke.Ownership{
			Address: "10.0.0.1:9000", ChecksFencingToken: true, Domain: "lakes-east-1", Epoch: 1, Incarnation: 1,
			MemoryMB: 80000, Owner: benchVM(i % members), Runner: benchRunner(i), Slots: 8,
			Successors: []buckthorndyke.VMID{benchVM((i + 1) % members), benchVM((i + 2) % members)},
		})
	}
	for i := range 4200 {
		s, _ = a.Apply(s, s.Offset+1, 0, benchProposal(s, s.Offset+1, i, runners))
	}
	return s
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
