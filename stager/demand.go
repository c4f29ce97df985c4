package stager

import (
	"maps"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

// reportTTL is how long a VM's report of waiting and running requests is valid.
const reportTTL = 2500 * buckthorndyke.Millisecond

// Demand is the demand for models that all VMs report. It is immutable.
type Demand struct {
	// rates holds the arrival rate by the table key of a model or adapter.
	rates buckthorndyke.Table[string, buckthorndyke.Rate]
	// reported holds the VMs that have reported. Arrivals count from a VM's second
	// report.
	reported buckthorndyke.Table[buckthorndyke.VMID, struct{}]
	reports  buckthorndyke.Table[buckthorndyke.VMID, report]
}

// report is the last report of one VM.
type report struct {
	at      buckthorndyke.Millis
	entries []buckthorndyke.DemandEntry
}

// totalDemand is the demand for one model or adapter, summed over all VMs.
type totalDemand struct {
	// due is the earliest instant by which a waiting request has to start.
	due     buckthorndyke.Millis
	key     buckthorndyke.ModelKey
	running int
	waiting int
}

// ArrivalRate returns the arrivals of requests for key per second.
func (d Demand) ArrivalRate(key buckthorndyke.ModelKey, now buckthorndyke.Millis) float64 {
	r, _ := d.rates.Get(tableKey(key))
	return r.PerSecond(now)
}

// HasReported reports whether vm has reported before.
func (d Demand) HasReported(vm buckthorndyke.VMID) bool { return d.reported.Has(vm) }

// WithReport returns a copy with the report of vm at now. The arrivals in a VM's
// first report are not counted: the leader asks for all recent arrivals, and the next
// report includes them.
func (d Demand) WithReport(vm buckthorndyke.VMID, entries []buckthorndyke.DemandEntry, now buckthorndyke.Millis) Demand {
	reported := d.reported.Has(vm)
	d.reported = d.reported.With(vm, struct{}{})
	for _, entry := range entries {
		if !reported || entry.Arrivals == 0 {
			continue
		}
		d = d.withArrivals(entry.Key, entry.Arrivals, now)
		if entry.Key.Adapter != "" {
			d = d.withArrivals(entry.Key.Base(), entry.Arrivals, now)
		}
	}
	d.reports = d.reports.With(vm, report{at: now, entries: entries})
	return d
}

// WithoutExpired returns a copy without the reports that have expired at now.
func (d Demand) WithoutExpired(now buckthorndyke.Millis) Demand {
	for vm, r := range d.reports.All() {
		if now >= r.at+reportTTL {
			d.reports = d.reports.Without(vm)
		}
	}
	return d
}

// totals returns the demand by model and adapter. The demand for an adapter also
// counts for its model.
func (d Demand) totals() map[buckthorndyke.ModelKey]totalDemand {
	out := make(map[buckthorndyke.ModelKey]totalDemand)
	add := func(key buckthorndyke.ModelKey, entry buckthorndyke.DemandEntry, at buckthorndyke.Millis) {
		w, ok := out[key]
		if due := at + entry.TimeLeft; entry.Waiting > 0 && (!ok || w.waiting == 0 || due < w.due) {
			w.due = due
		}
		w.key = key
		w.running += entry.Running
		w.waiting += entry.Waiting
		out[key] = w
	}
	for _, r := range d.reports.All() {
		for _, entry := range r.entries {
			add(entry.Key, entry, r.at)
			if entry.Key.Adapter != "" {
				add(entry.Key.Base(), entry, r.at)
			}
		}
	}
	return out
}

// waitingKeys returns the models and adapters that requests wait for.
func (d Demand) waitingKeys() []buckthorndyke.ModelKey {
	seen := make(map[buckthorndyke.ModelKey]bool)
	for _, r := range d.reports.All() {
		for _, entry := range r.entries {
			if entry.Waiting > 0 {
				seen[entry.Key] = true
			}
		}
	}
	return slices.Collect(maps.Keys(seen))
}

// withArrivals returns a copy with n more arrivals for key.
func (d Demand) withArrivals(key buckthorndyke.ModelKey, n int, now buckthorndyke.Millis) Demand {
	r, _ := d.rates.Get(tableKey(key))
	d.rates = d.rates.With(tableKey(key), r.WithArrivals(n, now))
	return d
}

// tableKey encodes key for use in a Table, whose keys are strings.
func tableKey(key buckthorndyke.ModelKey) string {
	return string(key.Service) + "/" + string(key.Model) + "/" + key.Adapter
}
