package selector_test

import (
	"fmt"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/selector"
)

// fleetModel returns the name of model number n.
func fleetModel(n int) buckthorndyke.ModelID {
	return buckthorndyke.ModelID(fmt.Sprintf("model-%04d", n))
}

// fleetView returns a view of runners with three of the models each, and of seven
// servers of a plain service.
func fleetView(runners, models int) selector.View {
	var all []buckthorndyke.Backend
	var loads []buckthorndyke.ServerLoad
	for n := range runners {
		id := buckthorndyke.RunnerID(fmt.Sprintf("i-%06x", n*7919))
		all = append(all, runner(id, fleetModel(3*n%models), fleetModel((3*n+1)%models), fleetModel((3*n+2)%models)))
		loads = append(loads, buckthorndyke.ServerLoad{Requests: n % 9, Server: id})
	}
	for n := range 7 {
		all = append(all, server(buckthorndyke.RunnerID(fmt.Sprintf("p-%d", n))))
	}
	return viewOf(all...).WithOtherVMsLoads(loads, now)
}

// benchmarkChoose measures one choice for a model on several runners.
func benchmarkChoose(b *testing.B, runners, models int) {
	v := fleetView(runners, models)
	q := selector.Query{Key: buckthorndyke.ModelKey{Model: fleetModel(1), Service: engines}, Now: now}
	for b.Loop() {
		q.Seed++
		v.Choose(q)
	}
}

// benchmarkChooseNone measures a choice for a model that no runner has loaded.
func benchmarkChooseNone(b *testing.B, runners, models int) {
	v := fleetView(runners, models)
	q := selector.Query{Key: buckthorndyke.ModelKey{Model: "missing", Service: engines}, Now: now}
	for b.Loop() {
		q.Seed++
		v.Choose(q)
	}
}

func BenchmarkChoose56(b *testing.B)       { benchmarkChoose(b, 56, 42) }
func BenchmarkChoose3000(b *testing.B)     { benchmarkChoose(b, 3000, 900) }
func BenchmarkChooseNone56(b *testing.B)   { benchmarkChooseNone(b, 56, 42) }
func BenchmarkChooseNone3000(b *testing.B) { benchmarkChooseNone(b, 3000, 900) }

// benchmarkBackends measures a new list of servers.
func benchmarkBackends(b *testing.B, runners, models int) {
	v := fleetView(runners, models)
	list := v.List()
	for b.Loop() {
		list.ModelsAt++
		v = v.WithBackends(list)
	}
}

func BenchmarkWithBackends56(b *testing.B)   { benchmarkBackends(b, 56, 42) }
func BenchmarkWithBackends3000(b *testing.B) { benchmarkBackends(b, 3000, 900) }

// benchmarkRunnerModels measures a reply of the leader that changes two runners.
func benchmarkRunnerModels(b *testing.B, runners, models int) {
	v := fleetView(runners, models)
	var changed []buckthorndyke.RunnerModels
	for n := range 2 {
		id := buckthorndyke.RunnerID(fmt.Sprintf("i-%06x", n*7919))
		changed = append(changed, buckthorndyke.RunnerModels{Incarnation: 1, LoadedModels: []buckthorndyke.LoadedModel{{Model: fleetModel(n)}}, Runner: id})
	}
	for b.Loop() {
		v.WithRunnerModels(changed, now)
	}
}

func BenchmarkWithRunnerModels56(b *testing.B)   { benchmarkRunnerModels(b, 56, 42) }
func BenchmarkWithRunnerModels3000(b *testing.B) { benchmarkRunnerModels(b, 3000, 900) }

// benchmarkChooseAtRisk measures a choice by expected times.
func benchmarkChooseAtRisk(b *testing.B, runners, models int) {
	v := fleetView(runners, models)
	q := selector.Query{
		Key: buckthorndyke.ModelKey{Model: fleetModel(1), Service: engines}, Now: now, OutputTokens: 65, Prefix: 77, PrefixTokens: 600,
		Target: 400, Tokens: 20_000,
	}
	for n, listed := range v.List().Servers.All() {
		s := selector.Sent{Backend: listed, Key: q.Key, OutputTokens: 65, ReadTokens: 100 * len(n)}
		v = v.WithFirstEvent(s, 20, now, "").WithFirstEvent(s, 30, now, "").WithRest(s, 200, now)
	}
	for b.Loop() {
		q.Seed++
		v.Choose(q)
	}
}

func BenchmarkChooseAtRisk56(b *testing.B)   { benchmarkChooseAtRisk(b, 56, 42) }
func BenchmarkChooseAtRisk3000(b *testing.B) { benchmarkChooseAtRisk(b, 3000, 900) }

// benchmarkOtherVMsLoads measures a reply of the leader with the loads of all runners.
func benchmarkOtherVMsLoads(b *testing.B, runners, models int) {
	v := fleetView(runners, models)
	var loads []buckthorndyke.ServerLoad
	for id := range v.List().Servers.All() {
		loads = append(loads, buckthorndyke.ServerLoad{PromptTokens: 900, Requests: 3, Server: id})
	}
	for b.Loop() {
		v = v.WithOtherVMsLoads(loads, now)
	}
}

func BenchmarkWithOtherVMsLoads56(b *testing.B)   { benchmarkOtherVMsLoads(b, 56, 42) }
func BenchmarkWithOtherVMsLoads3000(b *testing.B) { benchmarkOtherVMsLoads(b, 3000, 900) }

// BenchmarkAttempt56 measures what an attempt changes in a view: its load, its first event
// and its end.
func BenchmarkAttempt56(b *testing.B) {
	v := fleetView(56, 42)
	listed, _ := v.List().Servers.Get("i-000000")
	load := selector.Load{Held: 700, Requests: 1, Tokens: 640, Unread: 640}
	s := selector.Sent{Backend: listed, Key: buckthorndyke.ModelKey{Model: fleetModel(0), Service: engines}, OutputTokens: 60, ReadTokens: 640}
	for b.Loop() {
		v = v.WithLoad(listed.ID, load).WithFirstEvent(s, 20, now, "").WithLoad(listed.ID, load.Negative()).
			WithRoomUsed(listed.ID, now, now).WithRest(s, 200, now)
	}
}

// benchmarkChooseFull measures a choice for a model whose runners have no room.
func benchmarkChooseFull(b *testing.B, runners, models int) {
	v := fleetView(runners, models)
	q := selector.Query{Key: buckthorndyke.ModelKey{Model: fleetModel(1), Service: engines}, Now: now}
	for id := range v.List().Servers.All() {
		v = v.WithLoad(id, selector.Load{Requests: 40})
	}
	for b.Loop() {
		q.Seed++
		v.Choose(q)
	}
}

func BenchmarkChooseFull56(b *testing.B)   { benchmarkChooseFull(b, 56, 42) }
func BenchmarkChooseFull3000(b *testing.B) { benchmarkChooseFull(b, 3000, 900) }
