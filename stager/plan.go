package stager

import (
	"cmp"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// coldCopy is the cost of evicting a model whose checkpoint the runner could
	// load again only from the weight store, in requests a second.
	coldCopy = 0.2
	// fullBatch is the share of a runner's batch, in thousandths, from which on
	// another replica of a model is wanted.
	fullBatch = 120
	// hotLoads is how many more loads than at full speed hot models that no runner
	// holds may take from the weight store at once.
	hotLoads = 2
	// idleLoads is the same for copies ahead of need while nothing is asked for: they
	// teach whether the weight store allows more.
	idleLoads = 1
	// overloadedLoads is how many more loads than at full speed overloaded models may
	// take from the weight store at once.
	overloadedLoads = 1
	// replicaGrowth bounds the replicas of a model that are being loaded at once, as a
	// multiple of those that there are.
	replicaGrowth = 1
	// hotReserve is the number of loads at full speed that are left to hot models.
	hotReserve = 1
	// hotRate is the rate of requests a second from which on a model is held by two
	// runners, so that the loss of one does not stop it.
	hotRate = 3.0
	// hotReplicas is the number of runners that hold a hot model at least.
	hotReplicas = 2
	// overloadedBatch is the share of a runner's batch, in thousandths, from which on
	// another replica comes before what waits: all requests of the model are slow.
	overloadedBatch = 250
	// spareBatch is the share of a runner's batch, in thousandths, up to which the
	// other replicas of a model carry its load without one of them.
	spareBatch = 80
	// spareReplica is the cost of evicting a replica that the others can do without,
	// in requests a second.
	spareReplica = 0.01
	// secondReplica is the part of a hot model's worth that its second replica is worth,
	// without which the loss of one runner stops it.
	secondReplica = 0.25
	// copyWorth is the worth of a first copy of a model near the runners, in requests
	// a second.
	copyWorth = 0.15
	// waitWorth is the worth of a waiting request in requests a second.
	waitWorth = 2.0
)

// Intent is an order that the leader ought to give.
type PlannedOrder struct {
	// Adapter is empty for a model.
	Adapter string
	// Goal is the model that room is made for by an unload, or that is loaded.
	TargetModel buckthorndyke.ModelID
	Kind        buckthorndyke.OrderKind
	Model       buckthorndyke.ModelID
	Runner      buckthorndyke.RunnerID
	// Tier is where the runner finds what it loads.
	Tier buckthorndyke.Tier
}

// Remote reports whether the order takes weights of a model from the weight
// store.
func (i PlannedOrder) FromWeightStore() bool {
	return i.Kind == buckthorndyke.OrderLoad && i.Adapter == "" && i.Tier == buckthorndyke.TierRemote
}

// Plan returns the orders that the demand calls for at now, at most one for each
// runner without an outstanding one.
func (f View) Plan(now buckthorndyke.Millis) []PlannedOrder {
	f.demand = f.demand.WithoutExpired(now)
	p := planner{
		View: f, arriving: make(map[buckthorndyke.ModelKey]int), holders: make(map[buckthorndyke.ModelKey]int), now: now,
		rates: make(map[buckthorndyke.ModelKey]float64), wants: f.demand.wants(),
	}
	p.count()
	p.countCopies()
	p.finishGoals()
	p.addReplicas(overloadedBatch)
	p.serveWaiting()
	p.addReplicas(fullBatch)
	p.copyAhead()
	return p.intents
}

// planner is the state of one plan.
type planner struct {
	View
	// arriving is the number of runners that are loading what a key names.
	arriving map[buckthorndyke.ModelKey]int
	// copies is the number of runners with a copy of a model.
	copies map[buckthorndyke.ModelKey]int
	// free are the runners that may be given an order.
	free []buckthorndyke.RunnerID
	// holders is the number of runners that hold what a key names and keep it.
	holders map[buckthorndyke.ModelKey]int
	intents []PlannedOrder
	now     buckthorndyke.Millis
	// rates holds the arrivals a second that were asked for.
	rates map[buckthorndyke.ModelKey]float64
	// remote is the number of loads from the weight store that are under way.
	remote int
	wants  map[buckthorndyke.ModelKey]want
}

// add gives an order.
func (p *planner) add(i PlannedOrder) {
	p.intents = append(p.intents, i)
	p.View = p.WithOrder(i, p.now)
	p.free = slices.DeleteFunc(p.free, func(id buckthorndyke.RunnerID) bool { return id == i.Runner })
	if i.FromWeightStore() {
		p.remote++
	}
	service := p.service(i.Runner)
	switch {
	case i.Kind == buckthorndyke.OrderLoad:
		p.arriving[buckthorndyke.ModelKey{Adapter: i.Adapter, Model: i.Model, Service: service}]++
	case i.TargetModel != "":
		p.arriving[buckthorndyke.ModelKey{Model: i.TargetModel, Service: service}]++
	}
	if i.Kind == buckthorndyke.OrderUnload {
		p.holders[buckthorndyke.ModelKey{Adapter: i.Adapter, Model: i.Model, Service: service}]--
	}
}

// addReplicas asks for replicas of models whose runners' batches are taken to
// the given share, in thousandths, and of hot models that one runner holds.
func (p *planner) addReplicas(share int) {
	for _, w := range p.sorted(func(w want) bool { return w.key.Adapter == "" && w.running > 0 }) {
		facts := p.facts(w.key.Service)
		if facts == nil {
			continue
		}
		for range p.lacking(w, *facts, share) {
			if !p.place(w, *facts, p.worth(w.key)) {
				break
			}
		}
	}
}

// coming reports whether some runner is loading what key names.
func (p *planner) coming(key buckthorndyke.ModelKey) bool { return p.arriving[key] > 0 }

// count counts the holders of all models and adapters, what is being loaded and
// the runners that may be given an order.
func (p *planner) count() {
	for id, s := range p.stages.All() {
		if s.canTake(p.now) {
			p.free = append(p.free, id)
		}
		if s.loadsRemote() {
			p.remote++
		}
		for _, key := range s.arriving() {
			p.arriving[key]++
		}
		if s.backend.Leaving || s.down() {
			continue
		}
		closed := s.closed()
		for _, h := range s.backend.LoadedModels {
			if slices.Contains(closed, h.Model) {
				continue
			}
			key := buckthorndyke.ModelKey{Model: h.Model, Service: s.backend.Service}
			p.holders[key]++
			for _, a := range h.Adapters {
				key.Adapter = a
				p.holders[key]++
			}
		}
	}
}

// facts returns what the configuration says of a service's runners, or nil.
func (p *planner) facts(id buckthorndyke.ServiceID) *buckthorndyke.EngineConfig {
	service, _ := p.routing.Services.Get(id)
	return service.Engine
}

// finishGoals goes on with what earlier plans have begun.
func (p *planner) finishGoals() {
	for id, s := range p.stages.All() {
		if s.goal == "" || s.order != nil || s.down() || p.now < s.retryAt || s.orders == unknown {
			continue
		}
		key := buckthorndyke.ModelKey{Model: s.goal, Service: s.backend.Service}
		facts := p.facts(key.Service)
		if facts == nil || s.backend.Leaving || s.holds(key) {
			s.goal = ""
			p.stages = p.stages.With(id, s)
			continue
		}
		if way, ok := p.way(s, *facts, key, p.worth(key)); ok {
			p.take(s, key, way)
			continue
		}
		s.goal = ""
		p.stages = p.stages.With(id, s)
	}
}

// lacking returns the number of replicas of the model of w that ought to be loaded
// now so that no runner's batch is taken beyond the given share, in thousandths. An
// overloaded model does not wait for a replica that takes long.
func (p *planner) lacking(w want, facts buckthorndyke.EngineConfig, share int) int {
	replicas, arriving := p.replicas(w.key), p.arriving[w.key]
	if replicas == 0 {
		return 0
	}
	perReplica := max(facts.Slots*share, 1)
	needed := (w.running*1000 + perReplica - 1) / perReplica
	if share == fullBatch {
		if p.rate(w.key) >= hotRate {
			needed = max(needed, hotReplicas)
		}
		needed = min(needed, replicas+1)
	}
	return min(needed-replicas, replicas*replicaGrowth) - arriving
}

// mayLoadRemote reports whether a model may be taken from the weight store now. A
// hot one that no runner holds does not wait for those under way, which become
// slower, and an overloaded one hardly; the others leave room for it, and first copies
// ahead of need leave more.
func (p *planner) mayLoadRemote(facts buckthorndyke.EngineConfig, key buckthorndyke.ModelKey) bool {
	atOnce := max(p.atOnce-hotReserve, 1)
	switch w := p.wants[key]; {
	case p.overloaded(w, facts):
		atOnce = p.atOnce + overloadedLoads
	case p.rate(key) >= hotRate && p.replicas(key) == 0:
		atOnce = p.atOnce + hotLoads
	case p.scarce(key, facts):
		atOnce = p.atOnce
	case len(p.wants) == 0:
		atOnce = p.atOnce + idleLoads
	case w.waiting == 0:
		atOnce = max(p.atOnce/2, 1)
	}
	ceiling := int(facts.LoadsPerSecond * float64(loadWindow) / float64(buckthorndyke.Second))
	return p.remote < atOnce && len(p.loadsSince(p.now-loadWindow)) < max(ceiling, 1)
}

// nearby reports whether a runner that carries out an order now can soon load the
// model of key from a copy of its own.
func (p *planner) nearby(key buckthorndyke.ModelKey, facts buckthorndyke.EngineConfig, worth float64) bool {
	for _, s := range p.stages.All() {
		if s.backend.Service != key.Service || s.backend.Leaving || s.down() || s.goal != "" || s.order == nil || s.loadsRemote() ||
			s.backend.Tier(key.Model) == buckthorndyke.TierRemote || s.holds(key) {
			continue
		}
		if _, ok := p.way(s, facts, key, worth); ok {
			return true
		}
	}
	return false
}

// overloaded reports whether the runners that hold the model of w have so many of
// its requests that all are slow.
func (p *planner) overloaded(w want, facts buckthorndyke.EngineConfig) bool {
	replicas := p.replicas(w.key)
	return replicas > 0 && w.running*1000 >= replicas*facts.Slots*overloadedBatch
}

// place gives the order that brings the model of w to the best runner, and reports
// whether there is one.
func (p *planner) place(w want, facts buckthorndyke.EngineConfig, worth float64) bool {
	var best stage
	var bestWay way
	found := false
	for _, id := range p.free {
		s, _ := p.stages.Get(id)
		if s.backend.Service != w.key.Service || s.goal != "" || s.holds(w.key) {
			continue
		}
		way, ok := p.way(s, facts, w.key, worth)
		if ok && (!found || way.cost < bestWay.cost) {
			best, bestWay, found = s, way, true
		}
	}
	if !found || bestWay.tier == buckthorndyke.TierRemote && p.nearby(w.key, facts, worth) {
		return false
	}
	p.take(best, w.key, bestWay)
	return true
}

// rate returns the arrivals a second of requests for key.
func (p *planner) rate(key buckthorndyke.ModelKey) float64 {
	r, ok := p.rates[key]
	if !ok {
		r = p.demand.ArrivalRate(key, p.now)
		p.rates[key] = r
	}
	return r
}

// replicas returns the number of runners that hold what key names.
func (p *planner) replicas(key buckthorndyke.ModelKey) int {
	return p.holders[key]
}

// serveWaiting gives orders for what requests wait for, the most pressing first.
func (p *planner) serveWaiting() {
	for _, w := range p.sorted(func(w want) bool { return w.waiting > 0 }) {
		facts := p.facts(w.key.Service)
		if facts == nil || p.replicas(w.key) > 0 || p.coming(w.key) {
			continue
		}
		if w.key.Adapter != "" {
			p.placeAdapter(w, *facts)
			continue
		}
		if facts.Models.Has(w.key.Model) {
			p.place(w, *facts, p.worth(w.key))
		}
	}
}

// service returns the service of a runner.
func (p *planner) service(id buckthorndyke.RunnerID) buckthorndyke.ServiceID {
	s, _ := p.stages.Get(id)
	return s.backend.Service
}

// sorted returns the wants that pass keep, the most pressing first.
func (p *planner) sorted(keep func(w want) bool) []want {
	var out []want
	for _, w := range p.wants {
		if keep(w) {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b want) int {
		return cmp.Or(cmp.Compare(b.waiting, a.waiting), cmp.Compare(a.due, b.due), cmp.Compare(textOf(a.key), textOf(b.key)))
	})
	return out
}

// take gives the first order of a way.
func (p *planner) take(s stage, key buckthorndyke.ModelKey, w way) {
	i := PlannedOrder{TargetModel: key.Model, Kind: buckthorndyke.OrderLoad, Model: key.Model, Runner: s.backend.ID, Tier: w.tier}
	if w.evict != "" {
		i.Kind = buckthorndyke.OrderUnload
		i.Model = w.evict
	}
	p.add(i)
}

// worth returns what it is worth to hold the model of key, in requests a second.
func (p *planner) worth(key buckthorndyke.ModelKey) float64 {
	w := p.wants[key]
	return p.rate(key) + waitWorth*float64(w.waiting)
}
