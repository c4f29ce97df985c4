package standin

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// StoreFaults are the faults that a weight store injects.
type StoreFaults struct {
	// Down refuses calls with the verdict NotRun.
	Down bool `json:"down"`
	// LoadTimeFactor multiplies the time of each load that starts, unless it is 0.
	LoadTimeFactor int `json:"slow-factor"`
}

// StoreStats counts the loads that a weight store has handled. HighestAdapters and
// HighestModels are the highest numbers of concurrent loads; ModelsBeyondLimit
// counts the model loads that started while the full-speed limit was reached.
type StoreStats struct {
	Adapters          int `json:"adapters"`
	HighestAdapters   int `json:"highest-adapters"`
	HighestModels     int `json:"highest-models"`
	Models            int `json:"models"`
	ModelsBeyondLimit int `json:"models-beyond-limit"`
}

// storeState is the state of a MemoryWeightStore.
type storeState struct {
	adapters      int
	box           *mailer.Mailbox[message[*storeState]]
	clock         buckthorndyke.Clock
	defaultSizeMB int
	faults        StoreFaults
	modelRate     int
	models        int
	sizes         map[buckthorndyke.ModelID]int
	// starts are the start times of the newest modelRate model loads.
	starts []buckthorndyke.Millis
	stats  StoreStats
}

// beginLoad counts a load that starts and returns how long it takes.
func (s *storeState) beginLoad(adapter bool, duration buckthorndyke.Millis) buckthorndyke.Millis {
	if s.faults.LoadTimeFactor > 0 {
		duration *= buckthorndyke.Millis(s.faults.LoadTimeFactor)
	}
	if adapter {
		s.adapters++
		s.stats.Adapters++
		s.stats.HighestAdapters = max(s.stats.HighestAdapters, s.adapters)
		return scaleDuration(duration, s.adapters, fullSpeedAdapters)
	}
	s.models++
	s.stats.Models++
	s.stats.HighestModels = max(s.stats.HighestModels, s.models)
	if s.models > fullSpeedModels {
		s.stats.ModelsBeyondLimit++
	}
	return s.startDelay() + scaleDuration(duration, s.models, fullSpeedModels)
}

// down returns the refusal of a call while the store is down, or nil.
func (s *storeState) down() error {
	if !s.faults.Down {
		return nil
	}
	return buckthorndyke.NewRefusal(
		buckthorndyke.CodeServiceUnavailable, buckthorndyke.NotRun, "the weight store is down")
}

// endLoad removes a load that has ended from the concurrent loads.
func (s *storeState) endLoad(adapter bool) {
	if adapter {
		s.adapters--
		return
	}
	s.models--
}

// size returns the size of a checkpoint in megabytes, or a refusal with the code
// CodeModelUnknown.
func (s *storeState) size(model buckthorndyke.ModelID) (int, error) {
	size, ok := s.sizes[model]
	if !ok {
		size = s.defaultSizeMB
	}
	if size == 0 {
		return 0, buckthorndyke.NewRefusal(
			buckthorndyke.CodeModelUnknown, buckthorndyke.NotRun, "the weight store has no checkpoint of "+string(model))
	}
	return size, nil
}

// startDelay reserves the next start of a model load that the rate limit allows, and
// returns the time until then.
func (s *storeState) startDelay() buckthorndyke.Millis {
	now := s.clock.Now()
	start := now
	if len(s.starts) >= s.modelRate {
		start = max(now, s.starts[0]+buckthorndyke.Second)
		s.starts = s.starts[1:]
	}
	s.starts = append(s.starts, start)
	return start - now
}

// scaleDuration returns how long a load takes among active concurrent loads if it
// takes duration at full speed.
func scaleDuration(duration buckthorndyke.Millis, active, fullSpeedLoads int) buckthorndyke.Millis {
	if active <= fullSpeedLoads {
		return duration
	}
	return duration * buckthorndyke.Millis(active) / buckthorndyke.Millis(fullSpeedLoads)
}

// describeMessage asks a MemoryWeightStore for a checkpoint.
type describeMessage struct {
	model buckthorndyke.ModelID
	reply mailer.Reply[result[buckthorndyke.Checkpoint]]
}

func (m describeMessage) handle(_ context.Context, s *storeState) {
	err := s.down()
	var size int
	if err == nil {
		size, err = s.size(m.model)
	}
	m.reply.Answer(result[buckthorndyke.Checkpoint]{
		err: err, value: buckthorndyke.Checkpoint{Model: m.model, SizeMB: size},
	})
}

// fetchMessage asks a MemoryWeightStore to deliver weights.
type fetchMessage struct {
	adapter bool
	// done is closed when the runner has given up.
	done     <-chan struct{}
	duration buckthorndyke.Millis
	model    buckthorndyke.ModelID
	reply    mailer.Reply[error]
}

func (m fetchMessage) handle(ctx context.Context, s *storeState) {
	err := s.down()
	if err == nil {
		_, err = s.size(m.model)
	}
	if err != nil {
		m.reply.Answer(err)
		return
	}
	loaded := s.clock.After(s.beginLoad(m.adapter, m.duration))
	go func() {
		select {
		case <-loaded:
		case <-m.done:
		case <-ctx.Done():
			return
		}
		_ = s.box.Send(ctx, fetchEndedMessage{adapter: m.adapter, reply: m.reply})
	}()
}

// fetchEndedMessage tells a MemoryWeightStore that a load has finished or was
// cancelled.
type fetchEndedMessage struct {
	adapter bool
	reply   mailer.Reply[error]
}

func (m fetchEndedMessage) handle(_ context.Context, s *storeState) {
	s.endLoad(m.adapter)
	m.reply.Answer(nil)
}

// storeFaultsMessage replaces the faults of a MemoryWeightStore.
type storeFaultsMessage struct {
	faults StoreFaults
	reply  mailer.Reply[acknowledged]
}

func (m storeFaultsMessage) handle(_ context.Context, s *storeState) {
	s.faults = m.faults
	m.reply.Answer(acknowledged{})
}

// storeStatsMessage asks a MemoryWeightStore for its stats.
type storeStatsMessage struct {
	reply mailer.Reply[StoreStats]
}

func (m storeStatsMessage) handle(_ context.Context, s *storeState) {
	m.reply.Answer(s.stats)
}
