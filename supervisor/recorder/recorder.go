// Package recorder measures what the process does.
package recorder

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

// Recorder is the task that records the state that the process follows.
type Recorder struct {
	follower buckthorndyke.Follower
	meter    buckthorndyke.Meter
	self     buckthorndyke.Self
}

// New returns a recorder that records to meter.
func New(self buckthorndyke.Self, follower buckthorndyke.Follower, meter buckthorndyke.Meter) *Recorder {
	return &Recorder{follower: follower, meter: meter, self: self}
}

// Serve implements suture.Service.
func (r *Recorder) Serve(ctx context.Context) error {
	progress := r.follower.Subscribe(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case p := <-progress:
			r.record(p)
		}
	}
}

// record sets the gauges that follow from p.
func (r *Recorder) record(p buckthorndyke.StateUpdate) {
	owned := int64(0)
	for _, o := range p.State.Ownerships.All() {
		if o.OwnedBy(r.self.VM, r.self.Incarnation) {
			owned++
		}
	}
	down := int64(0)
	if p.LogDown {
		down = 1
	}
	r.meter.Set(buckthorndyke.MetricControlOffset, int64(p.State.Offset))
	r.meter.Set(buckthorndyke.MetricLogDown, down)
	r.meter.Set(buckthorndyke.MetricMembers, int64(p.State.Members.Len()))
	r.meter.Set(buckthorndyke.MetricRulesVersion, int64(p.State.RulesVersion))
	r.meter.Set(buckthorndyke.MetricRunnersOwned, owned)
	r.meter.Set(buckthorndyke.MetricUnknownRecords, int64(p.State.UnknownRecords))
}
