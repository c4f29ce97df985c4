package connector_test

import (
	"context"
	"errors"
	"io"
	"testing"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/asserter"
	"github.com/buckthorndyke/buckthorndyke/standin"
)

func TestEngineJobs(t *testing.T) {
	t.Run("down", func(t *testing.T) {
		runWithBoth(t, func(ctx context.Context, t *testing.T, f fixture) {
			asserter.NoError(t, f.standIns.engine.SetFaults(ctx, standin.EngineFaults{Down: true}))
			_, err := f.engine.Generate(ctx, job("j"))
			asserter.Verdict(t, err, buckthorndyke.NotRun)
			asserter.Verdict(t, f.engine.Cancel(ctx, "j"), buckthorndyke.NotRun)
		})
	})
	t.Run("model is not loaded", func(t *testing.T) {
		runWithBoth(t, func(ctx context.Context, t *testing.T, f fixture) {
			_, err := f.engine.Generate(ctx, buckthorndyke.Job{ID: "j", Model: "spare"})
			asserter.Verdict(t, err, buckthorndyke.NotRun)
			asserter.Code(t, err, buckthorndyke.CodeRunnerUnavailable)
		})
	})
	t.Run("crash", func(t *testing.T) {
		runWithBoth(t, func(ctx context.Context, t *testing.T, f fixture) {
			crash := job("j")
			crash.Prompt = standin.CrashPrompt
			_, err := collect(ctx, generate(ctx, t, f.engine, crash))
			asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
			asserter.Code(t, err, buckthorndyke.CodeEngineFailed)
		})
	})
	t.Run("a truncated stream is resumed", func(t *testing.T) {
		runWithBoth(t, func(ctx context.Context, t *testing.T, f fixture) {
			asserter.NoError(t, f.standIns.engine.SetFaults(ctx, standin.EngineFaults{CutStreamAfter: 2}))
			s := generate(ctx, t, f.engine, job("j"))
			part, err := collect(ctx, s)
			asserter.Code(t, err, buckthorndyke.CodeEngineFailed)
			asserter.Equal(t, len(part), 2)
			_, again := s.Next(ctx)
			asserter.Equal(t, errors.Is(again, err), true)
			rest := job("k")
			rest.Resume = part
			assertComplete(ctx, t, generate(ctx, t, f.engine, rest), part)
		})
	})
	t.Run("complete response", func(t *testing.T) {
		runWithBoth(t, func(ctx context.Context, t *testing.T, f fixture) {
			s := generate(ctx, t, f.engine, job("j"))
			assertComplete(ctx, t, s, nil)
			_, err := s.Next(ctx)
			asserter.Equal(t, errors.Is(err, io.EOF), true)
			asserter.NoError(t, s.Close())
		})
	})
	t.Run("limited response", func(t *testing.T) {
		runWithBoth(t, func(ctx context.Context, t *testing.T, f fixture) {
			short := job("j")
			short.MaxTokens = 2
			got, err := collect(ctx, generate(ctx, t, f.engine, short))
			asserter.NoError(t, err)
			asserter.Equal(t, got, standin.ResponseTokens(model, prompt, 2))
		})
	})
	t.Run("the stream outlives the context of Generate", func(t *testing.T) {
		runWithBoth(t, func(ctx context.Context, t *testing.T, f fixture) {
			start, cancel := context.WithCancel(ctx)
			s := generate(start, t, f.engine, job("j"))
			cancel()
			assertComplete(ctx, t, s, nil)
		})
	})
	t.Run("a canceled read loses no token", func(t *testing.T) {
		runWithBoth(t, func(ctx context.Context, t *testing.T, f fixture) {
			s := generate(ctx, t, f.engine, job("j"))
			gone, cancel := context.WithCancel(ctx)
			cancel()
			if token, err := s.Next(gone); err == nil {
				assertComplete(ctx, t, s, []string{token.Text})
				return
			}
			assertComplete(ctx, t, s, nil)
		})
	})
	t.Run("cancel", func(t *testing.T) {
		runWithBoth(t, func(ctx context.Context, t *testing.T, f fixture) {
			s := generate(ctx, t, f.engine, job("j"))
			asserter.NoError(t, f.engine.Cancel(ctx, "j"))
			asserter.NoError(t, f.engine.Cancel(ctx, "unknown"))
			_, err := collect(ctx, s)
			asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
		}, func(cfg *standin.EngineConfig) { cfg.TokenInterval = buckthorndyke.Hour })
	})
}

func TestEngineOrders(t *testing.T) {
	t.Run("down", func(t *testing.T) {
		runWithBoth(t, func(ctx context.Context, t *testing.T, f fixture) {
			asserter.NoError(t, f.standIns.engine.SetFaults(ctx, standin.EngineFaults{Down: true}))
			_, err := f.engine.Order(ctx, loadOrder(1))
			asserter.Verdict(t, err, buckthorndyke.NotRun)
			_, err = f.engine.Status(ctx)
			asserter.Verdict(t, err, buckthorndyke.NotRun)
		})
	})
	t.Run("stale fencing token", func(t *testing.T) {
		runWithBoth(t, func(ctx context.Context, t *testing.T, f fixture) {
			fence := buckthorndyke.Order{FencingToken: 9, ID: "f", Kind: buckthorndyke.OrderFence}
			assertOrder(ctx, t, f.engine, fence, buckthorndyke.OrderDone)
			assertOrder(ctx, t, f.engine, loadOrder(8), buckthorndyke.OrderFenced)
		})
	})
	t.Run("lost response", func(t *testing.T) {
		runWithBoth(t, func(ctx context.Context, t *testing.T, f fixture) {
			asserter.NoError(t, f.standIns.engine.SetFaults(ctx, standin.EngineFaults{LoseOrderReplies: 1}))
			_, err := f.engine.Order(ctx, loadOrder(1))
			asserter.Verdict(t, err, buckthorndyke.MayHaveRun)
			assertOrder(ctx, t, f.engine, loadOrder(1), buckthorndyke.OrderDone)
			journal, err := f.standIns.engine.Journal(ctx)
			asserter.NoError(t, err)
			asserter.Equal(t, journal.Loads["spare"], 1)
		})
	})
	t.Run("model is missing in the weight store", func(t *testing.T) {
		runWithBoth(t, func(ctx context.Context, t *testing.T, f fixture) {
			order := loadOrder(1)
			order.Model = "missing"
			assertOrder(ctx, t, f.engine, order, buckthorndyke.OrderFailed)
		})
	})
	t.Run("status", func(t *testing.T) {
		runWithBoth(t, func(ctx context.Context, t *testing.T, f fixture) {
			assertOrder(ctx, t, f.engine, loadOrder(3), buckthorndyke.OrderDone)
			got, err := f.engine.Status(ctx)
			asserter.NoError(t, err)
			want, err := f.standIns.engine.Status(ctx)
			asserter.NoError(t, err)
			asserter.Equal(t, got, want)
			asserter.Equal(t, got.FencingToken, 3)
			asserter.Equal(t, got.Orders["o"], buckthorndyke.OrderDone)
			asserter.Equal(t, got.Cached["spare"], buckthorndyke.TierDisk)
			asserter.Equal(t, len(got.Residents), 2)
		})
	})
}

func assertOrder(
	ctx context.Context, t *testing.T, engine buckthorndyke.Engine, order buckthorndyke.Order, want buckthorndyke.OrderState,
) {
	t.Helper()
	got, err := engine.Order(ctx, order)
	asserter.NoError(t, err)
	asserter.Equal(t, got, want)
}

func generate(
	ctx context.Context, t *testing.T, engine buckthorndyke.Engine, job buckthorndyke.Job,
) buckthorndyke.TokenStream {
	t.Helper()
	s, err := engine.Generate(ctx, job)
	asserter.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func job(id buckthorndyke.JobID) buckthorndyke.Job {
	return buckthorndyke.Job{ID: id, Model: model, Prompt: prompt, Request: "r1"}
}

func loadOrder(token buckthorndyke.Offset) buckthorndyke.Order {
	return buckthorndyke.Order{FencingToken: token, ID: "o", Kind: buckthorndyke.OrderLoad, MemoryMB: 100, Model: "spare"}
}
