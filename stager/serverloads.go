package stager

import "github.com/buckthorndyke/buckthorndyke"

// minReportingVMs is the number of VMs from which on each has too few requests to
// estimate the load of servers from its own.
const minReportingVMs = 16

// ServerLoads holds the requests in flight at servers, and their prompt tokens that the
// servers have not read yet, that all VMs report. It is immutable.
type ServerLoads struct {
	reports buckthorndyke.Table[buckthorndyke.VMID, loadReport]
	// totals adds the loads in all reports up, so that an answer does not have to.
	totals buckthorndyke.Table[buckthorndyke.RunnerID, buckthorndyke.ServerLoad]
}

// loadReport is the last report of one VM.
type loadReport struct {
	at   buckthorndyke.Millis
	list []buckthorndyke.ServerLoad
}

// OtherVMsLoads returns the loads of servers by all VMs but vm, as far
// as they have reported recently. It returns nil if fewer than minReportingVMs VMs have
// reported.
func (l ServerLoads) OtherVMsLoads(vm buckthorndyke.VMID, now buckthorndyke.Millis) []buckthorndyke.ServerLoad {
	if l.reports.Len() < minReportingVMs {
		return nil
	}
	excluded := make(map[buckthorndyke.RunnerID]buckthorndyke.ServerLoad)
	for id, r := range l.reports.All() {
		if id != vm && now < r.at+reportTTL {
			continue
		}
		for _, s := range r.list {
			excluded[s.Server] = sumOf(excluded[s.Server], s, 1)
		}
	}
	out := make([]buckthorndyke.ServerLoad, 0, l.totals.Len())
	for id, total := range l.totals.All() {
		if rest := sumOf(total, excluded[id], -1); rest.Requests > 0 {
			rest.Server = id
			out = append(out, rest)
		}
	}
	return out
}

// ReportingVMs returns the number of VMs that have reported recently.
func (l ServerLoads) ReportingVMs(now buckthorndyke.Millis) int {
	n := 0
	for _, r := range l.reports.All() {
		if now < r.at+reportTTL {
			n++
		}
	}
	return n
}

// WithReport returns a copy with the report of vm at now.
func (l ServerLoads) WithReport(vm buckthorndyke.VMID, list []buckthorndyke.ServerLoad, now buckthorndyke.Millis) ServerLoads {
	before, _ := l.reports.Get(vm)
	for _, s := range before.list {
		l = l.withLoad(s, -1)
	}
	for _, s := range list {
		l = l.withLoad(s, 1)
	}
	l.reports = l.reports.With(vm, loadReport{at: now, list: list})
	return l
}

// withLoad returns a copy with a load added to that of its server, or subtracted from it if
// sign is -1.
func (l ServerLoads) withLoad(s buckthorndyke.ServerLoad, sign int) ServerLoads {
	total, _ := l.totals.Get(s.Server)
	if total = sumOf(total, s, sign); total.Requests == 0 && total.PromptTokens == 0 {
		l.totals = l.totals.Without(s.Server)
	} else {
		l.totals = l.totals.With(s.Server, total)
	}
	return l
}

// sumOf returns a load with another one added, or subtracted if sign is -1.
func sumOf(l, other buckthorndyke.ServerLoad, sign int) buckthorndyke.ServerLoad {
	l.PromptTokens += sign * other.PromptTokens
	l.Requests += sign * other.Requests
	return l
}
