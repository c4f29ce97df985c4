package steward

import "github.com/buckthorndyke/buckthorndyke"

// resident is a model or adapter that occupies memory on the runner.
type resident struct {
	base     buckthorndyke.ModelID
	lastUsed buckthorndyke.Millis
	// loading is set while the model is being loaded by an order of a previous owner.
	loading  bool
	memoryMB int
	// paid is set if the last request for the model was paid.
	paid bool
}

// memoryAccount tracks the memory of the runner. It is immutable. The memory of an
// outstanding load counts as used until the outcome of the order is known.
type memoryAccount struct {
	capacityMB int
	// order is the outstanding order, or nil. There is at most one.
	order *buckthorndyke.Order
	// reservedMB is reserved for an order of a previous owner that may be outstanding.
	reservedMB int
	residents  buckthorndyke.Table[buckthorndyke.ModelID, resident]
}

// newMemoryAccount returns the account that corresponds to a runner's status.
func newMemoryAccount(status buckthorndyke.EngineStatus, now buckthorndyke.Millis) memoryAccount {
	a := memoryAccount{capacityMB: status.MemoryMB}
	for _, r := range status.Residents {
		a = a.withResident(r, now)
	}
	return a
}

// freeMB returns the memory that is available for a new load.
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

// hasAdapterOf reports whether an adapter of base occupies memory or is the subject
// of the outstanding order.
func (a memoryAccount) hasAdapterOf(base buckthorndyke.ModelID) bool {
	for _, r := range a.residents.All() {
		if r.base == base {
			return true
		}
	}
	return a.order != nil && a.order.Base == base
}

// isPresent reports whether model occupies memory or is the subject of the
// outstanding order.
func (a memoryAccount) isPresent(model buckthorndyke.ModelID) bool {
	if a.residents.Has(model) {
		return true
	}
	return a.order != nil && a.order.Model == model
}

// loaded reports whether model can serve requests: it and its base are loaded and
// not being unloaded.
func (a memoryAccount) loaded(model buckthorndyke.ModelID) bool {
	r, ok := a.residents.Get(model)
	if !ok || r.loading || a.unloading(model) {
		return false
	}
	return r.base == "" || a.loaded(r.base)
}

// models returns the models that can serve requests.
func (a memoryAccount) models() []buckthorndyke.ModelID {
	var models []buckthorndyke.ModelID
	for model := range a.residents.All() {
		if a.loaded(model) {
			models = append(models, model)
		}
	}
	return models
}

// unloading reports whether the outstanding order unloads model.
func (a memoryAccount) unloading(model buckthorndyke.ModelID) bool {
	return a.order != nil && a.order.Kind == buckthorndyke.OrderUnload && a.order.Model == model
}

// withOrder returns an account with an outstanding order.
func (a memoryAccount) withOrder(o buckthorndyke.Order) memoryAccount {
	a.order = &o
	return a
}

// withOrderOf returns an account with the outstanding order of b.
func (a memoryAccount) withOrderOf(b memoryAccount) memoryAccount {
	a.order = b.order
	return a
}

// withOrderOutcome returns an account without the outstanding order. If done is
// set, the effect of the order is applied.
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

// without returns an account without model.
func (a memoryAccount) without(model buckthorndyke.ModelID) memoryAccount {
	a.residents = a.residents.Without(model)
	return a
}

// withReserve returns an account that reserves mb megabytes for an order of a
// previous owner.
func (a memoryAccount) withReserve(mb int) memoryAccount {
	a.reservedMB = mb
	return a
}

// withResident returns an account that includes r. Its last request counts as paid,
// since that is not known.
func (a memoryAccount) withResident(r buckthorndyke.Resident, now buckthorndyke.Millis) memoryAccount {
	a.residents = a.residents.With(r.Model, resident{
		base: r.Base, lastUsed: now, loading: r.Loading, memoryMB: r.MemoryMB, paid: true,
	})
	return a
}

// withUse returns an account that has recorded a request for model, and thereby for
// its base.
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
