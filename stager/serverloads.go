package stager

import "github.com/buckthorndyke/buckthorndyke"

// minReportingVMs is the number of VMs from which on each has too few requests to
// estimate the load of servers from its own.
const minReportingVMs = 16

// ServerLoads holds the requests in flight at servers that all VMs report. It is
// immutable.
type ServerLoads struct {
	reports buckthorndyke.Table[buckthorndyke.VMID, loadReport]
	// totals adds the requests in all reports up, so that an answer does not have to.
	totals buckthorndyke.Table[buckthorndyke.RunnerID, int]
}

// loadReport is the last report of one VM.
type loadReport struct {
	at   buckthorndyke.Millis
	list []buckthorndyke.ServerLoad
}

// OtherVMsLoads returns the requests in flight at servers of all VMs but vm, as far
// as they have reported recently. It returns nil if fewer than minReportingVMs VMs have
// reported.
func (l ServerLoads) OtherVMsLoads(vm buckthorndyke.VMID, now buckthorndyke.Millis) []buckthorndyke.ServerLoad {
	if l.reports.Len() < minReportingVMs {
		return nil
	}
	excluded := make(map[buckthorndyke.RunnerID]int)
	for id, r := range l.reports.All() {
		if id != vm && now < r.at+reportTTL {
			continue
		}
		for _, s := range r.list {
			excluded[s.Server] += s.Requests
		}
	}
	out := make([]buckthorndyke.ServerLoad, 0, l.totals.Len())
	for id, n := range l.totals.All() {
		if n -= excluded[id]; n > 0 {
			out = append(out, buckthorndyke.ServerLoad{Requests: n, Server: id})
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
		l = l.withRequests(s.Server, -s.Requests)
	}
	for _, s := range list {
		l = l.withRequests(s.Server, s.Requests)
	}
	l.reports = l.reports.With(vm, loadReport{at: now, list: list})
	return l
}

// withRequests returns a copy with n more requests at a server.
func (l ServerLoads) withRequests(id buckthorndyke.RunnerID, n int) ServerLoads {
	total, _ := l.totals.Get(id)
	if total += n; total == 0 {
		l.totals = l.totals.Without(id)
	} else {
		l.totals = l.totals.With(id, total)
	}
	return l
}
