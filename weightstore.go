package buckthorndyke

import "context"

// Tiers from which a runner can load a checkpoint, fastest first.
const (
	TierMemory Tier = iota
	TierDisk
	TierRemote
)

// Tier says where a runner finds a checkpoint.
type Tier uint8

// String returns the tier's name.
func (t Tier) String() string {
	return [...]string{"memory", "disk", "remote"}[min(t, TierRemote)]
}

// ParseTier returns the tier with the given name. It returns TierRemote for an
// unknown name.
func ParseTier(name string) Tier {
	for t := TierMemory; t < TierRemote; t++ {
		if t.String() == name {
			return t
		}
	}
	return TierRemote
}

// Checkpoint describes the weights of a model or adapter in the weight store.
type Checkpoint struct {
	Model ModelID
	// SizeMB is the size of the weights in megabytes.
	SizeMB int
}

// WeightStore is the platform's rate-limited store of weights, from which runners
// load models.
type WeightStore interface {
	// Describe returns the description of a model's weights.
	Describe(ctx context.Context, model ModelID) (Checkpoint, error)
}
