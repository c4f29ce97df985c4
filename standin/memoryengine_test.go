package standin_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/standin"
)

const (
	model  buckthorndyke.ModelID = "hall-acoustics"
	prompt string                = "why does the gym echo?"
)

func TestMemoryEngineJobs(t *testing.T) {
	t.Run("a job for a model that is not loaded is refused as not run", func(t *testing.T) {
		withBubble(t, func(ctx context.Context, t *testing.T, clock buckthorndyke.Clock) {
			engine := startEngine(ctx, clock, standin.EngineConfig{})
			_, err := engine.Generate(ctx, buckthorndyke.Job{ID: "j", Model: model})
			asserter.Verdict(t, err, buckthorndyke.NotRun)
		})
	})
	t.Run("a crash breaks all streams and empties the memory", func(t *testing.T) {
		withBubble(t, func(ctx context.Context, t *testing.T, clock buckthorndyke.Clock) {
			engine := startEngine(ctx, clock, standin.EngineConfig{})
			load(ctx, t, engine, buckthorndyke.Order{MemoryMB: 8000, Model: model})
			before, err := engine.Status(ctx)
			asserter.NoError(t, err)
			other := generate(ctx, t, engine, buckthorndyke.Job{ID: "a", Prompt: prompt})
			crashing := generate(ctx, t, engine, buckthorndyke.Job{ID: "b", Prompt: standin.CrashPrompt})
			_, err = collect(ctx, t, other, 0)
			asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
			_, err = collect(ctx, t, crashing, 0)
			asserter.Code(t, err, buckthorndyke.CodeEngineFailed)
			_, err = engine.Status(ctx)
			asserter.Verdict(t, err, buckthorndyke.NotRun)
			<-clock.After(buckthorndyke.Minute)
			after, err := engine.Status(ctx)
			asserter.NoError(t, err)
			asserter.Equal(t, after.Incarnation > before.Incarnation, true)
			asserter.Equal(t, len(after.Residents), 0)
			asserter.Equal(t, len(after.Orders), 0)
		})
	})
	t.Run("a cut stream ends with an error and is resumed at its next token", func(t *testing.T) {
		withBubble(t, func(ctx context.Context, t *testing.T, clock buckthorndyke.Clock) {
			engine := startLoadedEngine(ctx, clock, standin.EngineConfig{ResponseTokens: 9})
			asserter.NoError(t, engine.SetFaults(ctx, standin.EngineFaults{CutStreamAfter: 4}))
			part, err := collect(ctx, t, generate(ctx, t, engine, buckthorndyke.Job{ID: "a", Prompt: prompt}), 0)
			asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
			asserter.Equal(t, len(part), 4)
			job := buckthorndyke.Job{ID: "b", Prompt: prompt, Resume: part}
			rest, err := collect(ctx, t, generate(ctx, t, engine, job), 4)
			asserter.NoError(t, err)
			asserter.Equal(t, append(part, rest...), standin.ResponseTokens(model, prompt, 9))
		})
	})
	t.Run("a duplicate token is passed on unfiltered", func(t *testing.T) {
		withBubble(t, func(ctx context.Context, t *testing.T, clock buckthorndyke.Clock) {
			engine := startLoadedEngine(ctx, clock, standin.EngineConfig{})
			asserter.NoError(t, engine.SetFaults(ctx, standin.EngineFaults{DuplicateToken: true}))
			s := generate(ctx, t, engine, buckthorndyke.Job{ID: "a", Prompt: prompt})
			first, err := s.Next(ctx)
			asserter.NoError(t, err)
			second, err := s.Next(ctx)
			asserter.NoError(t, err)
			asserter.Equal(t, second, first)
		})
	})
	t.Run("jobs that wait for a slot get it in the order of their ranks", func(t *testing.T) {
		withBubble(t, func(ctx context.Context, t *testing.T, clock buckthorndyke.Clock) {
			engine := startLoadedEngine(ctx, clock, standin.EngineConfig{Slots: 1})
			generate(ctx, t, engine, buckthorndyke.Job{ID: "a", Rank: buckthorndyke.RankFree})
			free := generate(ctx, t, engine, buckthorndyke.Job{ID: "b", Rank: buckthorndyke.RankFree})
			urgent := generate(ctx, t, engine, buckthorndyke.Job{ID: "c", Rank: buckthorndyke.RankUrgent})
			_, err := urgent.Next(ctx)
			asserter.NoError(t, err)
			short, cancel := context.WithTimeout(ctx, buckthorndyke.Millisecond.Duration())
			defer cancel()
			_, err = free.Next(short)
			asserter.Code(t, err, buckthorndyke.CodeDeadline)
			journal, err := engine.Journal(ctx)
			asserter.NoError(t, err)
			asserter.Equal(t, journal.HighestRunning, 1)
		})
	})
	t.Run("cancel and close end a job", func(t *testing.T) {
		withBubble(t, func(ctx context.Context, t *testing.T, clock buckthorndyke.Clock) {
			engine := startLoadedEngine(ctx, clock, standin.EngineConfig{})
			generate(ctx, t, engine, buckthorndyke.Job{ID: "a"})
			closed := generate(ctx, t, engine, buckthorndyke.Job{ID: "b"})
			asserter.NoError(t, engine.Cancel(ctx, "a"))
			asserter.NoError(t, engine.Cancel(ctx, "unknown"))
			asserter.NoError(t, closed.Close())
			synctest.Wait()
			status, err := engine.Status(ctx)
			asserter.NoError(t, err)
			asserter.Equal(t, len(status.Jobs), 0)
		})
	})
}

func generate(
	ctx context.Context, t *testing.T, engine buckthorndyke.Engine, job buckthorndyke.Job,
) buckthorndyke.TokenStream {
	t.Helper()
	job.Model = model
	job.Request = buckthorndyke.RequestID(job.ID)
	s, err := engine.Generate(ctx, job)
	asserter.NoError(t, err)
	return s
}

func startLoadedEngine(
	ctx context.Context, clock buckthorndyke.Clock, cfg standin.EngineConfig,
) *standin.MemoryEngine {
	return startEngine(ctx, clock, cfg, standin.WithResidents(buckthorndyke.Resident{MemoryMB: 8000, Model: model}))
}
