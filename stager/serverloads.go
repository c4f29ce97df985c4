package stager

import (
	"cmp"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

// minReportingVMs is the number of VMs from which on each has too few requests to
// estimate the load of servers from its own.
const minReportingVMs = 16

// ServerLoads holds the requests in flight at servers that all VMs report. It is
// immutable.
type ServerLoads struct {
	reports buckthorndyke.Table[buckthorndyke.VMID, loadReport]
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
	sums := make(map[buckthorndyke.RunnerID]int)
	for id, r := range l.reports.All() {
		if id == vm || now >= r.at+reportTTL {
			continue
		}
		for _, s := range r.list {
			sums[s.Server] += s.Requests
		}
	}
	out := make([]buckthorndyke.ServerLoad, 0, len(sums))
	for id, n := range sums {
		out = append(out, buckthorndyke.ServerLoad{Requests: n, Server: id})
	}
	slices.SortFunc(out, func(a, b buckthorndyke.ServerLoad) int { return cmp.Compare(a.Server, b.Server) })
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
	l.reports = l.reports.With(vm, loadReport{at: now, list: list})
	return l
}
