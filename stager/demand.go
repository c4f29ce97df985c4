package stager

import (
	"maps"
	"math"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// maxRankWeight bounds how much more an urgent waiting request counts than the least
	// urgent one, so that many of the latter are not passed over.
	maxRankWeight = 4.0
	// reportTTL is how long a VM's report of waiting and running requests is valid.
	reportTTL = 2500 * buckthorndyke.Millisecond
)

// Demand is the demand for models that all VMs report. It is immutable.
type Demand struct {
	// leastUrgent is the highest priority number with which requests have waited.
	leastUrgent int
	// reported holds the VMs that have reported, with whether they have done so twice.
	// Arrivals count from a VM's second report, which has all recent ones.
	reported buckthorndyke.Table[buckthorndyke.VMID, bool]
	reports  buckthorndyke.Table[buckthorndyke.VMID, report]
	// trends holds the arrivals by the table key of a model or adapter.
	trends buckthorndyke.Table[string, trend]
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
	// weight is the number of waiting requests, each weighted by its rank.
	weight float64
}

// ArrivalRate returns the arrivals of requests for key per second.
func (d Demand) ArrivalRate(key buckthorndyke.ModelKey, now buckthorndyke.Millis) float64 {
	t, _ := d.trends.Get(tableKey(key))
	return t.slow.PerSecond(now)
}

// ExpectedRate returns the level that the arrivals of requests for key are rising to, per
// second. It is ArrivalRate if they are not rising.
func (d Demand) ExpectedRate(key buckthorndyke.ModelKey, now buckthorndyke.Millis) float64 {
	t, _ := d.trends.Get(tableKey(key))
	return t.expected(now)
}

// Growth returns the level that the arrivals of requests for key are rising to as a
// multiple of the present one, or 1 if they are not rising.
func (d Demand) Growth(key buckthorndyke.ModelKey, now buckthorndyke.Millis) float64 {
	t, _ := d.trends.Get(tableKey(key))
	return t.growth(now)
}

// HasReported reports whether vm has reported before.
func (d Demand) HasReported(vm buckthorndyke.VMID) bool { return d.reported.Has(vm) }

// WithReport returns a copy with the report of vm at now. The arrivals in a VM's
// first report are not counted: the leader asks for all recent arrivals, and the next
// report includes them.
func (d Demand) WithReport(vm buckthorndyke.VMID, entries []buckthorndyke.DemandEntry, now buckthorndyke.Millis) Demand {
	twice, reported := d.reported.Get(vm)
	d.reported = d.reported.With(vm, reported)
	add := trend.with
	if !twice {
		add = trend.withRecent
	}
	for _, entry := range entries {
		if entry.Waiting > 0 {
			d.leastUrgent = max(d.leastUrgent, entry.Priority)
		}
		if !reported || entry.Arrivals == 0 {
			continue
		}
		d = d.withArrivals(entry.Key, entry.Arrivals, now, add)
		if entry.Key.Adapter != "" {
			d = d.withArrivals(entry.Key.Base(), entry.Arrivals, now, add)
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
		w.weight += float64(entry.Waiting) * d.rankWeight(entry.Priority)
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

// rankWeight returns how much a waiting request of a priority counts, relative to the
// least urgent one that has waited. All count the same if their priorities are the same.
func (d Demand) rankWeight(priority int) float64 {
	return min(math.Exp2(float64(max(d.leastUrgent-priority, 0))), maxRankWeight)
}

// withArrivals returns a copy with n more arrivals for key, counted by add.
func (d Demand) withArrivals(
	key buckthorndyke.ModelKey, n int, now buckthorndyke.Millis, add func(t trend, n int, now buckthorndyke.Millis) trend,
) Demand {
	id := tableKey(key)
	t, _ := d.trends.Get(id)
	d.trends = d.trends.With(id, add(t, n, now))
	return d
}

// tableKey encodes key for use in a Table, whose keys are strings.
func tableKey(key buckthorndyke.ModelKey) string {
	return string(key.Service) + "/" + string(key.Model) + "/" + key.Adapter
}
