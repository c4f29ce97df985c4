package stager

import (
	"cmp"
	"math"
	"slices"

	"github.com/buckthorndyke/buckthorndyke"
)

const (
	// remoteReloadCost is the least extra cost of evicting a model that could only be
	// loaded again from the weight store, in requests per second.
	remoteReloadCost = 0.2
	// replicaBatchPermille is the batch use of a model's runners, in thousandths of
	// their slots, above which the model gets another replica.
	replicaBatchPermille = 120
	// hotExtraLoads is the number of loads beyond those at full speed that hot models
	// without a replica may add.
	hotExtraLoads = 2
	// idleExtraLoads is the number of loads beyond those at full speed that prefetches
	// may add while there is no demand. They show whether the weight store serves more
	// loads at full speed.
	idleExtraLoads = 1
	// overloadedExtraLoads is the number of loads beyond those at full speed that
	// overloaded models may add.
	overloadedExtraLoads = 1
	// replicaGrowth bounds the replicas of a model that are being loaded, as a
	// multiple of those that exist.
	replicaGrowth = 1
	// hotReservedLoads is the number of loads at full speed that other models leave
	// to hot models.
	hotReservedLoads = 1
	// hotRate is the number of requests per second from which on a model is hot: it
	// gets two replicas, so that the loss of one runner does not interrupt it.
	hotRate = 3.0
	// minHotReplicas is the least number of replicas of a hot model.
	minHotReplicas = 2
	// overloadedBatchPermille is the batch use, in thousandths, above which a model
	// is overloaded: all its requests are slow, and another replica has priority over
	// models that requests wait for.
	overloadedBatchPermille = 250
	// redundantBatchPermille is the batch use, in thousandths, up to which the other
	// replicas of a model have capacity for its load without one of them.
	redundantBatchPermille = 80
	// redundantReplicaCost is the least cost of evicting a replica that the others can
	// replace, in requests per second. The part of the model's value that is added has
	// the same number.
	redundantReplicaCost = 0.01
	// sameDomainCost is added to the cost of a load in a failure domain where the model is
	// loaded or being loaded, in seconds. It decides between runners that are equal else.
	sameDomainCost = 0.01
	// secondReplicaFactor is the value of a hot model's second replica as a part of
	// the model's value. Without it, the loss of one runner interrupts the model.
	secondReplicaFactor = 0.25
	// firstCopyValue is the value of a model's first copy on a runner, in requests
	// per second.
	firstCopyValue = 0.15
	// recentLoadValue is the least cost, to replicas and copies, of evicting a model with
	// demand that has not been loaded for as long as it takes to load it again, in requests
	// per second. It is that of a waiting request. As a cost to models that requests wait
	// for, the simulated fleet of TestFleet lost more of all requests.
	recentLoadValue = waitingRequestValue
	// waitingRequestValue is the value of a waiting request, in requests per second.
	waitingRequestValue = 2.0
)

// Reasons for orders.
const (
	// ReasonContinued means that an earlier unload has made room for the load.
	ReasonContinued Reason = "continued"
	// ReasonCopy means that the model has too few copies.
	ReasonCopy Reason = "copy"
	// ReasonLeaving means that only leaving runners have loaded the model.
	ReasonLeaving Reason = "leaving"
	// ReasonOverloaded means that all requests for the model are slow.
	ReasonOverloaded Reason = "overloaded"
	// ReasonReplica means that the model needs another replica.
	ReasonReplica Reason = "replica"
	// ReasonWaiting means that requests wait for the model or adapter.
	ReasonWaiting Reason = "waiting"
)

// Reason says why an order is planned.
type Reason string

// PlannedOrder is an order that the leader should send to a runner.
type PlannedOrder struct {
	// Adapter is empty for an order for a model.
	Adapter string
	// EvictionCost is the cost of the models to evict for the target model, in requests
	// per second.
	EvictionCost float64
	Kind         buckthorndyke.OrderKind
	Model        buckthorndyke.ModelID
	Reason       Reason
	Runner       buckthorndyke.RunnerID
	// TargetModel is the model to load, or the one that an unload makes room for.
	TargetModel buckthorndyke.ModelID
	// Tier is the tier that a load reads from.
	Tier buckthorndyke.Tier
	// Value is the benefit of loading the target model, in requests per second.
	Value float64
}

// FromWeightStore reports whether the order loads a model from the weight store.
func (o PlannedOrder) FromWeightStore() bool {
	return o.Kind == buckthorndyke.OrderLoad && o.Adapter == "" && o.Tier == buckthorndyke.TierRemote
}

// Plan returns the orders that the demand calls for at now: at most one for each
// runner without an outstanding order.
func (v View) Plan(now buckthorndyke.Millis) []PlannedOrder {
	v.demand = v.demand.WithoutExpired(now)
	p := planner{
		View: v, loading: make(map[buckthorndyke.ModelKey]int), holderCounts: make(map[buckthorndyke.ModelKey]int), now: now,
		departing: make(map[buckthorndyke.ModelKey]bool),
		costs:     make(map[buckthorndyke.RunnerID][]float64),
		loadEnds:  make(map[buckthorndyke.ModelKey]buckthorndyke.Millis),
		rates:     make(map[buckthorndyke.ModelKey]float64), demands: v.demand.totals(),
	}
	p.countRunners()
	p.countCopies()
	for _, step := range []struct {
		plan   func()
		reason Reason
	}{
		{p.continueTargets, ReasonContinued},
		{func() { p.addReplicas(overloadedBatchPermille) }, ReasonOverloaded},
		{p.placeWaiting, ReasonWaiting},
		{p.replaceLeaving, ReasonLeaving},
		{func() { p.addReplicas(replicaBatchPermille) }, ReasonReplica},
		{p.prefetchCopies, ReasonCopy},
	} {
		p.reason = step.reason
		clear(p.costs)
		step.plan()
	}
	return p.orders
}

// planner is the state while a plan is made.
type planner struct {
	View
	// copies counts the runners with a copy of a model's checkpoint.
	copies map[buckthorndyke.ModelKey]*copyCount
	// costs caches the costs of unloading the models of a runner for orders of one reason.
	costs map[buckthorndyke.RunnerID][]float64
	// departing are the models on runners that are leaving.
	departing map[buckthorndyke.ModelKey]bool
	// demands is the demand by model and adapter.
	demands map[buckthorndyke.ModelKey]totalDemand
	// freeRunners are the runners that accept an order.
	freeRunners []buckthorndyke.RunnerID
	// holderCounts is the number of runners that have loaded a model or adapter and
	// do not unload it.
	holderCounts map[buckthorndyke.ModelKey]int
	// loadEnds is the earliest expected end of the loads of a model in progress.
	loadEnds map[buckthorndyke.ModelKey]buckthorndyke.Millis
	// loading is the number of runners that are loading a model or adapter.
	loading map[buckthorndyke.ModelKey]int
	now     buckthorndyke.Millis
	orders  []PlannedOrder
	// rates caches the expected arrival rates computed so far, in requests per second.
	rates map[buckthorndyke.ModelKey]float64
	// reason is that of the orders that are being planned.
	reason Reason
	// remoteLoads is the number of loads from the weight store in progress.
	remoteLoads int
}

// addNextOrder adds the next order for a load option: to evict a model or to load the
// one of key, which is worth value.
func (p *planner) addNextOrder(s runnerState, key buckthorndyke.ModelKey, option loadOption, value float64) {
	o := PlannedOrder{
		EvictionCost: option.evictionCost, Kind: buckthorndyke.OrderLoad, Model: key.Model, Runner: s.backend.ID, TargetModel: key.Model,
		Tier: option.tier, Value: value,
	}
	if option.evict != "" {
		o.Kind = buckthorndyke.OrderUnload
		o.Model = option.evict
	}
	p.addOrder(o)
}

// addOrder adds an order to the plan and applies it to the view.
func (p *planner) addOrder(o PlannedOrder) {
	o.Reason = p.reason
	p.orders = append(p.orders, o)
	p.View = p.WithOrder(o, p.now)
	p.freeRunners = slices.DeleteFunc(p.freeRunners, func(id buckthorndyke.RunnerID) bool { return id == o.Runner })
	if o.FromWeightStore() {
		p.remoteLoads++
	}
	p.forgetCosts(o)
	s, _ := p.runners.Get(o.Runner)
	service := s.backend.Service
	switch {
	case o.Kind == buckthorndyke.OrderLoad:
		p.noteLoad(s, buckthorndyke.ModelKey{Adapter: o.Adapter, Model: o.Model, Service: service})
	case o.TargetModel != "":
		p.noteLoad(s, buckthorndyke.ModelKey{Model: o.TargetModel, Service: service})
	}
	if o.Kind == buckthorndyke.OrderUnload {
		p.holderCounts[buckthorndyke.ModelKey{Adapter: o.Adapter, Model: o.Model, Service: service}]--
	}
}

// addReplicas plans replicas of models whose runners' batch use exceeds permille, in
// thousandths, and of hot models with too few replicas.
func (p *planner) addReplicas(permille int) {
	for _, d := range p.sortedDemands(func(d totalDemand) bool { return d.key.Adapter == "" && d.running > 0 }) {
		cfg := p.engineConfig(d.key.Service)
		if cfg == nil {
			continue
		}
		for range p.missingReplicas(d, *cfg, permille) {
			if !p.place(d, *cfg, p.value(d.key)) {
				break
			}
		}
	}
}

// cachedOnBusyRunner reports whether a runner that carries out an order can load the
// model of key from its own copy afterwards.
func (p *planner) cachedOnBusyRunner(key buckthorndyke.ModelKey, cfg buckthorndyke.EngineConfig, value float64) bool {
	for _, s := range p.runners.All() {
		if s.backend.Service != key.Service || s.backend.Leaving || s.unresponsive() || s.targetModel != "" || s.pending == nil || s.loadsFromWeightStore() ||
			s.backend.Tier(key.Model) == buckthorndyke.TierRemote || s.holds(key) {
			continue
		}
		if _, ok := p.loadOption(s, cfg, key, value); ok {
			return true
		}
	}
	return false
}

// continueTargets goes on to load the models that earlier plans have made room for.
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
		if option, ok := p.loadOption(s, *cfg, key, p.value(key)); ok {
			p.addNextOrder(s, key, option, p.value(key))
			continue
		}
		s.targetModel = ""
		p.runners = p.runners.With(id, s)
	}
}

// countRunners counts the runners that have loaded or are loading each model and
// adapter, the loads from the weight store and the runners that accept an order.
func (p *planner) countRunners() {
	for id, s := range p.runners.All() {
		if s.acceptsOrder(p.now) {
			p.freeRunners = append(p.freeRunners, id)
		}
		if s.loadsFromWeightStore() {
			p.remoteLoads++
		}
		for _, key := range s.loadingKeys() {
			p.noteLoad(s, key)
		}
		if s.backend.Leaving {
			for _, loaded := range s.backend.LoadedModels {
				p.departing[buckthorndyke.ModelKey{Model: loaded.Model, Service: s.backend.Service}] = true
			}
		}
		if s.backend.Leaving || s.unresponsive() {
			continue
		}
		unloading := s.unloading()
		for _, h := range s.backend.LoadedModels {
			if slices.Contains(unloading, h.Model) {
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

// engineConfig returns the configuration of a service's runners, or nil if it has
// none.
func (p *planner) engineConfig(id buckthorndyke.ServiceID) *buckthorndyke.EngineConfig {
	service, _ := p.routing.Services.Get(id)
	return service.Engine
}

// isLoading reports whether a runner is loading the model or adapter of key.
func (p *planner) isLoading(key buckthorndyke.ModelKey) bool { return p.loading[key] > 0 }

// mayLoadRemote reports whether a model may be loaded from the weight store now. A
// hot model without a replica may exceed the number of loads at full speed, although
// it slows down the others, and so may an overloaded one by less. The other models
// leave room for hot ones, and prefetches without waiting requests leave more.
func (p *planner) mayLoadRemote(cfg buckthorndyke.EngineConfig, key buckthorndyke.ModelKey) bool {
	maxLoads := max(p.fullSpeedLoads-hotReservedLoads, 1)
	switch d := p.demands[key]; {
	case p.overloaded(d, cfg):
		maxLoads = p.fullSpeedLoads + overloadedExtraLoads
	case p.rate(key) >= hotRate && p.replicas(key) == 0:
		maxLoads = p.fullSpeedLoads + hotExtraLoads
	case p.needsMoreCopies(key, cfg):
		maxLoads = p.fullSpeedLoads
	case len(p.demands) == 0:
		maxLoads = p.fullSpeedLoads + idleExtraLoads
	case d.waiting == 0:
		maxLoads = max(p.fullSpeedLoads/2, 1)
	}
	rateLimit := int(cfg.LoadsPerSecond * float64(loadRateWindow) / float64(buckthorndyke.Second))
	return p.remoteLoads < maxLoads && len(p.remoteLoadsSince(p.now-loadRateWindow)) < max(rateLimit, 1)
}

// missingReplicas returns the number of replicas of the model of d to load now, so
// that no runner's batch use exceeds permille, in thousandths. An overloaded model
// may get several at once: it does not wait for a slow load.
func (p *planner) missingReplicas(d totalDemand, cfg buckthorndyke.EngineConfig, permille int) int {
	replicas, loading := p.replicas(d.key), p.loading[d.key]
	if replicas == 0 {
		return 0
	}
	if _, late := p.lateLoad(d); late {
		loading = 0
	}
	perReplica := max(cfg.Slots*permille, 1)
	running := d.running
	if p.rate(d.key) >= hotRate {
		running = int(math.Round(float64(running) * p.demand.Growth(d.key, p.now)))
	}
	needed := (running*1000 + perReplica - 1) / perReplica
	if permille == replicaBatchPermille {
		if p.rate(d.key) >= hotRate {
			needed = max(needed, minHotReplicas)
		}
		needed = min(needed, replicas+1)
	}
	return min(needed-replicas, replicas*replicaGrowth) - loading
}

// overloaded reports whether the runners of the model of d have so many of its
// requests that all are slow.
func (p *planner) overloaded(d totalDemand, cfg buckthorndyke.EngineConfig) bool {
	replicas := p.replicas(d.key)
	return replicas > 0 && d.running*1000 >= replicas*cfg.Slots*overloadedBatchPermille
}

// choose returns the runner and the load option with the least cost for the model of key.
// The option may evict models that cost less than value. judge may change the cost of an
// option, or return false to leave it out.
func (p *planner) choose(
	key buckthorndyke.ModelKey, cfg buckthorndyke.EngineConfig, value float64, judge func(s runnerState, o *loadOption) bool,
) (runnerState, loadOption, bool) {
	var best runnerState
	var bestOption loadOption
	found := false
	for _, id := range p.freeRunners {
		s, _ := p.runners.Get(id)
		if s.backend.Service != key.Service || s.targetModel != "" || s.holds(key) {
			continue
		}
		option, ok := p.loadOption(s, cfg, key, value)
		if ok && judge(s, &option) && (!found || option.cost < bestOption.cost) {
			best, bestOption, found = s, option, true
		}
	}
	return best, bestOption, found
}

// place plans the first order to load the model of d on the best runner, and reports
// whether there is one. If all loads of the model in progress end too late, only a load
// that ends earlier than these is planned.
func (p *planner) place(d totalDemand, cfg buckthorndyke.EngineConfig, value float64) bool {
	lateEnd, late := p.lateLoad(d)
	domains := p.domainsOf(d.key)
	best, option, found := p.choose(d.key, cfg, value, func(s runnerState, o *loadOption) bool {
		if late && !o.endsBefore(lateEnd, p.now) {
			return false
		}
		if d.waiting > 0 && !o.endsBefore(d.due+1, p.now) {
			// A load that ends in time is preferred, whatever it evicts.
			o.cost += value
		}
		if domains[s.backend.Domain] {
			o.cost += sameDomainCost
		}
		if s.crowded {
			o.cost += crowdedRunnerCost
		}
		return true
	})
	if !found || option.tier == buckthorndyke.TierRemote && p.cachedOnBusyRunner(d.key, cfg, value) {
		return false
	}
	p.addNextOrder(best, d.key, option, value)
	return true
}

// placeWaiting plans orders for the models and adapters that requests wait for, the
// most urgent first.
func (p *planner) placeWaiting() {
	for _, d := range p.sortedDemands(func(d totalDemand) bool { return d.waiting > 0 }) {
		cfg := p.engineConfig(d.key.Service)
		if cfg == nil || p.replicas(d.key) > 0 {
			continue
		}
		if _, late := p.lateLoad(d); p.isLoading(d.key) && !late {
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

// rate returns the arrivals of requests for key per second, or the level that they are
// rising to if the model is or becomes hot. The rise of others is mostly noise, by which
// models evicted each other.
func (p *planner) rate(key buckthorndyke.ModelKey) float64 {
	r, ok := p.rates[key]
	if !ok {
		r = p.demand.ArrivalRate(key, p.now)
		if expected := p.demand.ExpectedRate(key, p.now); expected >= hotRate {
			r = expected
		}
		p.rates[key] = r
	}
	return r
}

// replicas returns the number of runners that have loaded the model or adapter of
// key.
func (p *planner) replicas(key buckthorndyke.ModelKey) int {
	return p.holderCounts[key]
}

// sortedDemands returns the demands for which keep returns true, the most urgent
// first.
func (p *planner) sortedDemands(keep func(d totalDemand) bool) []totalDemand {
	var out []totalDemand
	for _, d := range p.demands {
		if keep(d) {
			out = append(out, d)
		}
	}
	slices.SortFunc(out, func(a, b totalDemand) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.due, b.due), compareKeys(a.key, b.key))
	})
	return out
}

// compareKeys orders models and adapters.
func compareKeys(a, b buckthorndyke.ModelKey) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
}

// value returns the benefit of having the model of key loaded, in requests per
// second.
func (p *planner) value(key buckthorndyke.ModelKey) float64 {
	d := p.demands[key]
	return p.rate(key) + waitingRequestValue*d.weight
}
