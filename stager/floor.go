package stager

import (
	"math"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// ownLife is how long the leader's own knowledge of a runner stands against
	// the platform's list, which lags by two heartbeats and a read.
	ownLife = 4 * buckthorndyke.Second
	// orderPatience is how long an order may stay without effect on a runner that
	// carries out none, before it is held to be lost. Reports lag by some hundred
	// milliseconds. A lost order that arrives later is refused, since the runner then
	// expects another number of orders, or has the same effect.
	orderPatience = 800 * buckthorndyke.Millisecond
	// acceptedPatience is the same for an order that the runner has accepted: an
	// unload waits for the requests of what it unloads.
	acceptedPatience = 4 * buckthorndyke.Second
	// refusedPause is how long a runner that has refused an order gets no other.
	refusedPause = 150 * buckthorndyke.Millisecond
	// hearTime is how long a new leader unloads nothing: by then the VMs have found
	// it and told it their demand.
	hearTime = 1300 * buckthorndyke.Millisecond
	// unloadTime is about how long an unload takes until a report shows it.
	unloadTime = 500 * buckthorndyke.Millisecond
	// reportLag is about how much later than a load ends a report shows it.
	reportLag = 300 * buckthorndyke.Millisecond
	// atOnceLimit bounds what is learnt of the loads that the weight store allows at
	// full speed: the deployments' sheets say 2 and 4.
	atOnceLimit = 8
	// slowLoad is the share of its time at full speed, in thousandths, from which on a
	// load from the weight store is held to have shared that with too many others.
	slowLoad = 1300
	// toldLife bounds how far back a VM that was not answered lately is told of
	// changes: the platform's list shows them by then.
	toldLife = 4 * buckthorndyke.Second
	// toldMargin is how much more than since its last answer a VM is told of, in case
	// that was lost.
	toldMargin = buckthorndyke.Second
	// loadWindow is the span in which the loads from the weight store are counted.
	loadWindow = 5 * buckthorndyke.Second
)

// Floor is what the leader knows of all runners and of the demand for models. It
// is immutable.
type Floor struct {
	// atOnce is the number of loads that the weight store allows at full speed.
	atOnce int
	demand Demand
	// hearUntil is the instant until which the demand is not known well enough to
	// unload anything.
	hearUntil buckthorndyke.Millis
	// remote holds the instants of the latest loads from the weight store.
	remote  []buckthorndyke.Millis
	routing buckthorndyke.Routing
	stages  buckthorndyke.Table[buckthorndyke.RunnerID, stage]
}

// NewFloor returns a floor without runners. The weight store allows atOnce loads
// at full speed.
func NewFloor(atOnce int) Floor {
	return Floor{atOnce: atOnce}
}

// Orders returns the number of orders that a runner has accepted, or false if
// that is not known.
func (f Floor) Orders(id buckthorndyke.RunnerID) (int64, bool) {
	s, ok := f.stages.Get(id)
	return s.orders, ok && s.orders != unknown
}

// Doubtful returns the runners whose reports are needed: before an order, to see
// whether they are back, or since requests wait for what they are held to serve.
func (f Floor) Doubtful() []buckthorndyke.RunnerID {
	var out []buckthorndyke.RunnerID
	wanted := f.demand.waiting()
	for id, s := range f.stages.All() {
		service, _ := f.routing.Services.Get(s.backend.Service)
		if service.Engine == nil || s.order != nil && !s.down() {
			continue
		}
		if s.orders == unknown || s.down() || slices.ContainsFunc(wanted, s.holds) {
			out = append(out, id)
		}
	}
	return out
}

// Backend returns a runner as the leader knows it.
func (f Floor) Backend(id buckthorndyke.RunnerID) (buckthorndyke.Backend, bool) {
	s, ok := f.stages.Get(id)
	return s.backend, ok
}

// Expected returns when runners are going to hold what requests in lines wait
// for, as far as that is being loaded or waits for the weight store.
func (f Floor) Expected(lines []buckthorndyke.DemandLine, now buckthorndyke.Millis) []buckthorndyke.Expectation {
	var out []buckthorndyke.Expectation
	for _, l := range lines {
		if l.Waiting == 0 {
			continue
		}
		in, ok := f.expected(l.Key, now)
		if !ok {
			in, ok = f.backlog(l.Key)
		}
		if ok {
			out = append(out, buckthorndyke.Expectation{In: in, Key: l.Key})
		}
	}
	return out
}

// Heard reports whether vm has reported its demand before.
func (f Floor) Heard(vm buckthorndyke.VMID) bool { return f.demand.Heard(vm) }

// Pending returns the runners that answer and have an outstanding order, and since
// when.
func (f Floor) Pending() map[buckthorndyke.RunnerID]buckthorndyke.Millis {
	out := make(map[buckthorndyke.RunnerID]buckthorndyke.Millis)
	for id, s := range f.stages.All() {
		if s.order != nil && !s.down() {
			out[id] = s.order.sent
		}
	}
	return out
}

// Residences returns what the leader knows at now ahead of the platform's list of
// the runners that have changed since an instant or that lose a model.
func (f Floor) Residences(since, now buckthorndyke.Millis) []buckthorndyke.Residence {
	since = max(since-toldMargin, now-toldLife)
	var out []buckthorndyke.Residence
	for id, s := range f.stages.All() {
		closed := s.closed()
		if len(closed) == 0 && (s.changed == 0 || s.changed < since) {
			continue
		}
		out = append(out, buckthorndyke.Residence{
			Closed: closed, Holdings: s.backend.Holdings, Runner: id, Started: s.backend.Started,
		})
	}
	return out
}

// Serves reports whether some runner holds what key names.
func (f Floor) Serves(key buckthorndyke.ModelKey) bool {
	for _, s := range f.stages.All() {
		if s.backend.Service == key.Service && !s.backend.Leaving && s.holds(key) {
			return true
		}
	}
	return false
}

// Silent reports whether a runner is held to be gone, although the platform lists
// it.
func (f Floor) Silent(id buckthorndyke.RunnerID) bool {
	s, ok := f.stages.Get(id)
	return ok && s.down()
}

// WithBackends returns a floor with the runners of the platform's list.
func (f Floor) WithBackends(list buckthorndyke.Backends, now buckthorndyke.Millis) Floor {
	for id, s := range f.stages.All() {
		if b, ok := list.Listed.Get(id); !ok || b.Started != s.backend.Started {
			f.stages = f.stages.Without(id)
		}
	}
	for id, b := range list.Listed.All() {
		s, ok := f.stages.Get(id)
		if !ok {
			f.stages = f.stages.With(id, stage{backend: b, orders: unknown})
			continue
		}
		// What the runner holds is taken from its reports: entries of the list are
		// older by an unknown time.
		if s.order == nil && now >= s.changed+ownLife && !sameModels(s.backend, b) {
			s.orders = unknown
		}
		s.backend.Address, s.backend.Leaving = b.Address, b.Leaving
		f.stages = f.stages.With(id, s)
	}
	return f
}

// WithDemand returns a floor that holds the report of vm.
func (f Floor) WithDemand(vm buckthorndyke.VMID, lines []buckthorndyke.DemandLine, now buckthorndyke.Millis) Floor {
	f.demand = f.demand.WithReport(vm, lines, now)
	return f
}

// WithDone returns a floor on which an order has been carried out. It is
// unchanged if another order is outstanding on that runner.
func (f Floor) WithDone(i Intent, now buckthorndyke.Millis) Floor {
	s, ok := f.stages.Get(i.Runner)
	if !ok || s.order == nil || !s.order.is(i) {
		return f
	}
	f = f.withLoadTime(s, now)
	f.stages = f.stages.With(i.Runner, s.withDone(now))
	return f
}

// WithFailed returns a floor on which an order was not accepted. It is unchanged
// if another order is outstanding on that runner.
func (f Floor) WithFailed(i Intent, now buckthorndyke.Millis) Floor {
	id := i.Runner
	s, ok := f.stages.Get(id)
	if !ok || s.order == nil || !s.order.is(i) {
		return f
	}
	s.order = nil
	s.goal = ""
	s.orders = unknown
	s.retryAt = now + refusedPause
	f.stages = f.stages.With(id, s)
	return f
}

// WithOrder returns a floor on which a runner has an outstanding order.
func (f Floor) WithOrder(o Intent, now buckthorndyke.Millis) Floor {
	s, ok := f.stages.Get(o.Runner)
	if !ok {
		return f
	}
	s.order = &pending{adapter: o.Adapter, kind: o.Kind, model: o.Model, sent: now, tier: o.Tier}
	if o.Remote() {
		s.order.beside = f.remoteLoads() + 1
	}
	if o.Adapter == "" {
		s.goal = o.Goal
	}
	f.stages = f.stages.With(o.Runner, s)
	if o.Remote() {
		f.remote = append(f.loadsSince(now-loadWindow), now)
	}
	return f
}

// WithAccepted returns a floor on which a runner has accepted its order.
func (f Floor) WithAccepted(id buckthorndyke.RunnerID, orders int64) Floor {
	s, ok := f.stages.Get(id)
	if !ok {
		return f
	}
	s.orders = orders
	if s.order != nil {
		o := *s.order
		o.accepted = true
		s.order = &o
	}
	f.stages = f.stages.With(id, s)
	return f
}

// WithReport returns a floor with a runner's own report of now. It ends an order
// that the report shows to be carried out or lost.
func (f Floor) WithReport(r buckthorndyke.ModelReport, now buckthorndyke.Millis) Floor {
	id := r.Backend.ID
	s, ok := f.stages.Get(id)
	if !ok || s.backend.Started != r.Backend.Started || s.orders != unknown && r.Orders < s.orders {
		return f
	}
	leaving := s.backend.Leaving
	s.backend = r.Backend
	s.backend.Leaving = leaving
	s.changed = now
	s.silent = 0
	s.orders = r.Orders
	s.busy = s.order == nil && r.Busy
	if s.busy {
		// Another leader's order is being carried out: what it changes would not
		// show in the number of orders.
		s.orders = unknown
	}
	if o := s.order; o != nil && !r.Busy {
		switch {
		case o.settled(r.Backend):
			f = f.withLoadTime(s, now)
			s = s.withDone(now)
		case now >= o.sent+o.patience():
			s.order = nil
			s.goal = ""
		}
	}
	f.stages = f.stages.With(id, s)
	return f
}

// WithRouting returns a floor with another configuration.
func (f Floor) WithRouting(r buckthorndyke.Routing) Floor {
	f.routing = r
	return f
}

// WithSilence returns a floor on which a runner has not answered the question for
// its report.
func (f Floor) WithSilence(id buckthorndyke.RunnerID) Floor {
	if s, ok := f.stages.Get(id); ok {
		s.silent++
		f.stages = f.stages.With(id, s)
	}
	return f
}

// WithTerm returns a floor whose leader begins to lead at now: it knows no
// demand.
func (f Floor) WithTerm(now buckthorndyke.Millis) Floor {
	f.demand = Demand{}
	f.hearUntil = now + hearTime
	return f
}

// backlog returns the time until a model that only the weight store has can be
// held, if the store is taken.
func (f Floor) backlog(key buckthorndyke.ModelKey) (buckthorndyke.Millis, bool) {
	service, _ := f.routing.Services.Get(key.Service)
	if service.Engine == nil {
		return 0, false
	}
	for _, s := range f.stages.All() {
		if s.backend.Service == key.Service && !s.down() && s.backend.Tier(key.Model) != buckthorndyke.TierRemote {
			return 0, false
		}
	}
	under := f.remoteLoads()
	if under < f.atOnce {
		return 0, false
	}
	facts, _ := service.Engine.Models.Get(key.Model)
	full := facts.LoadTimes[buckthorndyke.TierRemote]
	// One of those under way ends first; then this one takes its time.
	return full/buckthorndyke.Millis(under+1) + full + reportLag, true
}

// expected returns the time until a runner is going to hold what key names.
func (f Floor) expected(key buckthorndyke.ModelKey, now buckthorndyke.Millis) (buckthorndyke.Millis, bool) {
	service, _ := f.routing.Services.Get(key.Service)
	if service.Engine == nil {
		return 0, false
	}
	facts, _ := service.Engine.Models.Get(key.Model)
	var least buckthorndyke.Millis
	found := false
	for _, s := range f.stages.All() {
		if s.backend.Service != key.Service {
			continue
		}
		if in, ok := s.expected(key, facts, now); ok && (!found || in < least) {
			least, found = in, true
		}
	}
	return least, found
}

// sameModels reports whether two descriptions of a runner name the same models.
func sameModels(a, b buckthorndyke.Backend) bool {
	if len(a.Holdings) != len(b.Holdings) {
		return false
	}
	for _, h := range a.Holdings {
		if _, ok := b.Holding(h.Model); !ok {
			return false
		}
	}
	return true
}

// remoteLoads returns the number of loads from the weight store that are under way.
func (f Floor) remoteLoads() int {
	n := 0
	for _, s := range f.stages.All() {
		if s.loadsRemote() {
			n++
		}
	}
	return n
}

// withLoadTime returns a floor that has learnt from the end of a load how many
// loads at once the weight store allows at full speed: beyond these, each takes
// longer in proportion.
func (f Floor) withLoadTime(s stage, now buckthorndyke.Millis) Floor {
	o := s.order
	if o == nil || o.beside == 0 || !o.accepted {
		return f
	}
	service, _ := f.routing.Services.Get(s.backend.Service)
	if service.Engine == nil {
		return f
	}
	facts, _ := service.Engine.Models.Get(o.model)
	full := facts.LoadTimes[buckthorndyke.TierRemote]
	took := now - o.sent - reportLag
	switch slow := full > 0 && took*1000 > full*slowLoad; {
	case slow:
		shared := int(math.Round(float64(o.beside) * float64(full) / float64(took)))
		f.atOnce = max(min(shared, f.atOnce), f.atOnce/2, 1)
	case o.beside >= f.atOnce:
		f.atOnce = min(f.atOnce+1, atOnceLimit)
	}
	return f
}

// loadsSince returns the instants of the loads from the weight store after an
// instant.
func (f Floor) loadsSince(after buckthorndyke.Millis) []buckthorndyke.Millis {
	var out []buckthorndyke.Millis
	for _, at := range f.remote {
		if at > after {
			out = append(out, at)
		}
	}
	return out
}
