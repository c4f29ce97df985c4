package stager_test

import (
	"fmt"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/stager"
)

// grownFloor returns a floor of the size of the grown deployments: 60 runners with
// three models each of 350, and 58 VMs.
func grownFloor() stager.View {
	facts := &buckthorndyke.EngineConfig{AdapterSlots: 8, LoadsPerSecond: 24, MemoryMB: memoryMB, Slots: 24}
	for n := range 350 {
		facts.Models = facts.Models.With(key(n).Model, buckthorndyke.ModelConfig{
			AdapterMB: 40, Adapters: 9, MemoryMB: 65_000,
			LoadTimes: map[buckthorndyke.Tier]buckthorndyke.Millis{
				buckthorndyke.TierDisk: buckthorndyke.Second, buckthorndyke.TierMemory: 400, buckthorndyke.TierRemote: 6 * buckthorndyke.Second,
			},
		})
	}
	r := buckthorndyke.Routing{Version: 1}.WithService(buckthorndyke.BackendService{Engine: facts, ID: engines})
	var list buckthorndyke.Backends
	f := stager.NewView(4).WithRouting(r)
	var all []buckthorndyke.Backend
	for i := range 60 {
		b := runner(buckthorndyke.RunnerID(fmt.Sprintf("r%02d", i)), 3*i, 3*i+1, 3*i+2)
		b.Cached = make(map[buckthorndyke.ModelID]buckthorndyke.Tier)
		for n := range 10 {
			b.Cached[key((3*i+n*7)%350).Model] = buckthorndyke.TierDisk
		}
		list.Servers = list.Servers.With(b.ID, b)
		all = append(all, b)
	}
	f = f.WithBackends(list, now)
	for _, b := range all {
		f = f.WithReport(buckthorndyke.BackendReport{Backend: b}, now)
	}
	for v := range 58 {
		f = withGrownDemand(f, v)
		f = withGrownDemand(f, v)
	}
	return f
}

// withGrownDemand returns f with a report of one of the VMs.
func withGrownDemand(f stager.View, v int) stager.View {
	var lines []buckthorndyke.DemandEntry
	for i := range 6 {
		lines = append(lines, buckthorndyke.DemandEntry{Arrivals: 1, Key: key((v*5 + i*31) % 350), Running: 1})
	}
	lines = append(lines, buckthorndyke.DemandEntry{TimeLeft: 900, Key: key(200 + v*2), Waiting: 1})
	return f.WithDemand(buckthorndyke.VMID(fmt.Sprintf("vm-%02d", v)), lines, now)
}

func BenchmarkPlan(b *testing.B) {
	f := grownFloor()
	for b.Loop() {
		f.Plan(now)
	}
}

func BenchmarkWithDemand(b *testing.B) {
	f := grownFloor()
	for i := 0; b.Loop(); i++ {
		withGrownDemand(f, i%58)
	}
}

func BenchmarkServes(b *testing.B) {
	f := grownFloor()
	for b.Loop() {
		f.Serves(key(300))
	}
}

func BenchmarkResidences(b *testing.B) {
	f := grownFloor()
	for b.Loop() {
		f.RunnerModels(nil, now, now)
	}
}

func BenchmarkWithReport(b *testing.B) {
	f := grownFloor()
	r := buckthorndyke.BackendReport{Backend: runner("r07", 21, 22, 23)}
	for b.Loop() {
		f.WithReport(r, now)
	}
}
