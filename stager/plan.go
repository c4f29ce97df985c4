package stager

import (
	"cmp"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// coldCopy is the cost of evicting a model whose checkpoint the runner could
	// load again only from the weight store, in requests a second.
	remoteReloadCost = 0.2
	// fullBatch is the share of a runner's batch, in thousandths, from which on
	// another replica of a model is wanted.
	replicaBatchPermille = 120
	// hotLoads is how many more loads than at full speed hot models that no runner
	// holds may take from the weight store at once.
	hotExtraLoads = 2
	// idleLoads is the same for copies ahead of need while nothing is asked for: they
	// teach whether the weight store allows more.
	idleExtraLoads = 1
	// overloadedLoads is how many more loads than at full speed overloaded models may
	// take from the weight store at once.
	overloadedExtraLoads = 1
	// replicaGrowth bounds the replicas of a model that are being loaded at once, as a
	// multiple of those that there are.
	replicaGrowth = 1
	// hotReserve is the number of loads at full speed that are left to hot models.
	hotReservedLoads = 1
	// hotRate is the rate of requests a second from which on a model is held by two
	// runners, so that the loss of one does not stop it.
	hotRate = 3.0
	// hotReplicas is the number of runners that hold a hot model at least.
	minHotReplicas = 2
	// overloadedBatch is the share of a runner's batch, in thousandths, from which on
	// another replica comes before what waits: all requests of the model are slow.
	overloadedBatchPermille = 250
	// spareBatch is the share of a runner's batch, in thousandths, up to which the
	// other replicas of a model carry its load without one of them.
	redundantBatchPermille = 80
	// spareReplica is the cost of evicting a replica that the others can do without,
	// in requests a second.
	redundantReplicaCost = 0.01
	// secondReplica is the part of a hot model's worth that its second replica is worth,
	// without which the loss of one runner stops it.
	secondReplicaFactor = 0.25
	// copyWorth is the worth of a first copy of a model near the runners, in requests
	// a second.
	firstCopyValue = 0.15
	// waitWorth is the worth of a waiting request in requests a second.
	waitingRequestValue = 2.0
)

// Intent is an order that the leader ought to give.
type PlannedOrder struct {
	// Adapter is empty for a model.
	Adapter string
	Kind    buckthorndyke.OrderKind
	Model   buckthorndyke.ModelID
	Runner  buckthorndyke.RunnerID
	// Goal is the model that room is made for by an unload, or that is loaded.
	TargetModel buckthorndyke.ModelID
	// Tier is where the runner finds what it loads.
	Tier buckthorndyke.Tier
}

// Remote reports whether the order takes weights of a model from the weight
// store.
func (o PlannedOrder) FromWeightStore() bool {
	return o.Kind == buckthorndyke.OrderLoad && o.Adapter == "" && o.Tier == buckthorndyke.TierRemote
}

// Plan returns the orders that the demand calls for at now, at most one for each
// runner without an outstanding one.
func (v View) Plan(now buckthorndyke.Millis) []PlannedOrder {
	v.demand = v.demand.WithoutExpired(now)
	p := planner{
		View: v, loading: make(map[buckthorndyke.ModelKey]int), holderCounts: make(map[buckthorndyke.ModelKey]int), now: now,
		rates: make(map[buckthorndyke.ModelKey]float64), demands: v.demand.totals(),
	}
	p.countRunners()
	p.countCopies()
	p.continueTargets()
	p.addReplicas(overloadedBatchPermille)
	p.placeWaiting()
	p.addReplicas(replicaBatchPermille)
	p.prefetchCopies()
	return p.orders
}

// planner is the state of one plan.
type planner struct {
	View
	// copies is the number of runners with a copy of a model.
	copies  map[buckthorndyke.ModelKey]int
	demands map[buckthorndyke.ModelKey]totalDemand
	// free are the runners that may be given an order.
	freeRunners []buckthorndyke.RunnerID
	// holders is the number of runners that hold what a key names and keep it.
	holderCounts map[buckthorndyke.ModelKey]int
	// arriving is the number of runners that are loading what a key names.
	loading map[buckthorndyke.ModelKey]int
	now     buckthorndyke.Millis
	orders  []PlannedOrder
	// rates holds the arrivals a second that were asked for.
	rates map[buckthorndyke.ModelKey]float64
	// remote is the number of loads from the weight store that are under way.
	remoteLoads int
}

// take gives the first order of a way.
func (p *planner) addNextOrder(s runnerState, key buckthorndyke.ModelKey, d loadOption) {
	o := PlannedOrder{TargetModel: key.Model, Kind: buckthorndyke.OrderLoad, Model: key.Model, Runner: s.backend.ID, Tier: d.tier}
	if d.evict != "" {
		o.Kind = buckthorndyke.OrderUnload
		o.Model = d.evict
	}
	p.addOrder(o)
}

// add gives an order.
func (p *planner) addOrder(o PlannedOrder) {
	p.orders = append(p.orders, o)
	p.View = p.WithOrder(o, p.now)
	p.freeRunners = slices.DeleteFunc(p.freeRunners, func(id buckthorndyke.RunnerID) bool { return id == o.Runner })
	if o.FromWeightStore() {
		p.remoteLoads++
	}
	service := p.serviceOf(o.Runner)
	switch {
	case o.Kind == buckthorndyke.OrderLoad:
		p.loading[buckthorndyke.ModelKey{Adapter: o.Adapter, Model: o.Model, Service: service}]++
	case o.TargetModel != "":
		p.loading[buckthorndyke.ModelKey{Model: o.TargetModel, Service: service}]++
	}
	if o.Kind == buckthorndyke.OrderUnload {
		p.holderCounts[buckthorndyke.ModelKey{Adapter: o.Adapter, Model: o.Model, Service: service}]--
	}
}

// addReplicas asks for replicas of models whose runners' batches are taken to
// the given share, in thousandths, and of hot models that one runner holds.
func (p *planner) addReplicas(share int) {
	for _, d := range p.sortedDemands(func(d totalDemand) bool { return d.key.Adapter == "" && d.running > 0 }) {
		cfg := p.engineConfig(d.key.Service)
		if cfg == nil {
			continue
		}
		for range p.missingReplicas(d, *cfg, share) {
			if !p.place(d, *cfg, p.value(d.key)) {
				break
			}
		}
	}
}

// nearby reports whether a runner that carries out an order now can soon load the
// model of key from a copy of its own.
func (p *planner) cachedOnBusyRunner(key buckthorndyke.ModelKey, cfg buckthorndyke.EngineConfig, worth float64) bool {
	for _, s := range p.runners.All() {
		if s.backend.Service != key.Service || s.backend.Leaving || s.unresponsive() || s.targetModel != "" || s.pending == nil || s.loadsFromWeightStore() ||
			s.backend.Tier(key.Model) == buckthorndyke.TierRemote || s.holds(key) {
			continue
		}
		if _, ok := p.loadOption(s, cfg, key, worth); ok {
			return true
		}
	}
	return false
}

// finishGoals goes on with what earlier plans have begun.
func (p *planner) continueTargets() {
	for id, s := range p.runners.All() {
		if s.targetModel == "" || s.pending != nil || s.unresponsive() || p.now < s.retryAt || s.acceptedOrders == unknownOrders {
			continue
		}
		key := buckthorndyke.ModelKey{Model: s.targetModel, Service: s.backend.Service}
		cfg := p.engineConfig(key.Service)
		if cfg == nil || s.backend.Leaving || s.holds(key) {
			s.targetModel = ""
			p.runners = p.runners.With(id, s)
			continue
		}
		if way, ok := p.loadOption(s, *cfg, key, p.value(key)); ok {
			p.addNextOrder(s, key, way)
			continue
		}
		s.targetModel = ""
		p.runners = p.runners.With(id, s)
	}
}

// count counts the holders of all models and adapters, what is being loaded and
// the runners that may be given an order.
func (p *planner) countRunners() {
	for id, s := range p.runners.All() {
		if s.acceptsOrder(p.now) {
			p.freeRunners = append(p.freeRunners, id)
		}
		if s.loadsFromWeightStore() {
			p.remoteLoads++
		}
		for _, key := range s.loadingKeys() {
			p.loading[key]++
		}
		if s.backend.Leaving || s.unresponsive() {
			continue
		}
		closed := s.unloading()
		for _, h := range s.backend.LoadedModels {
			if slices.Contains(closed, h.Model) {
				continue
			}
			key := buckthorndyke.ModelKey{Model: h.Model, Service: s.backend.Service}
			p.holderCounts[key]++
			for _, a := range h.Adapters {
				key.Adapter = a
				p.holderCounts[key]++
			}
		}
	}
}

// facts returns what the configuration says of a service's runners, or nil.
func (p *planner) engineConfig(id buckthorndyke.ServiceID) *buckthorndyke.EngineConfig {
	service, _ := p.routing.Services.Get(id)
	return service.Engine
}

// coming reports whether some runner is loading what key names.
func (p *planner) isLoading(key buckthorndyke.ModelKey) bool { return p.loading[key] > 0 }

// mayLoadRemote reports whether a model may be taken from the weight store now. A
// hot one that no runner holds does not wait for those under way, which become
// slower, and an overloaded one hardly; the others leave room for it, and first copies
// ahead of need leave more.
func (p *planner) mayLoadRemote(cfg buckthorndyke.EngineConfig, key buckthorndyke.ModelKey) bool {
	atOnce := max(p.fullSpeedLoads-hotReservedLoads, 1)
	switch d := p.demands[key]; {
	case p.overloaded(d, cfg):
		atOnce = p.fullSpeedLoads + overloadedExtraLoads
	case p.rate(key) >= hotRate && p.replicas(key) == 0:
		atOnce = p.fullSpeedLoads + hotExtraLoads
	case p.needsMoreCopies(key, cfg):
		atOnce = p.fullSpeedLoads
	case len(p.demands) == 0:
		atOnce = p.fullSpeedLoads + idleExtraLoads
	case d.waiting == 0:
		atOnce = max(p.fullSpeedLoads/2, 1)
	}
	ceiling := int(cfg.LoadsPerSecond * float64(loadRateWindow) / float64(buckthorndyke.Second))
	return p.remoteLoads < atOnce && len(p.remoteLoadsSince(p.now-loadRateWindow)) < max(ceiling, 1)
}

// lacking returns the number of replicas of the model of w that ought to be loaded
// now so that no runner's batch is taken beyond the given share, in thousandths. An
// overloaded model does not wait for a replica that takes long.
func (p *planner) missingReplicas(d totalDemand, cfg buckthorndyke.EngineConfig, share int) int {
	replicas, arriving := p.replicas(d.key), p.loading[d.key]
	if replicas == 0 {
		return 0
	}
	perReplica := max(cfg.Slots*share, 1)
	needed := (d.running*1000 + perReplica - 1) / perReplica
	if share == replicaBatchPermille {
		if p.rate(d.key) >= hotRate {
			needed = max(needed, minHotReplicas)
		}
		needed = min(needed, replicas+1)
	}
	return min(needed-replicas, replicas*replicaGrowth) - arriving
}

// overloaded reports whether the runners that hold the model of w have so many of
// its requests that all are slow.
func (p *planner) overloaded(d totalDemand, cfg buckthorndyke.EngineConfig) bool {
	replicas := p.replicas(d.key)
	return replicas > 0 && d.running*1000 >= replicas*cfg.Slots*overloadedBatchPermille
}

// place gives the order that brings the model of w to the best runner, and reports
// whether there is one.
func (p *planner) place(d totalDemand, cfg buckthorndyke.EngineConfig, worth float64) bool {
	var best runnerState
	var bestWay loadOption
	found := false
	for _, id := range p.freeRunners {
		s, _ := p.runners.Get(id)
		if s.backend.Service != d.key.Service || s.targetModel != "" || s.holds(d.key) {
			continue
		}
		way, ok := p.loadOption(s, cfg, d.key, worth)
		if ok && (!found || way.cost < bestWay.cost) {
			best, bestWay, found = s, way, true
		}
	}
	if !found || bestWay.tier == buckthorndyke.TierRemote && p.cachedOnBusyRunner(d.key, cfg, worth) {
		return false
	}
	p.addNextOrder(best, d.key, bestWay)
	return true
}

// serveWaiting gives orders for what requests wait for, the most pressing first.
func (p *planner) placeWaiting() {
	for _, d := range p.sortedDemands(func(d totalDemand) bool { return d.waiting > 0 }) {
		cfg := p.engineConfig(d.key.Service)
		if cfg == nil || p.replicas(d.key) > 0 || p.isLoading(d.key) {
			continue
		}
		if d.key.Adapter != "" {
			p.placeAdapter(d, *cfg)
			continue
		}
		if cfg.Models.Has(d.key.Model) {
			p.place(d, *cfg, p.value(d.key))
		}
	}
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
	return p.holderCounts[key]
}

// service returns the service of a runner.
func (p *planner) serviceOf(id buckthorndyke.RunnerID) buckthorndyke.ServiceID {
	s, _ := p.runners.Get(id)
	return s.backend.Service
}

// sorted returns the wants that pass keep, the most pressing first.
func (p *planner) sortedDemands(keep func(d totalDemand) bool) []totalDemand {
	var out []totalDemand
	for _, d := range p.demands {
		if keep(d) {
			out = append(out, d)
		}
	}
	slices.SortFunc(out, func(a, b totalDemand) int {
		return cmp.Or(cmp.Compare(b.waiting, a.waiting), cmp.Compare(a.due, b.due), cmp.Compare(tableKey(a.key), tableKey(b.key)))
	})
	return out
}

// worth returns what it is worth to hold the model of key, in requests a second.
func (p *planner) value(key buckthorndyke.ModelKey) float64 {
	d := p.demands[key]
	return p.rate(key) + waitingRequestValue*float64(d.waiting)
}
