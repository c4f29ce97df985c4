package recorder

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

// Directory wraps a directory and records the outcome and duration of the calls.
type Directory struct {
	clock     buckthorndyke.Clock
	directory buckthorndyke.Directory
	meter     buckthorndyke.Meter
}

// NewDirectory returns a directory that wraps d and records to meter.
func NewDirectory(d buckthorndyke.Directory, meter buckthorndyke.Meter, clock buckthorndyke.Clock) *Directory {
	return &Directory{clock: clock, directory: d, meter: meter}
}

// Backends implements buckthorndyke.Directory.
func (d *Directory) Backends(ctx context.Context) (buckthorndyke.Backends, error) {
	began := d.clock.Now()
	list, err := d.directory.Backends(ctx)
	d.recordCall("list", began, err)
	if err == nil {
		d.meter.Set(buckthorndyke.MetricServers, int64(list.Servers.Len()))
	}
	return list, err
}

// Routing implements buckthorndyke.Directory.
func (d *Directory) Routing(ctx context.Context, wait buckthorndyke.Millis) (buckthorndyke.Routing, bool, error) {
	began := d.clock.Now()
	routing, changed, err := d.directory.Routing(ctx, wait)
	d.recordCall("configuration", began, err)
	if changed {
		d.meter.Set(buckthorndyke.MetricCallers, int64(routing.Callers.Len()))
		d.meter.Set(buckthorndyke.MetricRoutingVersion, routing.Version)
	}
	return routing, changed, err
}

// recordCall records the outcome and duration of a call that started at began.
func (d *Directory) recordCall(call string, began buckthorndyke.Millis, err error) {
	outcome := "done"
	if err != nil {
		outcome = "failed"
	}
	d.meter.Count(buckthorndyke.MetricStoreCalls.Of(call).Of(outcome), 1)
	d.meter.Observe(buckthorndyke.MetricStoreTime.Of(call), d.clock.Now()-began)
}
