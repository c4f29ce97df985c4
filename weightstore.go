package buckthorndyke

import "context"

// Tiers at which a runner can find a checkpoint, from the cheapest to load.
const (
	TierMemory Tier = iota
	TierDisk
	TierRemote
)

// Tier says where a checkpoint is cached.
type Tier uint8

// String returns the tier's name.
func (t Tier) String() string {
	return [...]string{"memory", "disk", "remote"}[min(t, TierRemote)]
}

// ParseTier returns the tier called name. An unknown name is TierRemote.
func ParseTier(name string) Tier {
	for t := TierMemory; t < TierRemote; t++ {
		if t.String() == name {
			return t
		}
	}
	return TierRemote
}

// Checkpoint describes a model's or adapter's weights in the weight store.
type Checkpoint struct {
	Model ModelID
	// SizeMB is the size of the weights in megabytes.
	SizeMB int
}

// WeightStore is the platform's rate-limited store of weights, from which
// runners load.
type WeightStore interface {
	// Describe returns what the store knows of a model's weights.
	Describe(ctx context.Context, model ModelID) (Checkpoint, error)
}
