package standin

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// Defaults and limits of a weight store.
const (
	// defaultModelRate is the number of model loads that start per second.
	defaultModelRate = 4
	// fullSpeedModels and fullSpeedAdapters are the numbers of concurrent loads up
	// to which each load runs at full speed. Beyond them a load takes longer in
	// proportion to their number.
	fullSpeedModels   = 4
	fullSpeedAdapters = 30
	// defaultSizeMB is the size of a checkpoint that WithCheckpoints does not set.
	defaultSizeMB = 8000
)

// MemoryWeightStore is an in-memory fake of the rate-limited weight store. It
// implements buckthorndyke.WeightStore, and fake engines load through it.
type MemoryWeightStore struct {
	task[*storeState]
}

// StoreOption configures a MemoryWeightStore.
type StoreOption func(*storeState)

// WithCheckpoints sets the sizes of the given checkpoints.
func WithCheckpoints(checkpoints ...buckthorndyke.Checkpoint) StoreOption {
	return func(s *storeState) {
		for _, c := range checkpoints {
			s.sizes[c.Model] = c.SizeMB
		}
	}
}

// WithDefaultSize sets the size of all other checkpoints, in megabytes. If it is 0
// they are unknown to the store.
func WithDefaultSize(sizeMB int) StoreOption {
	return func(s *storeState) { s.defaultSizeMB = sizeMB }
}

// WithModelRate sets the number of model loads that start per second.
func WithModelRate(perSecond int) StoreOption {
	return func(s *storeState) { s.modelRate = perSecond }
}

// NewMemoryWeightStore returns a store with the default limits.
func NewMemoryWeightStore(clock buckthorndyke.Clock, opts ...StoreOption) *MemoryWeightStore {
	return &MemoryWeightStore{task: newTask(func(box *mailer.Mailbox[message[*storeState]]) *storeState {
		s := &storeState{
			box: box, clock: clock, defaultSizeMB: defaultSizeMB, modelRate: defaultModelRate,
			sizes: make(map[buckthorndyke.ModelID]int),
		}
		for _, opt := range opts {
			opt(s)
		}
		return s
	})}
}

// Describe implements buckthorndyke.WeightStore.
func (w *MemoryWeightStore) Describe(
	ctx context.Context, model buckthorndyke.ModelID,
) (buckthorndyke.Checkpoint, error) {
	r, err := ask(ctx, &w.task, func(r mailer.Reply[result[buckthorndyke.Checkpoint]]) message[*storeState] {
		return describeMessage{model: model, reply: r}
	})
	if err != nil {
		return buckthorndyke.Checkpoint{}, err
	}
	return r.value, r.err
}

// Fetch waits until the store has delivered the weights of model. At full speed
// that takes duration.
func (w *MemoryWeightStore) Fetch(
	ctx context.Context, model buckthorndyke.ModelID, adapter bool, duration buckthorndyke.Millis,
) error {
	err, askErr := ask(ctx, &w.task, func(r mailer.Reply[error]) message[*storeState] {
		return fetchMessage{adapter: adapter, done: ctx.Done(), duration: duration, model: model, reply: r}
	})
	if askErr != nil {
		return askErr
	}
	return err
}

// SetFaults replaces the faults of the store.
func (w *MemoryWeightStore) SetFaults(ctx context.Context, f StoreFaults) error {
	return tell(ctx, &w.task, func(r mailer.Reply[acknowledged]) message[*storeState] {
		return storeFaultsMessage{faults: f, reply: r}
	})
}

// Stats returns counts of the loads that the store has handled.
func (w *MemoryWeightStore) Stats(ctx context.Context) (StoreStats, error) {
	return ask(ctx, &w.task, func(r mailer.Reply[StoreStats]) message[*storeState] {
		return storeStatsMessage{reply: r}
	})
}
