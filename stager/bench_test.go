package stager_test

import (
	"fmt"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/stager"
)

// largeView returns a view of the size of the largest deployments: 60 runners with
// three of 350 models each, and 58 VMs.
func largeView() stager.View { return fleetView(60, 350, 58) }

// hugeView returns a view of a fleet of hundreds of VMs.
func hugeView() stager.View { return fleetView(3000, 900, 300) }

// fleetView returns a view of runners with three of the models each.
func fleetView(runners, models, vms int) stager.View {
	cfg := &buckthorndyke.EngineConfig{AdapterSlots: 8, LoadsPerSecond: 24, MemoryMB: memoryMB, Slots: 24}
	for n := range models {
		cfg.Models = cfg.Models.With(key(n).Model, buckthorndyke.ModelConfig{
			AdapterMB: 40, Adapters: 9,
			LoadTimes: map[buckthorndyke.Tier]buckthorndyke.Millis{
				buckthorndyke.TierDisk: buckthorndyke.Second, buckthorndyke.TierMemory: 400, buckthorndyke.TierRemote: 6 * buckthorndyke.Second,
			},
			MemoryMB: 65_000,
		})
	}
	r := buckthorndyke.Routing{Version: 1}.WithService(buckthorndyke.BackendService{Engine: cfg, ID: engines})
	var list buckthorndyke.Backends
	v := stager.NewView(4).WithRouting(r)
	var all []buckthorndyke.Backend
	for i := range runners {
		b := runner(buckthorndyke.RunnerID(fmt.Sprintf("r%02d", i)), 3*i%models, (3*i+1)%models, (3*i+2)%models)
		b.Cached = make(map[buckthorndyke.ModelID]buckthorndyke.Tier)
		for n := range 10 {
			b.Cached[key((3*i+n*7)%models).Model] = buckthorndyke.TierDisk
		}
		list.Servers = list.Servers.With(b.ID, b)
		all = append(all, b)
	}
	v = v.WithBackends(list, now)
	for _, b := range all {
		v = v.WithReport(buckthorndyke.BackendReport{Backend: b}, now)
	}
	for n := range vms {
		v = withLargeDemand(v, n)
		v = withLargeDemand(v, n)
	}
	return v
}

// withLargeDemand returns v with a report of VM number n.
func withLargeDemand(v stager.View, n int) stager.View {
	var lines []buckthorndyke.DemandEntry
	for i := range 6 {
		lines = append(lines, buckthorndyke.DemandEntry{Arrivals: 1, Key: key((n*5 + i*31) % 350), Running: 1})
	}
	lines = append(lines, buckthorndyke.DemandEntry{Key: key(200 + n*2), TimeLeft: 900, Waiting: 1})
	return v.WithDemand(buckthorndyke.VMID(fmt.Sprintf("vm-%02d", n)), lines, now)
}

func BenchmarkPlan(b *testing.B) {
	v := largeView()
	for b.Loop() {
		v.Plan(now)
	}
}

func BenchmarkPlanHuge(b *testing.B) {
	v := hugeView()
	for b.Loop() {
		v.Plan(now)
	}
}

func BenchmarkRunnerModelsHuge(b *testing.B) {
	v := hugeView()
	entries := []buckthorndyke.DemandEntry{{Key: key(200), Waiting: 1}}
	index := v.Index(stager.Index{}, now)
	for b.Loop() {
		index.RunnerModels(entries, now, now)
	}
}

func BenchmarkIndexHuge(b *testing.B) {
	v := hugeView()
	for b.Loop() {
		v.Index(stager.Index{}, now).Serves(key(899))
	}
}

func BenchmarkWithDemand(b *testing.B) {
	v := largeView()
	for i := 0; b.Loop(); i++ {
		withLargeDemand(v, i%58)
	}
}

func BenchmarkIndex(b *testing.B) {
	v := largeView()
	for b.Loop() {
		v.Index(stager.Index{}, now).Serves(key(300))
	}
}

func BenchmarkRunnerModels(b *testing.B) {
	v := largeView()
	index := v.Index(stager.Index{}, now)
	for b.Loop() {
		index.RunnerModels(nil, now, now)
	}
}

func BenchmarkWithReport(b *testing.B) {
	v := largeView()
	r := buckthorndyke.BackendReport{Backend: runner("r07", 21, 22, 23)}
	for b.Loop() {
		v.WithReport(r, now)
	}
}

func BenchmarkCrowding(b *testing.B) {
	v := largeView()
	for b.Loop() {
		v.WithCrowding(now)
	}
}

func BenchmarkCrowdingHuge(b *testing.B) {
	v := hugeView()
	for b.Loop() {
		v.WithCrowding(now)
	}
}
