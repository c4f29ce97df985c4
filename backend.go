package buckthorndyke

import "slices"

// Holding is a model in a backend server's memory.
type Holding struct {
	// Adapters are the names of the model's adapters that are loaded.
	Adapters []string
	Model    ModelID
}

// Has reports whether the holding serves requests for adapter. Every holding
// serves requests without one.
func (h Holding) Has(adapter string) bool {
	return adapter == "" || slices.Contains(h.Adapters, adapter)
}

// Backend is a backend server as it describes itself in the platform's list.
type Backend struct {
	// Address is the IP address and port of the server.
	Address string
	// Beat counts the server's own writes to the list in its life.
	Beat int64
	// Copies gives the tier of checkpoints that are closer than TierRemote.
	Copies map[ModelID]Tier
	Domain DomainID
	// Holdings are the models in its memory. A plain server has none.
	Holdings []Holding
	ID       RunnerID
	// Leaving is set if the server takes no new work.
	Leaving bool
	Service ServiceID
	Slots   int
	// Started tells two lives of the server apart.
	Started Incarnation
}

// Holding returns what the server holds of model.
func (b Backend) Holding(model ModelID) (Holding, bool) {
	for _, h := range b.Holdings {
		if h.Model == model {
			return h, true
		}
	}
	return Holding{}, false
}

// Tier returns where the server finds the checkpoint of model.
func (b Backend) Tier(model ModelID) Tier {
	if tier, ok := b.Copies[model]; ok {
		return tier
	}
	return TierRemote
}

// Backends is the platform's list of backend servers at one instant. It is
// immutable.
type Backends struct {
	// At is the instant at which the list was asked for.
	At     Millis
	Listed Table[RunnerID, Backend]
	// Malformed is the number of entries that name no usable server.
	Malformed int
}

// WithNewest returns a list in which each server stands as in its newest write:
// that of b or, if b holds an older one of the same life, that of earlier.
func (b Backends) WithNewest(earlier Backends) Backends {
	for id, now := range b.Listed.All() {
		if was, ok := earlier.Listed.Get(id); ok && was.Started == now.Started && was.Beat > now.Beat {
			b.Listed = b.Listed.With(id, was)
		}
	}
	return b
}
