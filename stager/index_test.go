package stager_test

import (
	"fmt"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/stager"
)

// assertTold reports an error unless the index of v has just the given runners for a VM
// that had its last reply at now and waits for the models of entries.
func assertTold(t *testing.T, v stager.View, entries []buckthorndyke.DemandEntry, want ...buckthorndyke.RunnerID) {
	t.Helper()
	var got []buckthorndyke.RunnerID
	for _, r := range v.Index(stager.Index{}, now).RunnerModels(entries, now, now) {
		got = append(got, r.Runner)
	}
	asserter.Equal(t, got, want)
}

// TestIndex guards against a leader that sends the models of all runners to all VMs.
func TestIndex(t *testing.T) {
	listed := stager.NewView(4).WithRouting(routing()).WithBackends(listOf(runner("a", 1), runner("b", 2)), now)
	t.Run("a report that agrees with the list is not told", func(t *testing.T) {
		assertTold(t, listed.WithReport(buckthorndyke.BackendReport{Backend: runner("a", 1)}, now), nil)
	})
	t.Run("a report that differs from the list is told", func(t *testing.T) {
		assertTold(t, listed.WithReport(buckthorndyke.BackendReport{Backend: runner("a", 3)}, now), nil, "a")
	})
	t.Run("a change is told as long as a VM may lack it", func(t *testing.T) {
		v := listed.WithReport(buckthorndyke.BackendReport{Backend: runner("a", 3)}, now-5*buckthorndyke.Second)
		assertTold(t, v, nil)
		asserter.Equal(t, len(v.Index(stager.Index{}, now).RunnerModels(nil, 0, now)), 1)
		asserter.Equal(t, len(v.Index(stager.Index{}, now+buckthorndyke.Minute).RunnerModels(nil, 0, now+buckthorndyke.Minute)), 0)
	})
	t.Run("the runners of a model that requests wait for are told once", func(t *testing.T) {
		v := listed.WithReport(buckthorndyke.BackendReport{Backend: runner("a", 2)}, now)
		assertTold(t, v, []buckthorndyke.DemandEntry{{Key: key(2), Waiting: 1}}, "a", "b")
		assertTold(t, v, []buckthorndyke.DemandEntry{{Key: key(2), Running: 1}}, "a")
	})
	t.Run("the index of a small fleet is always that of its view", func(t *testing.T) {
		before := listed.Index(stager.Index{}, now)
		after := listed.WithReport(buckthorndyke.BackendReport{Backend: runner("a", 3)}, now)
		asserter.True(t, before.IndexOf(listed) && !before.IndexOf(after), "an index does not know its view")
		asserter.True(t, after.Index(before, now).IndexOf(after), "the index is outdated")
	})
	t.Run("the index of a large fleet is not made for each message", func(t *testing.T) {
		var servers []buckthorndyke.Backend
		for i := range 3000 {
			servers = append(servers, runner(buckthorndyke.RunnerID(fmt.Sprintf("r%d", i)), 1))
		}
		v := stager.NewView(4).WithRouting(routing()).WithBackends(listOf(servers...), now)
		before := v.Index(stager.Index{}, now)
		v = v.WithReport(buckthorndyke.BackendReport{Backend: runner("r7", 3)}, now)
		asserter.True(t, !v.Index(before, now+5).IndexOf(v), "the index is made for a message")
		asserter.True(t, v.Index(before, now+buckthorndyke.Second).IndexOf(v), "the index is outdated")
	})
}
