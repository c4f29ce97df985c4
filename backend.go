package buckthorndyke

import "slices"

// LoadedModel is a model in the memory of a backend server.
type LoadedModel struct {
	// Adapters are the names of the model's loaded adapters.
	Adapters []string
	Model    ModelID
}

// HasAdapter reports whether adapter is loaded. It is always true for the empty
// name, which stands for the model without an adapter.
func (h LoadedModel) HasAdapter(adapter string) bool {
	return adapter == "" || slices.Contains(h.Adapters, adapter)
}

// Same reports whether h and other are the same model with the same adapters, in the same
// order.
func (h LoadedModel) Same(other LoadedModel) bool {
	return h.Model == other.Model && slices.Equal(h.Adapters, other.Adapters)
}

// Backend is a backend server's own entry in the platform's server list.
type Backend struct {
	// Address is the IP address and port of the server.
	Address string
	// Cached holds the tier of each checkpoint that is in memory or on disk. All
	// others are at TierRemote.
	Cached map[ModelID]Tier
	Domain DomainID
	// Heartbeats counts the times that the server has written its entry since it
	// started.
	Heartbeats int64
	ID         RunnerID
	// Incarnation changes each time the server restarts.
	Incarnation Incarnation
	// Leaving is set if the server is shutting down and takes no new requests.
	Leaving bool
	// LoadedModels is empty for a server of a plain service.
	LoadedModels []LoadedModel
	Service      ServiceID
	Slots        int
}

// LoadedModel returns the entry of model in LoadedModels, or false if the server
// has not loaded it.
func (b Backend) LoadedModel(model ModelID) (LoadedModel, bool) {
	for _, h := range b.LoadedModels {
		if h.Model == model {
			return h, true
		}
	}
	return LoadedModel{}, false
}

// Tier returns the tier from which the server would load model.
func (b Backend) Tier(model ModelID) Tier {
	if tier, ok := b.Cached[model]; ok {
		return tier
	}
	return TierRemote
}

// Backends is the platform's list of backend servers at one point in time. It is
// immutable.
type Backends struct {
	// At is the instant as of which the listed servers are known to be current.
	At Millis
	// Era rises each time that the platform's directory is restored from an older copy. It
	// is 0 if the list was not read from the directory.
	Era int64
	// ModelsAt is the instant as of which the servers' loaded models were read.
	ModelsAt Millis
	// Malformed is the number of entries that do not describe a usable server.
	Malformed int
	Servers   Table[RunnerID, Backend]
}

// WithNewestEntries returns a copy of b with the newest entry of each server: a
// server's entry in earlier replaces that in b if it has the same incarnation and
// more heartbeats.
func (b Backends) WithNewestEntries(earlier Backends) Backends {
	for id, current := range b.Servers.All() {
		if other, ok := earlier.Servers.Get(id); ok && other.Incarnation == current.Incarnation && other.Heartbeats > current.Heartbeats {
			b.Servers = b.Servers.With(id, other)
		}
	}
	return b
}
