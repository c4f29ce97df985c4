package standin

import (
	"context"
	"slices"
	"strings"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// extraStreamItems is the extra capacity of a stream for duplicate and foreign
// tokens, the last token and an error, so that writing to it never blocks.
const extraStreamItems = 4

// engineJob is a job of a MemoryEngine.
type engineJob struct {
	cancel context.CancelCauseFunc
	faults EngineFaults
	job    buckthorndyke.Job
	// start is closed when the job gets a slot.
	start   chan struct{}
	started bool
	stream  *memoryStream
}

// enqueue accepts a job and starts its task, which waits for a slot.
func (s *engineState) enqueue(ctx context.Context, job buckthorndyke.Job) *memoryStream {
	jobCtx, cancel := context.WithCancelCause(ctx)
	j := &engineJob{
		cancel: cancel, job: job, start: make(chan struct{}),
		stream: &memoryStream{cancel: cancel, items: make(chan streamItem, s.responseLength(job)+extraStreamItems)},
	}
	s.jobs[job.ID] = j
	s.journal.Jobs[job.Request]++
	index, _ := slices.BinarySearchFunc(s.queue, job.Rank+1, func(q *engineJob, r buckthorndyke.Rank) int {
		return int(q.job.Rank) - int(r)
	})
	s.queue = slices.Insert(s.queue, index, j)
	run := jobRun{
		box: s.box, cfg: s.cfg, clock: s.clock, incarnation: s.incarnation, job: j, length: s.responseLength(job),
	}
	go run.serve(ctx, jobCtx)
	s.startJobs()
	s.record()
	return j.stream
}

// endJob removes a job and gives its slot to the next one in the queue.
func (s *engineState) endJob(job *engineJob) {
	delete(s.jobs, job.job.ID)
	s.queue = slices.DeleteFunc(s.queue, func(q *engineJob) bool { return q == job })
	if job.started {
		s.running--
	}
	s.startJobs()
	s.record()
}

// responseLength returns the number of tokens of the complete response to job,
// those that it resumes with included.
func (s *engineState) responseLength(job buckthorndyke.Job) int {
	length := s.cfg.ResponseTokens
	if job.MaxTokens > 0 {
		length = min(length, len(job.Resume)+job.MaxTokens)
	}
	return max(length, len(job.Resume))
}

// startJobs starts jobs from the head of the queue while there are free slots.
func (s *engineState) startJobs() {
	for s.running < s.cfg.Slots && len(s.queue) > 0 {
		job := s.queue[0]
		s.queue = s.queue[1:]
		job.faults = s.faults
		s.faults = s.faults.withoutStreamFaults()
		job.started = true
		s.running++
		s.journal.HighestRunning = max(s.journal.HighestRunning, s.running)
		close(job.start)
	}
}

// jobRun is the task that writes the response to one job.
type jobRun struct {
	box         *mailer.Mailbox[message[*engineState]]
	cfg         EngineConfig
	clock       buckthorndyke.Clock
	incarnation buckthorndyke.Incarnation
	job         *engineJob
	length      int
}

// serve writes the response, closes the stream and notifies the engine, whose
// context is ctx. The job ends early when jobCtx does.
func (r jobRun) serve(ctx, jobCtx context.Context) {
	if err := r.write(jobCtx); err != nil {
		r.job.stream.items <- streamItem{err: err, job: r.job.job.ID}
	}
	close(r.job.stream.items)
	r.job.cancel(nil)
	_ = r.box.Send(ctx, jobEndedMessage{incarnation: r.incarnation, job: r.job})
}

// write writes the response. It returns the error that cuts the stream short.
func (r jobRun) write(ctx context.Context) error {
	select {
	case <-r.job.start:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	if err := r.wait(ctx, r.cfg.Prefill); err != nil {
		return err
	}
	if strings.Contains(r.job.job.Prompt, CrashPrompt) {
		return r.crash(ctx)
	}
	for i := len(r.job.job.Resume); i < r.length; i++ {
		if f := r.job.faults; f.CutStreamAfter > 0 && i-len(r.job.job.Resume) == f.CutStreamAfter {
			return errStreamCut
		}
		r.emit(i)
		if err := r.wait(ctx, r.cfg.TokenInterval); err != nil {
			return err
		}
	}
	r.put(r.job.job.ID, buckthorndyke.Token{Index: r.length, Last: true})
	return nil
}

// crash crashes the engine and waits until that cancels the job.
func (r jobRun) crash(ctx context.Context) error {
	if err := r.box.Send(ctx, crashMessage{reply: mailer.NewReply[acknowledged]()}); err != nil {
		return err
	}
	<-ctx.Done()
	return context.Cause(ctx)
}

// emit writes the token index index and applies the faults of the stream.
func (r jobRun) emit(index int) {
	job := r.job.job
	token := buckthorndyke.Token{Index: index, Text: TokenText(job.Model, job.Prompt, index)}
	r.put(job.ID, token)
	if index != len(job.Resume) {
		return
	}
	if r.job.faults.DuplicateToken {
		r.put(job.ID, token)
	}
	if r.job.faults.ForeignToken {
		other := buckthorndyke.Token{Index: index + 1, Text: TokenText(job.Model, "another prompt", index+1)}
		r.put(job.ID+"-other", other)
	}
}

// put writes a token that is labelled with the job id.
func (r jobRun) put(id buckthorndyke.JobID, token buckthorndyke.Token) {
	r.job.stream.items <- streamItem{job: id, token: token}
}

// wait waits for d. If ctx ends first it returns the cause.
func (r jobRun) wait(ctx context.Context, d buckthorndyke.Millis) error {
	select {
	case <-r.clock.After(d):
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
