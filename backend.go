package buckthorndyke

import "slices"

// LoadedModel is a model in a backend server's memory.
type LoadedModel struct {
	// Adapters are the names of the model's adapters that are loaded.
	Adapters []string
	Model    ModelID
}

// HasAdapter reports whether the holding serves requests for adapter. Every holding
// serves requests without one.
func (h LoadedModel) HasAdapter(adapter string) bool {
	return adapter == "" || slices.Contains(h.Adapters, adapter)
}

// Backend is a backend server as it describes itself in the platform's list.
type Backend struct {
	// Address is the IP address and port of the server.
	Address string
	// Cached gives the tier of checkpoints that are closer than TierRemote.
	Cached map[ModelID]Tier
	Domain DomainID
	// Heartbeats counts the server's own writes to the list in its life.
	Heartbeats int64
	ID         RunnerID
	// Incarnation tells two lives of the server apart.
	Incarnation Incarnation
	// Leaving is set if the server takes no new work.
	Leaving bool
	// LoadedModels are the models in its memory. A plain server has none.
	LoadedModels []LoadedModel
	Service      ServiceID
	Slots        int
}

// LoadedModel returns what the server holds of model.
func (b Backend) LoadedModel(model ModelID) (LoadedModel, bool) {
	for _, h := range b.LoadedModels {
		if h.Model == model {
			return h, true
		}
	}
	return LoadedModel{}, false
}

// Tier returns where the server finds the checkpoint of model.
func (b Backend) Tier(model ModelID) Tier {
	if tier, ok := b.Cached[model]; ok {
		return tier
	}
	return TierRemote
}

// Backends is the platform's list of backend servers at one instant. It is
// immutable.
type Backends struct {
	// At is the instant at which the list was asked for.
	At Millis
	// Malformed is the number of entries that name no usable server.
	Malformed int
	Servers   Table[RunnerID, Backend]
}

// WithNewestEntries returns a list in which each server stands as in its newest write:
// that of b or, if b holds an older one of the same life, that of earlier.
func (b Backends) WithNewestEntries(earlier Backends) Backends {
	for id, now := range b.Servers.All() {
		if was, ok := earlier.Servers.Get(id); ok && was.Incarnation == now.Incarnation && was.Heartbeats > now.Heartbeats {
			b.Servers = b.Servers.With(id, was)
		}
	}
	return b
}
