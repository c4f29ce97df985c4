package stager_test

import (
	"fmt"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/stager"
)

func TestLoads(t *testing.T) {
	at := func(server buckthorndyke.RunnerID, n int) buckthorndyke.ServerLoad {
		return buckthorndyke.ServerLoad{Requests: n, Server: server}
	}
	l := stager.ServerLoads{}.
		WithReport("vm-1", []buckthorndyke.ServerLoad{at("a", 2), at("b", 1)}, now).
		WithReport("vm-2", []buckthorndyke.ServerLoad{at("a", 3)}, now)
	small := l
	for n := range 16 {
		l = l.WithReport(buckthorndyke.VMID(fmt.Sprintf("idle-%d", n)), nil, now)
	}
	t.Run("no loads are returned while few VMs report", func(t *testing.T) {
		asserter.Equal(t, len(small.OtherVMsLoads("vm-3", now)), 0)
	})
	t.Run("the requests of the other VMs are added up", func(t *testing.T) {
		asserter.Equal(t, l.OtherVMsLoads("vm-3", now), []buckthorndyke.ServerLoad{at("a", 5), at("b", 1)})
		asserter.Equal(t, l.OtherVMsLoads("vm-1", now), []buckthorndyke.ServerLoad{at("a", 3)})
	})
	t.Run("unread prompt tokens are added up and replaced like requests", func(t *testing.T) {
		tokens := func(server buckthorndyke.RunnerID, n int) []buckthorndyke.ServerLoad {
			return []buckthorndyke.ServerLoad{{PromptTokens: n, Requests: 1, Server: server}}
		}
		l := l.WithReport("vm-1", tokens("a", 700), now).WithReport("vm-2", tokens("a", 9000), now)
		asserter.Equal(t, l.OtherVMsLoads("vm-3", now), []buckthorndyke.ServerLoad{{PromptTokens: 9700, Requests: 2, Server: "a"}})
		asserter.Equal(t, l.OtherVMsLoads("vm-2", now), tokens("a", 700))
		l = l.WithReport("vm-2", tokens("a", 0), now)
		asserter.Equal(t, l.OtherVMsLoads("vm-3", now), []buckthorndyke.ServerLoad{{PromptTokens: 700, Requests: 2, Server: "a"}})
	})
	t.Run("a VM's latest report counts", func(t *testing.T) {
		got := l.WithReport("vm-2", nil, now).OtherVMsLoads("vm-1", now)
		asserter.Equal(t, len(got), 0)
	})
	t.Run("only VMs that have reported recently are counted", func(t *testing.T) {
		asserter.Equal(t, l.ReportingVMs(now), 18)
		asserter.Equal(t, l.WithReport("vm-1", nil, now+2000).ReportingVMs(now+3000), 1)
	})
	t.Run("expired reports do not count", func(t *testing.T) {
		asserter.Equal(t, len(l.OtherVMsLoads("vm-3", now+3*buckthorndyke.Second)), 0)
	})
}
