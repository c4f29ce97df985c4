// Package recorder records metrics. It wraps interfaces of the root package to
// measure their calls, and has a task that records metrics of the state.
package recorder

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
)

// Recorder is the task that sets the metrics of the state whenever the follower
// publishes a new one.
type Recorder struct {
	follower buckthorndyke.Follower
	meter    buckthorndyke.Meter
	self     buckthorndyke.Self
}

// New returns a recorder of the state from follower, which records to meter.
func New(self buckthorndyke.Self, follower buckthorndyke.Follower, meter buckthorndyke.Meter) *Recorder {
	return &Recorder{follower: follower, meter: meter, self: self}
}

// Serve implements suture.Service.
func (r *Recorder) Serve(ctx context.Context) error {
	updates := r.follower.Subscribe(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case u := <-updates:
			r.record(u)
		}
	}
}

// record sets the metrics of the state in u. The owned runners are those of this
// incarnation of the VM.
func (r *Recorder) record(u buckthorndyke.StateUpdate) {
	owned := int64(0)
	for _, o := range u.State.Ownerships.All() {
		if o.OwnedBy(r.self.VM, r.self.Incarnation) {
			owned++
		}
	}
	down := int64(0)
	if u.LogDown {
		down = 1
	}
	r.meter.Set(buckthorndyke.MetricControlOffset, int64(u.State.Offset))
	r.meter.Set(buckthorndyke.MetricLogDown, down)
	r.meter.Set(buckthorndyke.MetricMembers, int64(u.State.Members.Len()))
	r.meter.Set(buckthorndyke.MetricRulesVersion, int64(u.State.RulesVersion))
	r.meter.Set(buckthorndyke.MetricRunnersOwned, owned)
	r.meter.Set(buckthorndyke.MetricUnknownRecords, int64(u.State.UnknownRecords))
}
