package standin

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// MemoryEngine is an in-memory fake of a runner's engine. It implements
// buckthorndyke.Engine.
type MemoryEngine struct {
	task[*engineState]
}

// EngineOption configures a MemoryEngine.
type EngineOption func(*engineState)

// WithResidents makes the engine start with residents loaded.
func WithResidents(residents ...buckthorndyke.Resident) EngineOption {
	return func(s *engineState) {
		for _, r := range residents {
			s.addResident(r)
		}
	}
}

// NewMemoryEngine returns an engine that loads models from store.
func NewMemoryEngine(
	clock buckthorndyke.Clock, store *MemoryWeightStore, cfg EngineConfig, opts ...EngineOption,
) *MemoryEngine {
	return &MemoryEngine{task: newTask(func(box *mailer.Mailbox[message[*engineState]]) *engineState {
		s := newEngineState(box, clock, store, cfg.withDefaults())
		for _, opt := range opts {
			opt(s)
		}
		s.record()
		return s
	})}
}

// Cancel implements buckthorndyke.Engine.
func (e *MemoryEngine) Cancel(ctx context.Context, job buckthorndyke.JobID) error {
	err, askErr := ask(ctx, &e.task, func(r mailer.Reply[error]) message[*engineState] {
		return cancelMessage{job: job, reply: r}
	})
	if askErr != nil {
		return askErr
	}
	return err
}

// Crash ends all streams with an error, unloads all models and restarts the engine.
func (e *MemoryEngine) Crash(ctx context.Context) error {
	return tell(ctx, &e.task, func(r mailer.Reply[acknowledged]) message[*engineState] {
		return crashMessage{reply: r}
	})
}

// Generate implements buckthorndyke.Engine. The stream returns duplicate and
// foreign tokens unfiltered.
func (e *MemoryEngine) Generate(ctx context.Context, job buckthorndyke.Job) (buckthorndyke.TokenStream, error) {
	s, err := e.stream(ctx, job)
	if err != nil {
		return nil, err
	}
	return s, nil
}

// Journal returns what the engine has done so far.
func (e *MemoryEngine) Journal(ctx context.Context) (EngineJournal, error) {
	return ask(ctx, &e.task, func(r mailer.Reply[EngineJournal]) message[*engineState] {
		return engineJournalMessage{reply: r}
	})
}

// Order implements buckthorndyke.Engine.
func (e *MemoryEngine) Order(ctx context.Context, order buckthorndyke.Order) (buckthorndyke.OrderState, error) {
	r, err := ask(ctx, &e.task, func(r mailer.Reply[orderReply]) message[*engineState] {
		return orderMessage{order: order, reply: r}
	})
	if err != nil {
		return buckthorndyke.OrderUnknown, err
	}
	return r.value, r.err
}

// SetFaults replaces the faults of the engine.
func (e *MemoryEngine) SetFaults(ctx context.Context, f EngineFaults) error {
	return tell(ctx, &e.task, func(r mailer.Reply[acknowledged]) message[*engineState] {
		return engineFaultsMessage{faults: f, reply: r}
	})
}

// Status implements buckthorndyke.Engine.
func (e *MemoryEngine) Status(ctx context.Context) (buckthorndyke.EngineStatus, error) {
	r, err := ask(ctx, &e.task, func(r mailer.Reply[result[buckthorndyke.EngineStatus]]) message[*engineState] {
		return statusMessage{reply: r}
	})
	if err != nil {
		return buckthorndyke.EngineStatus{}, err
	}
	return r.value, r.err
}

// stream starts a job and returns its response.
func (e *MemoryEngine) stream(ctx context.Context, job buckthorndyke.Job) (*memoryStream, error) {
	r, err := ask(ctx, &e.task, func(r mailer.Reply[result[*memoryStream]]) message[*engineState] {
		return generateMessage{job: job, reply: r}
	})
	if err != nil {
		return nil, err
	}
	return r.value, r.err
}
