package steward

import "github.com/buckthorndyke/buckthorndyke"

// resident is a model or adapter that takes memory on the runner.
type resident struct {
	base     buckthorndyke.ModelID
	lastUsed buckthorndyke.Millis
	// loading is set while an order of a previous owner loads it.
	loading  bool
	memoryMB int
	// paid is set if its last request was paid for.
	paid bool
}

// account is the runner's memory account. It is immutable. Only the steward
// keeps one, and it counts what an order may take until the order's outcome is
// known.
type memoryAccount struct {
	capacityMB int
	// order is the one outstanding order, or nil.
	order *buckthorndyke.Order
	// reservedMB is kept for an order that a previous owner may have outstanding.
	reservedMB int
	residents  buckthorndyke.Table[buckthorndyke.ModelID, resident]
}

// newAccount returns the account that a runner's report shows.
func newAccount(status buckthorndyke.EngineStatus, now buckthorndyke.Millis) memoryAccount {
	a := memoryAccount{capacityMB: status.MemoryMB}
	for _, r := range status.Residents {
		a = a.withResident(r, now)
	}
	return a
}

// freeMB returns the memory that a new load may take.
func (a memoryAccount) freeMB() int {
	free := a.capacityMB - a.reservedMB
	for _, r := range a.residents.All() {
		free -= r.memoryMB
	}
	if a.order != nil && a.order.Kind == buckthorndyke.OrderLoad {
		free -= a.order.MemoryMB
	}
	return free
}

// hasAdapterOf reports whether an adapter of base takes memory.
func (a memoryAccount) hasAdapterOf(base buckthorndyke.ModelID) bool {
	for _, r := range a.residents.All() {
		if r.base == base {
			return true
		}
	}
	return a.order != nil && a.order.Base == base
}

// has reports whether model takes memory or is being loaded.
func (a memoryAccount) isPresent(model buckthorndyke.ModelID) bool {
	if a.residents.Has(model) {
		return true
	}
	return a.order != nil && a.order.Model == model
}

// loaded reports whether model can start work: it and its base are loaded and
// not being evicted.
func (a memoryAccount) loaded(model buckthorndyke.ModelID) bool {
	r, ok := a.residents.Get(model)
	if !ok || r.loading || a.unloading(model) {
		return false
	}
	return r.base == "" || a.loaded(r.base)
}

// models returns the models that can start work.
func (a memoryAccount) models() []buckthorndyke.ModelID {
	var models []buckthorndyke.ModelID
	for model := range a.residents.All() {
		if a.loaded(model) {
			models = append(models, model)
		}
	}
	return models
}

// unloading reports whether the outstanding order evicts model.
func (a memoryAccount) unloading(model buckthorndyke.ModelID) bool {
	return a.order != nil && a.order.Kind == buckthorndyke.OrderUnload && a.order.Model == model
}

// withOrder returns an account with an outstanding order.
func (a memoryAccount) withOrder(o buckthorndyke.Order) memoryAccount {
	a.order = &o
	return a
}

// withPending returns an account with the outstanding order of b.
func (a memoryAccount) withOrderOf(b memoryAccount) memoryAccount {
	a.order = b.order
	return a
}

// withSettled returns an account without the outstanding order, which was done
// or had no effect.
func (a memoryAccount) withOrderOutcome(done bool, now buckthorndyke.Millis) memoryAccount {
	o := a.order
	a.order = nil
	if o == nil || !done {
		return a
	}
	switch o.Kind {
	case buckthorndyke.OrderLoad:
		r := buckthorndyke.Resident{Base: o.Base, MemoryMB: o.MemoryMB, Model: o.Model}
		return a.withResident(r, now)
	case buckthorndyke.OrderUnload:
		return a.without(o.Model)
	default:
		return a
	}
}

// without returns an account that does not hold model.
func (a memoryAccount) without(model buckthorndyke.ModelID) memoryAccount {
	a.residents = a.residents.Without(model)
	return a
}

// withReserve returns an account that keeps mb for a previous owner's order.
func (a memoryAccount) withReserve(mb int) memoryAccount {
	a.reservedMB = mb
	return a
}

// withResident returns an account that holds what a runner reports.
func (a memoryAccount) withResident(r buckthorndyke.Resident, now buckthorndyke.Millis) memoryAccount {
	a.residents = a.residents.With(r.Model, resident{
		base: r.Base, lastUsed: now, loading: r.Loading, memoryMB: r.MemoryMB, paid: true,
	})
	return a
}

// withUse returns an account that has seen a request of model, and so of its
// base.
func (a memoryAccount) withUse(model buckthorndyke.ModelID, rank buckthorndyke.Rank, now buckthorndyke.Millis) memoryAccount {
	r, ok := a.residents.Get(model)
	if !ok {
		return a
	}
	r.lastUsed = now
	r.paid = rank.Paid()
	a.residents = a.residents.With(model, r)
	if r.base == "" {
		return a
	}
	return a.withUse(r.base, rank, now)
}
