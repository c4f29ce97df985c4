package stager_test

import (
	"fmt"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/stager"
)

// largeView returns a view of the size of the largest deployments: 60 runners with
// three of 350 models each, and 58 VMs.
func largeView() stager.View {
	cfg := &buckthorndyke.EngineConfig{AdapterSlots: 8, LoadsPerSecond: 24, MemoryMB: memoryMB, Slots: 24}
	for n := range 350 {
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
	for i := range 60 {
		b := runner(buckthorndyke.RunnerID(fmt.Sprintf("r%02d", i)), 3*i, 3*i+1, 3*i+2)
		b.Cached = make(map[buckthorndyke.ModelID]buckthorndyke.Tier)
		for n := range 10 {
			b.Cached[key((3*i+n*7)%350).Model] = buckthorndyke.TierDisk
		}
		list.Servers = list.Servers.With(b.ID, b)
		all = append(all, b)
	}
	v = v.WithBackends(list, now)
	for _, b := range all {
		v = v.WithReport(buckthorndyke.BackendReport{Backend: b}, now)
	}
	for n := range 58 {
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

func BenchmarkWithDemand(b *testing.B) {
	v := largeView()
	for i := 0; b.Loop(); i++ {
		withLargeDemand(v, i%58)
	}
}

func BenchmarkServes(b *testing.B) {
	v := largeView()
	for b.Loop() {
		v.Serves(key(300))
	}
}

func BenchmarkRunnerModels(b *testing.B) {
	v := largeView()
	for b.Loop() {
		v.RunnerModels(nil, now, now)
	}
}

func BenchmarkWithReport(b *testing.B) {
	v := largeView()
	r := buckthorndyke.BackendReport{Backend: runner("r07", 21, 22, 23)}
	for b.Loop() {
		v.WithReport(r, now)
	}
}
