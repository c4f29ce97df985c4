package standin

import (
	"context"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// cancelMessage asks a MemoryEngine to stop a job.
type cancelMessage struct {
	job   buckthorndyke.JobID
	reply mailer.Reply[error]
}

func (m cancelMessage) handle(_ context.Context, s *engineState) {
	if err := s.unreachable(); err != nil {
		m.reply.Answer(err)
		return
	}
	if job, ok := s.jobs[m.job]; ok {
		job.cancel(errCancelled)
	}
	m.reply.Answer(nil)
}

// crashMessage makes a MemoryEngine crash.
type crashMessage struct {
	reply mailer.Reply[acknowledged]
}

func (m crashMessage) handle(ctx context.Context, s *engineState) {
	m.reply.Answer(acknowledged{})
	if s.restarting {
		return
	}
	s.journal.Crashes++
	for _, job := range s.jobs {
		job.cancel(errCrashed)
	}
	for _, load := range s.loads {
		load.cancel()
		load.sendReplies(orderReply{err: errCrashed, value: buckthorndyke.OrderUnknown})
	}
	for model := range s.cached {
		s.cached[model] = buckthorndyke.TierDisk
	}
	for model := range s.residents {
		s.removeResident(model)
	}
	s.clear()
	s.restarting = true
	s.incarnation++
	s.sendLater(ctx, s.cfg.Restart, restartedMessage{})
}

// restartedMessage tells a MemoryEngine that its restart after a crash is over.
type restartedMessage struct{}

func (restartedMessage) handle(_ context.Context, s *engineState) {
	s.restarting = false
	s.record()
}

// engineFaultsMessage replaces the faults of a MemoryEngine.
type engineFaultsMessage struct {
	faults EngineFaults
	reply  mailer.Reply[acknowledged]
}

func (m engineFaultsMessage) handle(_ context.Context, s *engineState) {
	s.faults = m.faults
	m.reply.Answer(acknowledged{})
}

// engineJournalMessage asks a MemoryEngine for its journal.
type engineJournalMessage struct {
	reply mailer.Reply[EngineJournal]
}

func (m engineJournalMessage) handle(_ context.Context, s *engineState) {
	m.reply.Answer(s.journal.clone())
}

// generateMessage asks a MemoryEngine to start a job.
type generateMessage struct {
	job   buckthorndyke.Job
	reply mailer.Reply[result[*memoryStream]]
}

func (m generateMessage) handle(ctx context.Context, s *engineState) {
	if err := s.unreachable(); err != nil {
		m.reply.Answer(result[*memoryStream]{err: err})
		return
	}
	if err := s.refuse(m.job); err != nil {
		m.reply.Answer(result[*memoryStream]{err: err})
		return
	}
	m.reply.Answer(result[*memoryStream]{value: s.enqueue(ctx, m.job)})
}

// refuse returns the refusal of a job that cannot start, or nil.
func (s *engineState) refuse(job buckthorndyke.Job) error {
	if _, known := s.jobs[job.ID]; known {
		return buckthorndyke.NewRefusal(
			buckthorndyke.CodeDuplicate, buckthorndyke.MayHaveRun, "the job is already running")
	}
	if r, ok := s.residents[job.Model]; !ok || r.Loading {
		return buckthorndyke.NewRefusal(
			buckthorndyke.CodeRunnerUnavailable, buckthorndyke.NotRun, "the model is not loaded")
	}
	return nil
}

// jobEndedMessage tells a MemoryEngine that a job has ended.
type jobEndedMessage struct {
	incarnation buckthorndyke.Incarnation
	job         *engineJob
}

func (m jobEndedMessage) handle(_ context.Context, s *engineState) {
	if m.incarnation == s.incarnation {
		s.endJob(m.job)
	}
}

// statusMessage asks a MemoryEngine for its status.
type statusMessage struct {
	reply mailer.Reply[result[buckthorndyke.EngineStatus]]
}

func (m statusMessage) handle(_ context.Context, s *engineState) {
	if err := s.unreachable(); err != nil {
		m.reply.Answer(result[buckthorndyke.EngineStatus]{err: err})
		return
	}
	m.reply.Answer(result[buckthorndyke.EngineStatus]{value: s.visibleStatus()})
}
